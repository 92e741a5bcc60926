package node

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/wire"
)

const (
	// verdictTimeout is how long a leader may take to answer a submission. It
	// covers the loss of a packet, after which TCP sends it again.
	verdictTimeout = 400 * time.Millisecond
	// reconnectVerdictTimeout is how long it may take on a connection that was just opened
	// because the one before had fallen silent.
	reconnectVerdictTimeout = 150 * time.Millisecond
	// pingInterval is how often a leader is asked whether it is still at work. A
	// leader that is slow is left to its work: a second one would compete with
	// it for the same endpoints and make both slower.
	pingInterval      = 400 * time.Millisecond
	maxLeaderAttempts = 3
)

// verdictTimeouts is how long a leader has for its verdict, at first and on a renewed
// connection.
type verdictTimeouts struct{ first, afterReconnect time.Duration }

// stageWork is a request's stages, in absolute times.
type stageWork struct {
	submit       wire.StagesSubmit
	softDeadline time.Time
	deadline     time.Time
}

// stageResults are the results of a request's last stages.
type stageResults struct {
	handles []string
	// endpoint is where the leader wants the request to run, or "", and bounded whether it
	// knows that the endpoint bounds what it takes.
	endpoint string
	bounded  bool
	// copyFrom is the address of an endpoint that holds more of the prompt.
	copyFrom string
	// leader ran the stages and predicted how long they would take.
	leader    string
	predicted time.Duration
	// release gives them up and tells how the endpoint did; it may be called
	// more than once.
	release func(wire.Placement)
}

// runStages has a request's stages run by a leader. An error is a *refusal
// when the request was not taken, or the context's.
func (n *Node) runStages(ctx context.Context, w stageWork) (stageResults, error) {
	w.submit.Cell = int(hash.Of(w.submit.RequestID) % uint64(n.view.Load().cellCount()))
	n.awaitJoined(ctx)
	var last error
	silent := ""
	for tries := 0; tries < maxLeaderAttempts; {
		leader, ok := n.leaderOf(time.Now(), w.submit.Cell)
		if !ok {
			return stageResults{}, &refusal{reason: "no node leads the stage pool", retryAfter: time.Second}
		}
		limit := n.verdictTimeouts.first
		if silent == leader.Node {
			limit = n.verdictTimeouts.afterReconnect
		}
		asked := time.Now()
		results, err := n.tryLeader(ctx, leader, w, limit)
		switch {
		case errors.Is(err, errLeaderLeaving) && leader.Node != n.settings.Node:
			// It is no try, and can't go on for ever: the node is not ranked again.
			n.submissions.markLeaving(leader)
			continue
		case errors.Is(err, errLeaderLost) && leader.Node != n.settings.Node && silent != leader.Node:
			// Perhaps only the connection is lost. The work stays with its leader
			// if a new one reaches it: a second leader that was asked instead would
			// claim the cell, and all nodes would change to it and back.
			silent = leader.Node
			n.reconnect(leader, asked)
			continue
		case errors.Is(err, errLeaderLost):
			n.suspectLeader(leader, w)
		case !errors.Is(err, errLeaderLeaving) && !errors.Is(err, errHandedOff):
			return results, err
		}
		last = err
		tries++
	}
	return stageResults{}, &refusal{reason: last.Error(), retryAfter: time.Second}
}

// reconnect gives the connection to a node up on which the answer to what was asked at
// a moment did not come, and tells all jobs that were sent on it. One that was opened
// later stays.
func (n *Node) reconnect(to wire.Entry, asked time.Time) {
	if n.links.Renew(to.PeerAddress, asked) {
		n.submissions.connectionLost(to.PeerAddress)
	}
}

// suspectLeader keeps a node that did not answer from leading for a while.
func (n *Node) suspectLeader(e wire.Entry, w stageWork) {
	n.log.Warn(eventLeaderLost, zap.String("request", w.submit.RequestID), zap.String("leader", e.Node))
	if e.Node != n.settings.Node {
		n.submissions.suspect(time.Now(), e.PeerAddress)
	}
}

func (n *Node) tryLeader(ctx context.Context, to wire.Entry, w stageWork, limit time.Duration) (stageResults, error) {
	b := n.submissions.add(to.PeerAddress)
	now := time.Now()
	w.submit.ID = b.id
	w.submit.Aim = w.softDeadline.Sub(now).Milliseconds()
	w.submit.Deadline = w.deadline.Sub(now).Milliseconds()
	n.sendToLeader(to, &w.submit)
	var once sync.Once
	release := func(how wire.Placement) {
		once.Do(func() {
			n.submissions.remove(b)
			n.sendToLeader(to, &wire.StagesRelease{ID: b.id, Placement: how})
		})
	}
	done, predicted, err := b.awaitVerdict(ctx, limit)
	if err == nil && done == nil {
		done, err = b.awaitResults(ctx, func() { n.sendToLeader(to, &wire.StagesPing{ID: b.id}) })
	}
	if err != nil {
		release(wire.PlacementUnused)
		return stageResults{}, err
	}
	if err := leaderError(done); err != nil {
		release(wire.PlacementUnused)
		return stageResults{}, err
	}
	if done.Failed != "" {
		release(wire.PlacementUnused)
		return stageResults{}, &refusal{reason: "stages: " + done.Failed, retryAfter: time.Duration(done.Again) * time.Millisecond, predicted: predicted}
	}
	return stageResults{handles: done.Handles, endpoint: done.Endpoint, bounded: done.Bounded, copyFrom: done.CopyFrom, leader: to.Node, predicted: predicted, release: release}, nil
}

// awaitVerdict waits for the leader's verdict until a limit; a result that comes first
// counts too. It returns the leader's prediction too.
func (b *submission) awaitVerdict(ctx context.Context, limit time.Duration) (*wire.StagesDone, time.Duration, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case v := <-b.verdicts:
		if !v.Accepted {
			return nil, 0, &refusal{reason: cmp.Or(v.Reason, "stages would be late"), retryAfter: time.Duration(v.Again) * time.Millisecond, predicted: time.Duration(v.Finish) * time.Millisecond}
		}
		return nil, time.Duration(v.Finish) * time.Millisecond, nil
	case d := <-b.dones:
		return d, 0, nil
	case <-b.broken:
	case <-timer.C:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	return nil, 0, errLeaderLost
}

// awaitResults waits for the results as long as the leader answers that it works
// on them.
func (b *submission) awaitResults(ctx context.Context, ping func()) (*wire.StagesDone, error) {
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	asked := false
	for {
		select {
		case d := <-b.dones:
			return d, nil
		case v := <-b.verdicts:
			if !v.Accepted {
				return nil, errLeaderLost
			}
			asked = false
			timer.Reset(pingInterval)
		case <-timer.C:
			if asked {
				return nil, errLeaderLost
			}
			asked = true
			ping()
			timer.Reset(verdictTimeout)
		case <-b.broken:
			return nil, errLeaderLost
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// sendToLeader hands a message to a leader, which may be this node.
func (n *Node) sendToLeader(to wire.Entry, m wire.Message) {
	if to.Node != n.settings.Node {
		n.links.Send(to.PeerAddress, m)
		return
	}
	n.handleMessage(n.hello(), m, func(m wire.Message) error {
		switch m := m.(type) {
		case wire.StagesVerdict:
			n.submissions.deliverVerdict(&m)
		case wire.StagesDone:
			n.submissions.deliverResults(&m)
		}
		return nil
	})
}
