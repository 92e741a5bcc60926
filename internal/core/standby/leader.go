package standby

import (
	"time"

	"gradetiller.example/internal/wire"
)

const (
	// Interval is how often a leader sends to its standby. A third of silenceTimeout, so that two
	// lost or late messages in a row cause no ping.
	Interval = 100 * time.Millisecond
	// snapshotInterval is how often the message holds the snapshot, and so the age at which a
	// booking may be missing at the standby.
	snapshotInterval = 250 * time.Millisecond
	// maxSnapshotBytes bounds the shares and bookings together: four times a second to one node, they
	// take 2.6% of a link of 10 Mbit/s.
	maxSnapshotBytes = 8 << 10
)

// Snapshot is the state that a new leader continues with.
type Snapshot struct {
	// Shares and Bookings are the served shares and the open bookings, in an encoding of their own.
	Shares, Bookings []byte
	// Retries holds the requests and retries within the window of the retry budget.
	Retries []wire.StandbyRetries
}

// Source provides what a leader tells its standby.
type Source interface {
	// Tasks returns the tasks in flight.
	Tasks() []Task
	// Snapshot returns the present state.
	Snapshot() Snapshot
}

// Send is a message to be sent.
type Send struct {
	Address string
	Message wire.StandbyState
}

// Leader decides when a leader of a cell sends what to its standby.
type Leader struct {
	cell       int
	to         string
	sentAt     time.Time
	snapshotAt time.Time
}

// NewLeader returns the state of a leader without a standby.
func NewLeader(cell int) *Leader { return &Leader{cell: cell} }

// Active reports whether the leader has a standby to which it sends.
func (l *Leader) Active() bool { return l.to != "" }

// Tick returns the messages that are due. to is the address of the standby, or "" if there is none or
// nothing is to be sent. A former standby is told that it gets no further messages, with the present
// snapshot: a leader that stops hands it over this way.
func (l *Leader) Tick(now time.Time, to string, s Source) []Send {
	var sends []Send
	if l.to != "" && l.to != to {
		m := wire.StandbyState{Cell: l.cell, Ended: true}
		addSnapshot(&m, s)
		sends = append(sends, Send{l.to, m})
	}
	if l.to != to {
		l.to, l.sentAt, l.snapshotAt = to, time.Time{}, time.Time{}
	}
	if to == "" || now.Sub(l.sentAt) < Interval {
		return sends
	}
	m := wire.StandbyState{Cell: l.cell, Tasks: Pack(s.Tasks())}
	if now.Sub(l.snapshotAt) >= snapshotInterval {
		addSnapshot(&m, s)
		l.snapshotAt = now
	}
	l.sentAt = now
	return append(sends, Send{to, m})
}

// addSnapshot adds the snapshot to a message. What exceeds the bound is left out: first the shares,
// without which a new leader is only less fair for some seconds.
func addSnapshot(m *wire.StandbyState, s Source) {
	snapshot := s.Snapshot()
	m.Snapshot, m.Retries = true, snapshot.Retries
	if len(snapshot.Bookings) <= maxSnapshotBytes {
		m.Bookings = snapshot.Bookings
	}
	if len(m.Bookings)+len(snapshot.Shares) <= maxSnapshotBytes {
		m.Shares = snapshot.Shares
	}
}
