package node

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"gradetiller.example/internal/core/drain"
)

const (
	// elsewhere is told to clients that a stopping node turns away: the other
	// nodes can take them now.
	elsewhere = 10 * time.Millisecond
	// stoppingReason is the outcome of requests that a stopping node turns away.
	stoppingReason = "this node stops before it could answer"
)

// errStopped is why requests end that are still in flight at the end of the
// grace period.
var errStopped = errors.New("the process ends")

// stop is a planned stop under way.
type stop struct {
	// asked is when the process was told to stop.
	asked time.Time
	// accepts is how long from then on new connections are taken.
	accepts time.Duration
	// ends is when the process gives up what is still in flight.
	ends   time.Time
	window drain.Window
	// closing tells that connections are about to be closed. On those that clients
	// keep, requests may come until then, and be answered; closed earlier, some would
	// be closed just when their request has been read and its work begun.
	closing atomic.Bool
}

// stopping reports whether a planned stop is under way.
func (n *Node) stopping() bool { return n.stop.Load() != nil }

// endsInTime reports whether a request that has come will be answered before a
// planned stop ends the process. What is begun and broken off then is lost to the
// client, and may not be sent again; so it is not begun.
func (n *Node) endsInTime(q *request) bool {
	s := n.stop.Load()
	switch {
	case s == nil:
		return true
	case s.closing.Load():
		return false
	case s.surely(q):
		return true
	case q.afterStop > s.accepts:
		// It came on a connection that was opened earlier, and the client has
		// other addresses by now.
		return false
	}
	takes, known := n.times.likely(q)
	return known && s.window.Fits(time.Now(), takes)
}

// stillEndsInTime reports the same of a request whose stages have ended.
func (n *Node) stillEndsInTime(q *request) bool {
	s := n.stop.Load()
	if s == nil || s.surely(q) {
		return true
	}
	takes, known := n.times.even(q)
	return known && s.window.Fits(time.Now(), takes)
}

// surely reports whether the client stops waiting for a request before the end.
func (s *stop) surely(q *request) bool {
	now := time.Now()
	return s.window.Fits(now, q.deadline.Sub(now))
}

// turnAway answers a request that this node could not end.
func (n *Node) turnAway(w http.ResponseWriter, q *request) {
	n.meters.turnedAway(q.route.Name)
	again := againSoon
	if n.hasSuccessor(time.Now()) {
		again = elsewhere
	}
	n.refuse(w, q, http.StatusServiceUnavailable, stoppingReason, again)
}

// ended reports whether the process ends now and gives up its requests.
func (n *Node) ended() bool { return n.requestContext.Err() != nil }

// givenUp returns why a request ends: that the process does, if it does.
func (n *Node) givenUp(q *request, reason string) string {
	if !n.ended() {
		return reason
	}
	n.meters.givenUp(q.route.Name)
	return errStopped.Error()
}
