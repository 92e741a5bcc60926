package stagepool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slotDuration is the resolution of a profile. It divides scheduledPriorityStep, so that the due times of
	// all priorities fall on the same slots, and is a seventh of the duration of a full call.
	slotDuration = 50 * time.Millisecond
	// profileSlots is the length of a profile, 6.4 s, which is more than the longest objective. Later work
	// counts in its last slot.
	profileSlots = 128
	// slotsPerPriority is scheduledPriorityStep in slots.
	slotsPerPriority = int64(scheduledPriorityStep / slotDuration)
)

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotDuration) }

// profile counts the pieces that are in no call by priority and by the slot in which they must start, and
// those that wait for inputs by the slot in which the inputs are expected.
type profile struct {
	// base is the first slot that is not over.
	base   int64
	levels []*profileLevel
	// arrivals counts the pieces that wait for inputs by slot. pieces counts all pieces, and waiting
	// those that wait for inputs, including those whose inputs are later than expected.
	arrivals [profileSlots]int
	pieces   int
	waiting  int
}

// profileLevel counts the pieces of one priority. overdue counts those whose slot is over.
type profileLevel struct {
	priority int
	overdue  int
	slots    [profileSlots]int
}

// level returns the level of a priority, which is added if needed.
func (f *profile) level(priority int) *profileLevel {
	i, ok := slices.BinarySearchFunc(f.levels, priority, func(l *profileLevel, p int) int { return cmp.Compare(l.priority, p) })
	if !ok {
		f.levels = slices.Insert(f.levels, i, &profileLevel{priority: priority})
	}
	return f.levels[i]
}

// clamp returns the slot in which work due at the given slot is counted.
func (f *profile) clamp(slot int64) int64 { return min(slot, f.base+profileSlots-1) }

// add adds n pieces, which may be negative. The slot must have been clamped when it was added.
func (f *profile) add(priority int, slot int64, n int) {
	f.pieces += n
	l := f.level(priority)
	if slot < f.base {
		l.overdue += n
		return
	}
	l.slots[slot%profileSlots] += n
}

// addArrivals adds n pieces that wait for inputs, which may be negative. The slot must have been clamped
// when it was added.
func (f *profile) addArrivals(slot int64, n int) {
	f.waiting += n
	if slot >= f.base {
		f.arrivals[slot%profileSlots] += n
	}
}

// advance moves the work of slots that are over to the overdue work.
func (f *profile) advance(now time.Time) {
	to := slotOf(now)
	for slot := f.base; slot < min(to, f.base+profileSlots); slot++ {
		i := slot % profileSlots
		for _, l := range f.levels {
			l.overdue += l.slots[i]
			l.slots[i] = 0
		}
		f.arrivals[i] = 0
	}
	f.base = max(f.base, to)
}

// at returns the pieces of a level in a slot.
func (f *profile) at(l *profileLevel, slot int64) int {
	if slot < f.base || slot >= f.base+profileSlots {
		return 0
	}
	return l.slots[slot%profileSlots]
}

// overdue returns the pieces whose slot is over.
func (f *profile) overdue() int {
	n := 0
	for _, l := range f.levels {
		n += l.overdue
	}
	return n
}

// ahead returns the pieces that are served before a task of the given priority and slot.
func (f *profile) ahead(priority int, slot int64) int {
	n := f.overdue()
	for key := f.base; key <= slot+int64(priority)*slotsPerPriority; key++ {
		n += f.atKey(key)
	}
	return n
}

// atKey returns the pieces of all levels that are served at the given slot. Work is served by its slot
// plus slotsPerPriority per priority.
func (f *profile) atKey(key int64) int {
	n := 0
	for _, l := range f.levels {
		n += f.at(l, key-int64(l.priority)*slotsPerPriority)
	}
	return n
}

// free returns how many pieces of a priority still fit into a slot, so that they and all later work
// start in time. It is negative if work that is due no earlier already doesn't fit. capacity returns
// how many pieces can start by the middle of a slot.
func (f *profile) free(priority int, slot int64, capacity func(slot int64) int) int {
	own := slot + int64(priority)*slotsPerPriority
	least, cumulative := math.MaxInt, f.overdue()
	if f.pieces == 0 {
		return capacity(slot)
	}
	last := f.base + profileSlots
	if n := len(f.levels); n > 0 {
		last += int64(f.levels[n-1].priority) * slotsPerPriority
	}
	for key := f.base; key < max(last, own+1); key++ {
		cumulative += f.atKey(key)
		if key < own {
			continue
		}
		if key == own {
			least = capacity(slot) - cumulative
		}
		for _, l := range f.levels {
			if at := key - int64(l.priority)*slotsPerPriority; f.at(l, at) > 0 {
				least = min(least, capacity(at)-cumulative)
			}
		}
	}
	return least
}

// freeBefore returns how many pieces of a priority still fit into a slot besides the work that is served
// before or with it. Later work may not fit then.
func (f *profile) freeBefore(priority int, slot int64, capacity func(slot int64) int) int {
	return capacity(slot) - f.ahead(priority, slot)
}

// ready returns the pieces that don't wait for inputs.
func (f *profile) ready() int { return f.pieces - f.waiting }

// clone returns a copy of the profile.
func (f *profile) clone() *profile {
	c := *f
	c.levels = slices.Clone(f.levels)
	for i, l := range c.levels {
		copied := *l
		c.levels[i] = &copied
	}
	return &c
}

// addProfile adds the pieces of a profile with the same base. Those whose slot is over are due at once.
func (f *profile) addProfile(other *profile) {
	f.pieces += other.pieces
	f.waiting += other.waiting
	for i, n := range other.arrivals {
		f.arrivals[i] += n
	}
	for _, from := range other.levels {
		to := f.level(from.priority)
		to.slots[f.base%profileSlots] += from.overdue
		for i, n := range from.slots {
			to.slots[i] += n
		}
	}
}
