package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/drain"
)

const (
	// acceptAfter is how long a node that stops takes new connections: the life
	// of a look-up answer, and half a second for the news that it leaves to reach
	// the nodes that give them. Clients that hold an answer longer are better off
	// with a connection refused, since they take another address at once.
	acceptAfter = answerLife + 500*time.Millisecond
	// elsewhere is told to clients that a stopping node turns away: the other
	// nodes can take them now.
	elsewhere = 10 * time.Millisecond
	// lastMoment is what is left of the grace period when the node gives up
	// what is still in flight.
	lastMoment = 400 * time.Millisecond
	// lastAnswers is how long the last answers have to go out.
	lastAnswers = 100 * time.Millisecond
	drainPoll   = 10 * time.Millisecond
	leadingPoll = 50 * time.Millisecond
	// leaveTime is how long the news that this node is gone have to go out.
	leaveTime = 50 * time.Millisecond
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

// front is where clients' requests come in.
type front struct {
	server   *http.Server
	listener net.Listener
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
	if n.othersStay(time.Now()) {
		again = elsewhere
	}
	n.refuse(w, q, http.StatusServiceUnavailable, stoppingReason, again)
}

// ended reports whether the process ends now and gives up its requests.
func (n *Node) ended() bool { return n.serving.Err() != nil }

// drain stops as planned: the node leaves the look-up answers of all nodes at
// once, serves on for a while, and ends when nothing is in flight.
func (n *Node) drain(f *front) {
	s := n.beginStop()
	time.Sleep(s.accepts)
	_ = f.listener.Close()
	bounded, cancel := context.WithDeadline(context.Background(), s.ends)
	defer cancel()
	n.awaitRequests(bounded)
	for n.leading() && bounded.Err() == nil {
		time.Sleep(leadingPoll)
	}
	s.closing.Store(true)
	clean := n.awaitRequests(bounded)
	n.endRequests(f)
	n.leave()
	if clean {
		n.log.Info(eventStopped)
		return
	}
	n.log.Warn(eventStoppedWithRequestsInFlight)
}

// beginStop has all nodes know that this one leaves.
func (n *Node) beginStop() *stop {
	now := time.Now()
	ends := now.Add(n.settings.Grace - lastMoment)
	s := &stop{asked: now, accepts: min(acceptAfter, n.settings.Grace/2), ends: ends, window: drain.Until(ends)}
	n.stop.Store(s)
	n.publishEntry()
	n.log.Info(eventStopping, zap.Int64("in_flight", n.inFlight.Load()))
	return s
}

// awaitRequests waits until nothing is in flight, and reports false if ctx ends
// first.
func (n *Node) awaitRequests(ctx context.Context) bool {
	for n.inFlight.Load() > 0 {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(drainPoll)
	}
	return true
}

// endRequests gives up what is still in flight. Each request ends itself, so
// that its line in the log tells what became of it; then its answer goes out. A
// request whose client does not read ends with its connection.
func (n *Node) endRequests(f *front) {
	n.giveUp(errStopped)
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	if f.server.Shutdown(ctx) == nil {
		return
	}
	n.log.Info(eventConnectionsCut, zap.Int64("in_flight", n.inFlight.Load()))
	_ = f.server.Close()
	time.Sleep(drainPoll)
}

// givenUp returns why a request ends: that the process does, if it does.
func (n *Node) givenUp(q *request, reason string) string {
	if !n.ended() {
		return reason
	}
	n.meters.givenUp(q.route.Name)
	return errStopped.Error()
}

// leave tells the other nodes that this one is gone.
func (n *Node) leave() {
	n.membersMu.Lock()
	n.members.Leave()
	sends := n.members.Tick(time.Now())
	n.membersMu.Unlock()
	n.sendGossip(sends)
	time.Sleep(leaveTime)
}

// leading reports whether this node still runs stages for others.
func (n *Node) leading() bool {
	n.leaders.mu.Lock()
	defer n.leaders.mu.Unlock()
	for _, c := range n.leaders.cells {
		c.mu.Lock()
		tasks := c.pool.Tasks()
		c.mu.Unlock()
		if tasks > 0 {
			return true
		}
	}
	return false
}
