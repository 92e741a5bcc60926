package node

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/booking"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/share"
	"gradetiller.example/internal/core/standby"
	"gradetiller.example/internal/wire"
)

// inheritedPeriod is how long a new leader counts work of its predecessor that is made again as retries:
// the window of the retry budget.
const inheritedPeriod = 10 * time.Second

// inherited holds the tasks that a lost leader had in flight, with the stages that each had begun.
type inherited struct {
	tasks map[standby.TaskKey]uint64
	until time.Time
}

// remade returns the stages of a submission that the lost leader may have begun. A task that it accepted
// after its last message to the standby can only have begun stages without inputs.
func (i inherited) remade(now time.Time, owner taskKey, m *wire.StagesSubmit) uint64 {
	if m.Replaces == 0 || !now.Before(i.until) {
		return 0
	}
	begun, known := i.tasks[standby.TaskKey{Owner: owner.process(), ID: m.Replaces}]
	if known {
		return begun
	}
	for k, s := range m.Stages {
		if len(s.After) == 0 && k < 64 {
			begun |= 1 << k
		}
	}
	return begun
}

func (k taskKey) process() standby.Owner {
	return standby.Owner{Node: k.node, Incarnation: k.incarnation}
}

// tickStandby sends the standby what is due. The caller must hold the lock.
func (c *leader) tickStandby(now time.Time) {
	if now.Sub(c.standbyTickedAt) < standby.Interval || c.leaders.disabled.Has(mechanism.Standby) {
		return
	}
	c.standbyTickedAt = now
	to := ""
	if c.patience.Short(now) {
		to = c.leaders.standbyAddress(c.cell)
	}
	for _, s := range c.standby.Tick(now, to, c) {
		c.leaders.send(s.Address, s.Message)
		c.leaders.meters.standbyMessage()
	}
}

// Tasks implements standby.Source. The caller must hold the lock.
func (c *leader) Tasks() []standby.Task {
	list := make([]standby.Task, 0, len(c.owners))
	for id, o := range c.owners {
		if _, placed := c.placedCalls[id]; !placed {
			list = append(list, standby.Task{TaskKey: standby.TaskKey{Owner: o.key.process(), ID: o.key.id}, Begun: c.pool.BegunStages(id)})
		}
	}
	return list
}

// Snapshot implements standby.Source. The caller must hold the lock.
func (c *leader) Snapshot() standby.Snapshot {
	now := time.Now()
	shares, bookings := c.snapshotForStandby(now)
	return standby.Snapshot{Shares: shares, Bookings: bookings, Retries: c.leaders.retries.snapshot(now)}
}

const (
	// maxStandbyBookings and maxStandbyBookingBytes bound the bookings in a snapshot, which is sent several
	// times per second.
	maxStandbyBookings     = 200
	maxStandbyBookingBytes = 7 << 10
)

// snapshotForStandby returns the served shares and the open bookings, encoded. The caller must hold the
// lock.
func (c *leader) snapshotForStandby(now time.Time) (shares, bookings []byte) {
	return c.encodeSnapshot(c.pool.Shares().Snapshot(now)), c.encodeSnapshot(c.book.Snapshot(now, maxStandbyBookings, maxStandbyBookingBytes))
}

func (c *leader) encodeSnapshot(s any) []byte {
	data, err := msgpack.Marshal(s)
	if err != nil {
		c.leaders.log.Warn(eventStandbySnapshot, zap.Int("cell", c.cell), zap.Error(err))
		return nil
	}
	return data
}

// restoreFromStandby restores what snapshotForStandby returned at the previous leader at the given time. What can't be decoded,
// for example from a later version, is left out. The caller must hold the lock.
func (c *leader) restoreFromStandby(now, taken time.Time, shares, bookings []byte) {
	var s share.Snapshot
	if err := decodeSnapshot(shares, &s); err != nil {
		c.leaders.log.Warn(eventStandbySnapshot, zap.Int("cell", c.cell), zap.Error(err))
	} else if len(s) > 0 {
		c.pool.Shares().Restore(taken, s)
	}
	var b booking.Snapshot
	err := decodeSnapshot(bookings, &b)
	if err == nil {
		err = c.book.Restore(now, taken, b)
	}
	if err != nil {
		c.leaders.log.Warn(eventStandbySnapshot, zap.Int("cell", c.cell), zap.Error(err))
	}
}

func decodeSnapshot(data []byte, into any) error {
	if len(data) == 0 {
		return nil
	}
	return msgpack.Unmarshal(data, into)
}

// restore continues with the state of the previous leader of a cell.
func (l *leaders) restore(cell int, now time.Time, s standby.State) {
	l.retries.merge(now, s)
	c := l.get(cell)
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inherited = inherited{tasks: s.Tasks, until: now.Add(inheritedPeriod)}
	c.restoreFromStandby(now, now.Add(-s.SnapshotAge), s.Shares, s.Bookings)
}

// stageRetries hands over the window of the retry budget for stages from one leader to the next.
type stageRetries struct {
	budget *lockedBudget
	// merged holds when the window of a leader was merged, which may have led several cells.
	merged map[standby.Owner]time.Time
}

func newStageRetries(b *lockedBudget) *stageRetries {
	return &stageRetries{budget: b, merged: make(map[standby.Owner]time.Time)}
}

func (r *stageRetries) snapshot(now time.Time) []wire.StandbyRetries {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	var list []wire.StandbyRetries
	for service, counts := range r.budget.budget.Snapshot(now) {
		list = append(list, wire.StandbyRetries{Service: service, Requests: counts.Requests, Retries: counts.Retries})
	}
	return list
}

// merge adds the window of a lost leader, once for all of its cells.
func (r *stageRetries) merge(now time.Time, s standby.State) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	for owner, at := range r.merged {
		if now.Sub(at) > inheritedPeriod {
			delete(r.merged, owner)
		}
	}
	if _, done := r.merged[s.Leader]; done {
		return
	}
	r.merged[s.Leader] = now
	for _, w := range s.Retries {
		r.budget.budget.Merge(now, w.Service, attempt.Counts{Requests: w.Requests, Retries: w.Retries})
	}
}
