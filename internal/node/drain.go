package node

import (
	"context"
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
)

// drain stops as planned: the node leaves the look-up answers of all nodes at
// once, serves on for a while, and ends when nothing is in flight.
func (n *Node) drain(servers []*http.Server) {
	started := time.Now()
	n.draining.Store(true)
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
	n.membersMu.Lock()
	n.members.Leave()
	sends := n.members.Tick(time.Now())
	n.membersMu.Unlock()
	n.sendGossip(sends)
	time.Sleep(50 * time.Millisecond)
	n.log.Info(eventStopped)
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
