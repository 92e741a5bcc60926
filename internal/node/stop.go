package node

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"gradetiller.example/internal/core/drain"
)

const (
	// retryElsewhereAfter is told to clients that a stopping node turns away: the other
	// nodes can take them now.
	retryElsewhereAfter = 10 * time.Millisecond
	// stoppingReason is the outcome of requests that a stopping node turns away.
	stoppingReason = "this node stops before it could answer"
)

// errTerminated is why requests end that are still in flight at the end of the
// grace period.
var errTerminated = errors.New("the process ends")

// shutdown is a planned stop under way.
type shutdown struct {
	// requestedAt is when the process was told to stop.
	requestedAt time.Time
	// acceptFor is how long from then on new connections are taken.
	acceptFor time.Duration
	// endsAt is when the process gives up what is still in flight.
	endsAt time.Time
	window drain.Window
	// closing tells that connections are about to be closed. On those that clients
	// keep, requests may come until then, and be answered; closed earlier, some would
	// be closed just when their request has been read and its work begun.
	closing atomic.Bool
}

// stopping reports whether a planned stop is under way.
func (n *Node) stopping() bool { return n.stop.Load() != nil }

// finishesInTime reports whether a request that has come will be answered before a
// planned stop ends the process. What is begun and broken off then is lost to the
// client, and may not be sent again; so it is not begun.
func (n *Node) finishesInTime(q *request) bool {
	s := n.stop.Load()
	switch {
	case s == nil:
		return true
	case s.closing.Load():
		return false
	case s.coversDeadline(q):
		return true
	case q.afterStop > s.acceptFor:
		// It came on a connection that was opened earlier, and the client has
		// other addresses by now.
		return false
	}
	takes, known := n.times.upperEstimate(q)
	return known && s.window.Fits(time.Now(), takes)
}

// finishesAfterStages reports the same of a request whose stages have ended.
func (n *Node) finishesAfterStages(q *request) bool {
	s := n.stop.Load()
	if s == nil || s.coversDeadline(q) {
		return true
	}
	takes, known := n.times.medianAfterStages(q)
	return known && s.window.Fits(time.Now(), takes)
}

// coversDeadline reports whether the client stops waiting for a request before the end.
func (s *shutdown) coversDeadline(q *request) bool {
	now := time.Now()
	return s.window.Fits(now, q.deadline.Sub(now))
}

// rejectStopping answers a request that this node could not end.
func (n *Node) rejectStopping(w http.ResponseWriter, q *request) {
	n.meters.turnedAway(q.route.Name)
	again := minRetryAfter
	if n.othersStay(time.Now()) {
		again = retryElsewhereAfter
	}
	n.refuse(w, q, http.StatusServiceUnavailable, stoppingReason, again)
}

// terminated reports whether the process ends now and gives up its requests.
func (n *Node) terminated() bool { return n.serving.Err() != nil }

// failureReason returns why a request ends: that the process does, if it does.
func (n *Node) failureReason(q *request, reason string) string {
	if !n.terminated() {
		return reason
	}
	n.meters.givenUp(q.route.Name)
	return errTerminated.Error()
}
