package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptAfter is how long clients still come after the node has left the
	// look-up answers: they hold answers up to three times their life.
	acceptAfter = 3500 * time.Millisecond
	// lastMoment is what is left of the grace period when the node gives up
	// what is still in flight.
	lastMoment = 400 * time.Millisecond
	// lastAnswers is how long requests that are given up have to say so.
	lastAnswers = 100 * time.Millisecond
	drainPoll   = 10 * time.Millisecond
)

// errStopped is why requests end that are still in flight at the end of the
// grace period.
var errStopped = errors.New("the process ends")

// stop is a planned stop under way.
type stop struct {
	// asked is when the process was told to stop.
	asked time.Time
}

// stopping reports whether a planned stop is under way.
func (n *Node) stopping() bool { return n.stop.Load() != nil }

// ended reports whether the process ends now and gives up its requests.
func (n *Node) ended() bool { return n.serving.Err() != nil }

// drain stops as planned: the node leaves the look-up answers of all nodes at
// once, serves on for a while, and ends when nothing is in flight.
func (n *Node) drain(servers []*http.Server) {
	started := time.Now()
	n.stop.Store(&stop{asked: started})
	n.publishEntry()
	n.log.Info(eventStopping, zap.Int64("in_flight", n.inFlight.Load()))
	time.Sleep(min(acceptAfter, n.settings.Grace/2))
	bounded, cancel := context.WithDeadline(context.Background(), started.Add(n.settings.Grace-lastMoment))
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
