package node

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/wire"
)

const (
	// verdictTimeout is how long a leader may take to answer a submission. It allows for a
	// lost packet and its retransmission by TCP.
	verdictTimeout = 400 * time.Millisecond
	// reconnectVerdictTimeout is how long the answer may take on a connection that was just
	// opened because the previous one stopped responding.
	reconnectVerdictTimeout = 150 * time.Millisecond
	// pingInterval is how often a leader is asked whether it still works on a task. A slow
	// leader keeps its work: a second one would compete with it for the same endpoints and
	// slow both down.
	pingInterval      = 400 * time.Millisecond
	maxLeaderAttempts = 3
)

// verdictTimeouts holds the time limits for a leader's verdict: for the first attempt, and
// for one after a reconnect.
type verdictTimeouts struct{ first, afterReconnect time.Duration }

// stageWork is the submission of a request's stages, with absolute times.
type stageWork struct {
	submit       wire.StagesSubmit
	softDeadline time.Time
	// laterDeadline takes the place of softDeadline if the work would be rejected otherwise; zero if nothing does.
	laterDeadline time.Time
	deadline      time.Time
	// accepted is the ID of the last submission that a leader accepted and did not hand off, or 0.
	accepted uint64
}

// stageResults holds the results of a request's last stages.
type stageResults struct {
	handles []string
	// endpoint is the endpoint that the leader chose for the request, or "". bounded reports
	// whether the leader knows that this endpoint limits the work it accepts.
	endpoint string
	bounded  bool
	// copyFrom is the address of an endpoint whose cache holds a longer prefix of the prompt.
	copyFrom string
	// leader is the node that ran the stages. predicted is the duration that it predicted for
	// them.
	leader    string
	predicted time.Duration
	// release releases the results and reports the outcome of the placement to the leader; the ID
	// is filled in. Only the first call has an effect.
	release func(wire.StagesRelease)
}

// runStages runs the stages of a request through the leader of their cell. The error is a
// *refusal if the request was not accepted, or the error of the context.
func (n *Node) runStages(ctx context.Context, w stageWork) (stageResults, error) {
	w.submit.Cell = lead.CellOf(w.submit.Prefix, w.submit.RequestID, n.view.Load().cellCount())
	n.awaitJoined(ctx)
	var lastErr error
	reconnected := ""
	for attempts := 0; attempts < maxLeaderAttempts; {
		leader, ok := n.leaderOf(time.Now(), w.submit.Cell)
		if !ok {
			return stageResults{}, &refusal{reason: "no node leads the stage pool", retryAfter: time.Second}
		}
		limit := n.verdictTimeouts.first
		if reconnected == leader.Node {
			limit = n.verdictTimeouts.afterReconnect
		}
		sent := time.Now()
		results, err := n.tryLeader(ctx, leader, &w, limit)
		switch {
		case errors.Is(err, errLeaderLeaving) && leader.Node != n.settings.Node:
			// This does not count as an attempt. The loop terminates, because the node is not
			// ranked again.
			n.submissions.markLeaving(leader)
			continue
		case errors.Is(err, errLeaderLost) && leader.Node != n.settings.Node && reconnected != leader.Node:
			// Possibly only the connection was lost. If a new connection reaches the leader,
			// the work stays there: another node that was asked instead would claim the cell,
			// and all nodes would switch to it and back.
			reconnected = leader.Node
			n.reconnect(leader, sent)
			continue
		case errors.Is(err, errLeaderLost):
			n.suspectLeader(leader, w)
		case !errors.Is(err, errLeaderLeaving) && !errors.Is(err, errHandedOff):
			return results, err
		}
		lastErr = err
		attempts++
	}
	return stageResults{}, &refusal{reason: lastErr.Error(), retryAfter: time.Second}
}

// reconnect closes the connection to a node if it was opened before the given time, at which
// a message was sent that got no answer. Submissions sent on that connection are notified of
// the loss.
func (n *Node) reconnect(to wire.Entry, sent time.Time) {
	if n.links.CloseStale(to.PeerAddress, sent) {
		n.submissions.connectionLost(to.PeerAddress)
	}
}

