package node

import (
	"errors"
	"sync"
	"time"

	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/wire"
)

// refusal is a request that was not taken, and when to come back.
type refusal struct {
	reason     string
	retryAfter time.Duration
	// predicted is how long the work would have taken, or 0.
	predicted time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// The reasons for which a leader does not do the work; the last one is the outcome
// of a request that has no try left.
var (
	// errHandedOff tells that a leader gives work back that it had taken. It may
	// stay: then one of higher rank is at work, and a third node that is asked
	// instead would claim the cell too.
	errHandedOff = errors.New("the leader of the stage pool gives its work back")
	// errLeaderLeaving tells that a node takes no work any more. Any other may be
	// asked.
	errLeaderLeaving = errors.New("the leader of the stage pool leaves")
	errLeaderLost    = errors.New("no leader of the stage pool answers")
)

// leavingAnswer is what a node that leaves answers to a submission. Nodes of an
// earlier version take any other reason than MoveReason for a failure of the
// request; so the time for which the node takes no work tells the two apart.
func leavingAnswer(id uint64, left time.Duration) wire.StagesDone {
	return wire.StagesDone{ID: id, Failed: stagepool.ReasonMoved, Again: max(left.Milliseconds(), 1)}
}

// leaderError returns errLeaderLeaves or errLeaderMoved if the work is to go elsewhere.
func leaderError(d *wire.StagesDone) error {
	switch {
	case d.Failed != stagepool.ReasonMoved:
		return nil
	case d.Again > 0:
		return errLeaderLeaving
	}
	return errHandedOff
}

// submissions are the submissions of this node to leaders.
type submissions struct {
	mu       sync.Mutex
	lastID   uint64
	open     map[uint64]*submission
	suspects map[string]suspicion
	// leaving are the incarnations of the nodes that answered that they leave.
	leaving map[string]uint64
}

// suspicion keeps a node from leading until a moment, or until it is heard of.
type suspicion struct {
	until  time.Time
	period time.Duration
}

// submission is one submission.
type submission struct {
	id       uint64
	address  string
	verdicts chan *wire.StagesVerdict
	dones    chan *wire.StagesDone
	broken   chan struct{}
}

func newJobs() *submissions {
	return &submissions{open: make(map[uint64]*submission), suspects: make(map[string]suspicion), leaving: make(map[string]uint64)}
}

func (j *submissions) add(address string) *submission {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastID++
	b := &submission{
		id: j.lastID, address: address, verdicts: make(chan *wire.StagesVerdict, 1),
		dones: make(chan *wire.StagesDone, 1), broken: make(chan struct{}, 1),
	}
	j.open[b.id] = b
	return b
}

func (j *submissions) remove(b *submission) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.open, b.id)
}

func (j *submissions) find(id uint64) *submission {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.open[id]
}

func (j *submissions) deliverVerdict(m *wire.StagesVerdict) {
	if b := j.find(m.ID); b != nil {
		trySend(b.verdicts, m)
	}
}

func (j *submissions) deliverResults(m *wire.StagesDone) {
	if b := j.find(m.ID); b != nil {
		trySend(b.dones, m)
	}
}

// connectionLost tells all jobs at an address that their leader may be gone.
func (j *submissions) connectionLost(address string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, b := range j.open {
		if b.address == address {
			trySend(b.broken, struct{}{})
		}
	}
}

func trySend[T any](c chan T, v T) {
	select {
	case c <- v:
	default:
	}
}

// suspect keeps a node from leading for a while, longer each time in a row,
// and tells all jobs there that their leader may be gone.
func (j *submissions) suspect(now time.Time, address string) {
	j.mu.Lock()
	old := j.suspects[address]
	lasts := minSuspectPeriod
	if now.Before(old.until.Add(minSuspectPeriod)) {
		lasts = min(2*old.period, maxSuspectPeriod)
	}
	j.suspects[address] = suspicion{until: now.Add(lasts), period: lasts}
	j.mu.Unlock()
	j.connectionLost(address)
}

// clearSuspicion ends the suspicion of a node that has sent something.
func (j *submissions) clearSuspicion(address string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s, ok := j.suspects[address]; ok {
		s.until = time.Time{}
		j.suspects[address] = s
	}
}

func (j *submissions) suspected(now time.Time, address string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return now.Before(j.suspects[address].until)
}

// markLeaving notes that a node answered that it leaves. Its entry may tell so later,
// or never.
func (j *submissions) markLeaving(e wire.Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[e.Node] = e.Incarnation
}

// isLeaving reports whether a node answered that it isLeaving. A later incarnation of
// it did not.
func (j *submissions) isLeaving(e wire.Entry) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	incarnation, ok := j.leaving[e.Node]
	return ok && incarnation == e.Incarnation
}
