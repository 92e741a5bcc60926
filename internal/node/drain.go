package node

import (
	"context"
	"errors"
	"net/http"
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
	// lastAnswers is how long requests that are given up have to say so.
	lastAnswers = 100 * time.Millisecond
	drainPoll   = 10 * time.Millisecond
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
	// window ends when the process gives up what is still in flight.
	window drain.Window
}

// stopping reports whether a planned stop is under way.
func (n *Node) stopping() bool { return n.stop.Load() != nil }

// canEnd reports whether a request's work, or what is left of it, will be done
// before a planned stop ends the process. What is begun and broken off then is
// lost to the client, so it is not begun.
func (n *Node) canEnd(q *request, work map[string]*drain.Durations) bool {
	s := n.stop.Load()
	if s == nil {
		return true
	}
	now := time.Now()
	if s.window.Fits(now, q.deadline.Sub(now)) {
		return true
	}
	takes, known := n.times.likely(work, q.route.Name)
	return !known || s.window.Fits(now, takes)
}

// ended reports whether the process ends now and gives up its requests.
func (n *Node) ended() bool { return n.serving.Err() != nil }

// drain stops as planned: the node leaves the look-up answers of all nodes at
// once, serves on for a while, and ends when nothing is in flight.
func (n *Node) drain(servers []*http.Server) {
	started := time.Now()
	ends := started.Add(n.settings.Grace - lastMoment)
	n.stop.Store(&stop{asked: started, window: drain.Until(ends)})
	n.publishEntry()
	n.log.Info(eventStopping, zap.Int64("in_flight", n.inFlight.Load()))
	time.Sleep(min(acceptAfter, n.settings.Grace/2))
	bounded, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	front := servers[len(servers)-1]
	front.SetKeepAlivesEnabled(false)
	if err := front.Shutdown(bounded); err != nil {
		n.log.Warn(eventStoppedWithRequestsInFlight, zap.Int64("in_flight", n.inFlight.Load()))
	}
	for n.leading() && bounded.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	n.endRequests()
	n.membersMu.Lock()
	n.members.Leave()
	sends := n.members.Tick(time.Now())
	n.membersMu.Unlock()
	n.sendGossip(sends)
	time.Sleep(50 * time.Millisecond)
	n.log.Info(eventStopped)
}

// endRequests gives up what is still in flight. Each request ends itself, so
// that its line in the log tells what became of it.
func (n *Node) endRequests() {
	n.giveUp(errStopped)
	for wait := lastAnswers; wait > 0 && n.inFlight.Load() > 0; wait -= drainPoll {
		time.Sleep(drainPoll)
	}
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