// suspectLeader excludes a node that did not respond from leading for a while.
func (n *Node) suspectLeader(e wire.Entry, w stageWork) {
	n.log.Warn(eventLeaderLost, zap.String("request", w.submit.RequestID), zap.String("leader", e.Node))
	if e.Node != n.settings.Node {
		n.submissions.suspect(time.Now(), e.PeerAddress)
	}
}

func (n *Node) tryLeader(ctx context.Context, to wire.Entry, w *stageWork, limit time.Duration) (stageResults, error) {
	sub := n.submissions.add(to.PeerAddress)
	now := time.Now()
	submit := w.submit
	submit.ID, submit.Replaces = sub.id, w.accepted
	submit.SoftDeadline = w.softDeadline.Sub(now).Milliseconds()
	if !w.laterDeadline.IsZero() {
		submit.LaterDeadline = max(w.laterDeadline.Sub(now).Milliseconds(), 0)
	}
	submit.Deadline = w.deadline.Sub(now).Milliseconds()
	n.sendToLeader(to, &submit)
	var once sync.Once
	release := func(placed wire.StagesRelease) {
		once.Do(func() {
			n.submissions.remove(sub)
			placed.ID = sub.id
			n.sendToLeader(to, &placed)
		})
	}
	done, predicted, err := sub.awaitVerdict(ctx, limit)
	if err == nil && done == nil {
		w.accepted = sub.id
		done, err = sub.awaitResults(ctx, func() { n.sendToLeader(to, &wire.StagesPing{ID: sub.id}) })
	}
	if err != nil {
		release(wire.StagesRelease{})
		return stageResults{}, err
	}
	if err := leaderError(done); err != nil {
		w.accepted = 0 // It was handed off before any of its stages began.
		release(wire.StagesRelease{})
		return stageResults{}, err
	}
	if done.FailureReason != "" {
		release(wire.StagesRelease{})
		return stageResults{}, &refusal{reason: "stages: " + done.FailureReason, retryAfter: clamp.Milliseconds(done.RetryAfter), predicted: predicted}
	}
	return stageResults{handles: done.Handles, endpoint: done.Endpoint, bounded: done.Bounded, copyFrom: done.CopyFrom, leader: to.Node, predicted: predicted, release: release}, nil
}

// awaitVerdict waits for the leader's verdict up to a time limit, and returns the predicted
// duration. A result that arrives first is returned in its place.
func (s *submission) awaitVerdict(ctx context.Context, limit time.Duration) (*wire.StagesDone, time.Duration, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case v := <-s.verdicts:
		if !v.Accepted {
			return nil, 0, &refusal{reason: cmp.Or(v.Reason, "stages would be late"), retryAfter: clamp.Milliseconds(v.RetryAfter), predicted: clamp.Milliseconds(v.Finish)}
		}
		return nil, clamp.Milliseconds(v.Finish), nil
	case d := <-s.dones:
		return d, 0, nil
	case <-s.broken:
	case <-timer.C:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	return nil, 0, errLeaderLost
}

// awaitResults waits for the results as long as the leader confirms that it works on them.
func (s *submission) awaitResults(ctx context.Context, ping func()) (*wire.StagesDone, error) {
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	pinged := false
	for {
		select {
		case d := <-s.dones:
			return d, nil
		case v := <-s.verdicts:
			if !v.Accepted {
				return nil, errLeaderLost
			}
			pinged = false
			timer.Reset(pingInterval)
		case <-timer.C:
			if pinged {
				return nil, errLeaderLost
			}
			pinged = true
			ping()
			timer.Reset(verdictTimeout)
		case <-s.broken:
			return nil, errLeaderLost
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// sendToLeader sends a message to a leader, which may be this node.
func (n *Node) sendToLeader(to wire.Entry, m wire.Message) {
	if to.Node != n.settings.Node {
		n.links.Send(to.PeerAddress, m)
		return
	}
	n.handleMessage(n.hello(), m, func(m wire.Message) error {
		switch m := m.(type) {
		case wire.StagesAdmission:
			n.submissions.deliverVerdict(&m)
		case wire.StagesDone:
			n.submissions.deliverResults(&m)
		}
		return nil
	})
}
