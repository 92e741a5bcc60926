package node

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"gradetiller.example/internal/core/drain"
)

const (
	// retryElsewhereAfter is the retry delay announced to clients that a stopping node refuses
	// while other nodes can accept them.
	retryElsewhereAfter = 10 * time.Millisecond
	// stoppingReason is the outcome of requests that a stopping node refuses.
	stoppingReason = "this node stops before it could answer"
)

// errTerminated is the reason for aborting requests that are in flight at the end of the grace
// period.
var errTerminated = errors.New("the process ends")

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	// requestedAt is the time at which the shutdown was requested.
	requestedAt time.Time
	// acceptFor is the time from requestedAt during which new connections are accepted.
	acceptFor time.Duration
	// endsAt is the time at which requests still in flight are aborted.
	endsAt time.Time
	window drain.Window
	// closing is true if connections are about to be closed. Until then, requests on idle
	// connections that clients keep open are answered. If these were closed earlier, some would
	// be closed just after a request was read and its execution started.
	closing atomic.Bool
}

// stopping reports whether a graceful shutdown is in progress.
func (n *Node) stopping() bool { return n.shutdown.Load() != nil }

// finishesInTime reports whether a request is expected to be answered before a graceful shutdown
// ends the process. Other requests are not started: if one were aborted, its client would lose it
// and might not be allowed to retry.
func (n *Node) finishesInTime(q *request) bool {
	s := n.shutdown.Load()
	switch {
	case s == nil:
		return true
	case s.closing.Load():
		return false
	case s.coversDeadline(q):
		return true
	case time.Since(s.requestedAt) > s.acceptFor:
		// It arrived on a connection opened before, or its body came slowly, and the client knows other addresses by now. An
		// estimate that is too short would leave the client without an answer.
		return false
	}
	duration, known := n.durations.upperEstimate(q)
	return known && s.window.Fits(time.Now(), duration)
}

// finishesAttempt reports whether a request that was accepted is expected to be answered before a graceful shutdown ends the process
// if an attempt begins now.
func (n *Node) finishesAttempt(q *request) bool {
	s := n.shutdown.Load()
	if s == nil || s.coversDeadline(q) {
		return true
	}
	duration, known := n.durations.upperEstimate(q)
	return known && s.window.Fits(time.Now(), duration)
}

// finishesAfterStages is finishesInTime for a request whose stages have ended.
func (n *Node) finishesAfterStages(q *request) bool {
	s := n.shutdown.Load()
	if s == nil || s.coversDeadline(q) {
		return true
	}
	duration, known := n.durations.medianAfterStages(q)
	return known && s.window.Fits(time.Now(), duration)
}

// coversDeadline reports whether a request's deadline is before the end of the process.
func (s *shutdown) coversDeadline(q *request) bool {
	now := time.Now()
	return s.window.Fits(now, q.deadline.Sub(now))
}

// refuseStopping refuses a request that this node can't finish before it stops.
func (n *Node) refuseStopping(w http.ResponseWriter, q *request) {
	n.meters.refusedByShutdown(q.route.Name)
	retryAfter := minRetryAfter
	if n.hasSuccessor(time.Now()) {
		retryAfter = retryElsewhereAfter
	}
	n.refuse(w, q, http.StatusServiceUnavailable, stoppingReason, retryAfter)
}

// endStopping answers a request that this node can't finish before it stops. If it may have run, it answers 502.
func (n *Node) endStopping(w http.ResponseWriter, q *request) {
	if q.mayHaveRun {
		n.answerNotRun(w, q, stoppingReason)
		return
	}
	n.refuseStopping(w, q)
}

// terminated reports whether the grace period is over and requests are aborted.
func (n *Node) terminated() bool { return n.requestContext.Err() != nil }

// failureReason returns reason, or errTerminated's text if the request is aborted by the shutdown,
// which it also counts.
func (n *Node) failureReason(q *request, reason string) string {
	if !n.terminated() {
		return reason
	}
	n.meters.abortedByShutdown(q.route.Name)
	return errTerminated.Error()
}
