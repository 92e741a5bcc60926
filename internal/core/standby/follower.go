package standby

import (
	"time"

	"gradetiller.example/internal/wire"
)

const (
	// TickInterval is how often a follower must be ticked.
	TickInterval = 25 * time.Millisecond
	// silenceTimeout is how long a leader may send nothing before it is pinged.
	silenceTimeout = 350 * time.Millisecond
	// PingTimeout is how long the leader may take to answer on a new connection. A connection takes
	// two round trips.
	PingTimeout = 100 * time.Millisecond
	// claimInterval is the minimum time between two takeovers of a cell. It bounds what a link that
	// is cut again and again can cost.
	claimInterval = 10 * time.Second
	// minMessages is how many messages a leader must have sent, so that a leader that has just begun
	// to send, or sent by mistake, is not taken over.
	minMessages = 3
	// maxStateAge is how long the state of a leader is kept after its last message. Later, nearly all
	// of its tasks have been submitted elsewhere.
	maxStateAge = 3 * time.Second
	// maxTickGap is the time between two ticks above which this process counts as having been
	// stopped. Silence in that time says nothing about the leader.
	maxTickGap = 100 * time.Millisecond
)

// Action is what a follower requests.
type Action int

// The actions.
const (
	// None requests nothing.
	None Action = iota
	// Ping requests a ping of the leader over a new connection. Answered reports an answer.
	Ping
	// Claim requests that this node take over the cell.
	Claim
)

// State is what a follower knows of the leader.
type State struct {
	Leader Owner
	// Tasks are the tasks in flight, with the stages that each had begun.
	Tasks map[TaskKey]uint64
	Snapshot
	// SnapshotAge is the time since the snapshot arrived.
	SnapshotAge time.Duration
	// Silent is the time since the leader's last message.
	Silent time.Duration
}

// Owners returns the nodes that had tasks in flight.
func (s State) Owners() map[Owner]bool {
	owners := make(map[Owner]bool)
	for key := range s.Tasks {
		owners[key.Owner] = true
	}
	return owners
}

// Follower decides when the standby of a cell takes over.
type Follower struct {
	leader   Owner
	messages int
	tasks    []wire.StandbyTasks
	snapshot Snapshot
	// snapshotAt is when the snapshot arrived.
	snapshotAt time.Time
	// ended is true if the leader sends no more.
	ended bool
	// receivedAt is when the last message arrived, and heardAt when the leader was last known to be
	// alive, by a message or an answer.
	receivedAt time.Time
	heardAt    time.Time
	// pingedAt is when the ping that is not answered yet was sent, or zero.
	pingedAt  time.Time
	tickedAt  time.Time
	claimedAt time.Time
}

// NewFollower returns a follower that knows no leader.
func NewFollower() *Follower { return &Follower{} }

// Leader returns the leader whose messages arrived last.
func (f *Follower) Leader() Owner { return f.leader }

// Following reports whether the follower needs ticks.
func (f *Follower) Following() bool { return f.messages > 0 }

// Watching reports whether the follower would take over if the leader became silent.
func (f *Follower) Watching() bool { return f.messages >= minMessages && !f.ended }

// Receive records a message from a leader. If several nodes lead the cell, the last one is followed.
func (f *Follower) Receive(now time.Time, from Owner, m *wire.StandbyState) {
	if f.leader != from {
		f.forget()
		f.leader = from
	}
	if f.messages == 0 {
		f.tickedAt = now
	}
	f.messages++
	f.ended = m.Ended
	f.receivedAt, f.heardAt, f.pingedAt = now, now, time.Time{}
	if !m.Ended {
		f.tasks = m.Tasks
	}
	if m.Snapshot {
		f.snapshot, f.snapshotAt = Snapshot{Shares: m.Shares, Bookings: m.Bookings, Retries: m.Retries}, now
	}
}

// Answered records that a leader responded on a new connection.
func (f *Follower) Answered(now time.Time, from Owner) {
	if from == f.leader {
		f.heardAt, f.pingedAt = now, time.Time{}
	}
}

// Tick returns what is due. It must be called every TickInterval while Following.
func (f *Follower) Tick(now time.Time) Action {
	if f.messages == 0 {
		return None
	}
	f.discountGap(now)
	switch {
	case now.Sub(f.receivedAt) > maxStateAge:
		f.forget()
		return None
	case !f.Watching() || f.claimedRecently(now):
		return None
	case !f.pingedAt.IsZero():
		if now.Sub(f.pingedAt) < PingTimeout {
			return None
		}
		f.claimedAt = now
		return Claim
	case now.Sub(f.heardAt) >= silenceTimeout:
		f.pingedAt = now
		return Ping
	}
	return None
}

func (f *Follower) claimedRecently(now time.Time) bool {
	return !f.claimedAt.IsZero() && now.Sub(f.claimedAt) < claimInterval
}

// discountGap discounts time during which this process did not run.
func (f *Follower) discountGap(now time.Time) {
	gap := now.Sub(f.tickedAt) - TickInterval
	f.tickedAt = now
	if gap <= maxTickGap-TickInterval {
		return
	}
	f.heardAt = earlier(f.heardAt.Add(gap), now)
	if !f.pingedAt.IsZero() {
		f.pingedAt = earlier(f.pingedAt.Add(gap), now)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Take returns the state of the leader and forgets it, as this node leads the cell from now on. It
// returns false if there is none, or none that is recent enough.
func (f *Follower) Take(now time.Time) (State, bool) {
	if f.messages == 0 || now.Sub(f.receivedAt) > maxStateAge {
		return State{}, false
	}
	// A packed list that is truncated gives the tasks up to there.
	tasks, _ := Unpack(f.tasks)
	s := State{Leader: f.leader, Tasks: tasks, Snapshot: f.snapshot, SnapshotAge: now.Sub(f.snapshotAt), Silent: now.Sub(f.receivedAt)}
	f.forget()
	return s, true
}

// forget forgets the leader, but not when this node took over last.
func (f *Follower) forget() { *f = Follower{claimedAt: f.claimedAt, tickedAt: f.tickedAt} }
