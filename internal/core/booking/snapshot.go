package booking

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"gradetiller.example/internal/core/poison"
)

// startUnit is the resolution of Work.Ready and Work.Start in a snapshot.
const startUnit = 10 * time.Millisecond

// Snapshot is a compact copy of the open bookings, for the standby of a leader.
type Snapshot struct {
	// Services and Accounts are the names that Bookings refers to by their positions.
	Services []string
	Accounts []string
	// Bookings holds for each booking the content ID, followed by varints: the milliseconds until
	// its time, plus grace; the account; the priority; the number of stages; and for each stage the
	// service, the pieces, and in units of startUnit, Ready and the time from Ready to Start.
	Bookings []byte
}

// ErrSnapshot is the error for a snapshot that can't be decoded.
var ErrSnapshot = errors.New("malformed snapshot of bookings")

// Snapshot returns the bookings that are due first, at most the given number and such that the snapshot
// takes at most maxBytes, apart from the framing of its fields.
func (b *Book) Snapshot(now time.Time, maxBookings, maxBytes int) Snapshot {
	var s Snapshot
	for i, booked := range b.byTime(now) {
		next := s.with(now, booked)
		if i >= maxBookings || next.size() > maxBytes {
			break
		}
		s = next
	}
	return s
}

// byTime returns the open bookings by their time.
func (b *Book) byTime(now time.Time) []Booking {
	list := make([]Booking, 0, len(b.open))
	for _, booked := range b.open {
		if !booked.lapsed(now) {
			list = append(list, booked)
		}
	}
	slices.SortFunc(list, func(x, y Booking) int {
		return cmp.Or(x.At.Compare(y.At), slices.Compare(x.Content[:], y.Content[:]))
	})
	return list
}

// with returns the snapshot with one booking more.
func (s Snapshot) with(now time.Time, booked Booking) Snapshot {
	out := append(s.Bookings, booked.Content[:]...)
	number := func(n int) { out = binary.AppendUvarint(out, uint64(max(n, 0))) }
	number(int(booked.At.Add(grace).Sub(now).Milliseconds()))
	number(position(&s.Accounts, booked.Account))
	number(booked.Priority)
	number(len(booked.Work))
	for _, w := range booked.Work {
		number(position(&s.Services, w.Service))
		number(w.Pieces)
		number(int(w.Ready / startUnit))
		number(int((w.Start - w.Ready) / startUnit))
	}
	s.Bookings = out
	return s
}

func (s Snapshot) size() int {
	n := len(s.Bookings)
	for _, name := range slices.Concat(s.Services, s.Accounts) {
		n += len(name)
	}
	return n
}

// position returns the position of a name in a list, to which it is added if needed.
func position(list *[]string, name string) int {
	i := slices.Index(*list, name)
	if i < 0 {
		i = len(*list)
		*list = append(*list, name)
	}
	return i
}

// Restore adds the bookings of a snapshot that was taken at the given time. Bookings that have lapsed
// or are known are left out. A malformed snapshot changes nothing.
func (b *Book) Restore(now, taken time.Time, s Snapshot) error {
	list, err := s.decode(taken)
	if err != nil {
		return err
	}
	for _, booked := range list {
		if _, known := b.open[booked.Content]; known || booked.lapsed(now) {
			continue
		}
		b.add(now, booked)
		b.attempts.reject(now, booked.Content, max(booked.At.Sub(now), 0))
	}
	return nil
}

func (s Snapshot) decode(taken time.Time) ([]Booking, error) {
	d := decoder{rest: s.Bookings}
	var list []Booking
	for len(d.rest) > 0 && !d.failed {
		booked := Booking{Content: d.content()}
		booked.At = taken.Add(time.Duration(d.number(maxSnapshotMillis))*time.Millisecond - grace)
		booked.Account = d.name(s.Accounts)
		booked.Priority = d.number(maxSnapshotNumber)
		for range d.number(maxSnapshotStages) {
			work := Work{Service: d.name(s.Services), Pieces: d.number(maxSnapshotNumber)}
			work.Ready = time.Duration(d.number(maxSnapshotMillis)) * startUnit
			work.Start = work.Ready + time.Duration(d.number(maxSnapshotMillis))*startUnit
			booked.Work = append(booked.Work, work)
		}
		list = append(list, booked)
	}
	if d.failed {
		return nil, ErrSnapshot
	}
	return list, nil
}

// Bounds on the numbers of a snapshot: an hour, and far more pieces and stages than a request has.
const (
	maxSnapshotMillis = 3_600_000
	maxSnapshotNumber = 1 << 20
	maxSnapshotStages = 64
)

// decoder reads the bookings of a snapshot.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) content() (id poison.ID) {
	if len(d.rest) < len(id) {
		d.failed = true
		return id
	}
	d.rest = d.rest[copy(id[:], d.rest):]
	return id
}

// number reads a number from 0 to most.
func (d *decoder) number(most int) int {
	n, length := binary.Uvarint(d.rest)
	if d.failed || length <= 0 || n > uint64(most) {
		d.failed = true
		return 0
	}
	d.rest = d.rest[length:]
	return int(n)
}

// name reads a position in a list of names.
func (d *decoder) name(list []string) string {
	i := d.number(maxSnapshotNumber)
	if i >= len(list) {
		d.failed = true
		return ""
	}
	return list[i]
}
