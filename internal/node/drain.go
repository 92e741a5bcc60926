package node

import (
	"context"
	"net"
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
	acceptAfter = maxLookupTTL + 500*time.Millisecond
	// lastMoment is what is left of the grace period when the node gives up
	// what is still in flight.
	lastMoment = 400 * time.Millisecond
	// flushTime is how long clients have to read the end of an answer, where the
	// grace period leaves it; a link that is full takes that for some kilobytes.
	flushTime = 500 * time.Millisecond
	// lastAnswers is how long the last answers have to go out.
	lastAnswers = 100 * time.Millisecond
	drainPoll   = 10 * time.Millisecond
	leadingPoll = 50 * time.Millisecond
	// leaveTime is how long the news that this node is gone have to go out.
	leaveTime = 50 * time.Millisecond
)

// front is where clients' requests come in.
type front struct {
	server   *http.Server
	listener net.Listener
}

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
	if clean {
		f.flush(bounded)
	}
	n.endRequests(f)
	n.leave()
	if clean {
		n.log.Info(eventStopped)
		return
	}
	n.log.Warn(eventStoppedWithRequestsInFlight)
}

// flush waits for the ends of answers, which leave the process after the requests
// are no longer counted.
func (f *front) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	_ = f.server.Shutdown(ctx)
}

// beginStop has all nodes know that this one leaves.
func (n *Node) beginStop() *stop {
	now := time.Now()
	ends := now.Add(n.settings.GracePeriod - lastMoment)
	s := &stop{asked: now, accepts: min(acceptAfter, n.settings.GracePeriod/2), ends: ends, window: drain.Until(ends)}
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
	n.cancelRequests(errStopped)
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	if f.server.Shutdown(ctx) == nil {
		return
	}
	n.log.Info(eventConnectionsCut, zap.Int64("in_flight", n.inFlight.Load()))
	_ = f.server.Close()
	time.Sleep(drainPoll)
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
