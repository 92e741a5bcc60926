package node

import (
	"errors"
	"sync"
	"time"

	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/wire"
)

// refusal is the error for a request that was not accepted, with the time after which to
// retry it.
type refusal struct {
	reason     string
	retryAfter time.Duration
	// predicted is the predicted duration of the work, or 0 if unknown.
	predicted time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// Reasons why a leader does not do the work. The last one becomes the outcome of a request
// that has no attempts left.
var (
	// errHandedOff means that a leader returned work that it had accepted. The node may
	// continue to run: then another one of higher rank leads the cell, and a third node that
	// was asked instead would claim the cell too.
	errHandedOff = errors.New("the leader of the stage pool gives its work back")
	// errLeaderLeaving means that a node accepts no more work. Any other node may be asked.
	errLeaderLeaving = errors.New("the leader of the stage pool leaves")
	errLeaderLost    = errors.New("no leader of the stage pool answers")
)

// leavingAnswer returns the answer of a leaving node to a submission. Nodes of an earlier
// version treat every reason other than stagepool.ReasonMoved as a failure of the request.
// Therefore the reason is the same as for a handoff, and a retry time above 0, the time that
// the node has left, distinguishes the two.
func leavingAnswer(id uint64, left time.Duration) wire.StagesDone {
	return wire.StagesDone{ID: id, FailureReason: stagepool.ReasonMoved, RetryAfter: max(left.Milliseconds(), 1)}
}

// leaderError returns errLeaderLeaving or errHandedOff if the work must be submitted to
// another leader, otherwise nil.
func leaderError(d *wire.StagesDone) error {
	switch {
	case d.FailureReason != stagepool.ReasonMoved:
		return nil
	case d.RetryAfter > 0:
		return errLeaderLeaving
	}
	return errHandedOff
}

// submissions holds the open submissions of this node, and what it knows of the leaders.
type submissions struct {
	mu       sync.Mutex
	lastID   uint64
	open     map[uint64]*submission
	suspects map[string]suspicion
	// leaving holds the incarnations of nodes that announced in an answer that they are
	// leaving.
	leaving map[string]uint64
}

// suspicion excludes a node from leading until a time, or until a message from it arrives.
type suspicion struct {
	until  time.Time
	period time.Duration
}

// submission is one submission to a leader.
type submission struct {
	id       uint64
	address  string
	verdicts chan *wire.StagesAdmission
	dones    chan *wire.StagesDone
	broken   chan struct{}
}

func newSubmissions() *submissions {
	return &submissions{open: make(map[uint64]*submission), suspects: make(map[string]suspicion), leaving: make(map[string]uint64)}
}

func (s *submissions) add(address string) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	sub := &submission{
		id: s.lastID, address: address, verdicts: make(chan *wire.StagesAdmission, 1),
		dones: make(chan *wire.StagesDone, 1), broken: make(chan struct{}, 1),
	}
	s.open[sub.id] = sub
	return sub
}

func (s *submissions) remove(sub *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, sub.id)
}

func (s *submissions) find(id uint64) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id]
}

func (s *submissions) deliverVerdict(m *wire.StagesAdmission) {
	if sub := s.find(m.ID); sub != nil {
		trySend(sub.verdicts, m)
	}
}

func (s *submissions) deliverResults(m *wire.StagesDone) {
	if sub := s.find(m.ID); sub != nil {
		trySend(sub.dones, m)
	}
}

// connectionLost signals all open submissions to an address that their leader may be lost.
func (s *submissions) connectionLost(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.open {
		if sub.address == address {
			trySend(sub.broken, struct{}{})
		}
	}
}

func trySend[T any](c chan T, v T) {
	select {
	case c <- v:
	default:
	}
}

// suspect excludes a node from leading for a while, longer for each time in a row, and
// signals its open submissions that their leader may be lost.
func (s *submissions) suspect(now time.Time, address string) {
	s.mu.Lock()
	old := s.suspects[address]
	period := minSuspectPeriod
	if now.Before(old.until.Add(minSuspectPeriod)) {
		period = min(2*old.period, maxSuspectPeriod)
	}
	until := now.Add(period)
	if old.until.After(until) {
		until = old.until
	}
	s.suspects[address] = suspicion{until: until, period: period}
	s.mu.Unlock()
	s.connectionLost(address)
}

// replaceLeader excludes a node whose standby took over from leading, and signals its open submissions
// that it is lost. It returns their number.
func (s *submissions) replaceLeader(now time.Time, address string) int {
	s.mu.Lock()
	s.suspects[address] = suspicion{until: now.Add(replacedPeriod), period: maxSuspectPeriod}
	open := 0
	for _, sub := range s.open {
		if sub.address == address {
			open++
		}
	}
	s.mu.Unlock()
	s.connectionLost(address)
	return open
}

// clearSuspicion ends the suspicion of a node from which a message arrived.
func (s *submissions) clearSuspicion(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.suspects[address]; ok {
		old.until = time.Time{}
		s.suspects[address] = old
	}
}

func (s *submissions) suspected(now time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.suspects[address].until)
}

// markLeaving records that a node answered that it is leaving. Its gossiped entry may show
// this later, or never.
func (s *submissions) markLeaving(e wire.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[e.Node] = e.Incarnation
}

// isLeaving reports whether this incarnation of a node answered that it is leaving.
func (s *submissions) isLeaving(e wire.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation, ok := s.leaving[e.Node]
	return ok && incarnation == e.Incarnation
}
