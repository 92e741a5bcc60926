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
	// acceptTime is how long a stopping node accepts new connections: the lifetime of a lookup
	// response, plus half a second for the gossip that it is leaving to reach the nodes that send
	// those responses. Clients that use a response for longer are better served by a refused
	// connection, because they try another address at once.
	acceptTime = maxLookupTTL + 500*time.Millisecond
	// shutdownMargin is the part of the grace period that remains when the node aborts the
	// requests still in flight.
	shutdownMargin = 400 * time.Millisecond
	// flushTimeout bounds the time for clients to read the end of a response, within the grace
	// period. On a saturated link a few kilobytes take this long.
	flushTimeout = 500 * time.Millisecond
	// finalResponsesTimeout bounds the time for sending the responses of aborted requests.
	finalResponsesTimeout = 100 * time.Millisecond
	drainPollInterval     = 10 * time.Millisecond
	leadingPollInterval   = 50 * time.Millisecond
	// leaveGossipTime is the time for the final gossip to be sent before the process exits.
	leaveGossipTime = 50 * time.Millisecond
)

// front is the HTTP server for client requests.
type front struct {
	server   *http.Server
	listener net.Listener
}

// drain shuts down gracefully. All nodes stop listing this node in lookup responses at once, while
// it accepts connections for up to acceptTime. It then serves until no request is in flight or the
// grace period is over.
func (n *Node) drain(f *front) {
	s := n.beginShutdown()
	time.Sleep(s.acceptFor)
	_ = f.listener.Close()
	ctx, cancel := context.WithDeadline(context.Background(), s.endsAt)
	defer cancel()
	n.awaitRequests(ctx)
	for n.leadsTasks() && ctx.Err() == nil {
		time.Sleep(leadingPollInterval)
	}
	s.closing.Store(true)
	clean := n.awaitRequests(ctx)
	if clean {
		f.flush(ctx)
	}
	n.abortRequests(f)
	n.leave()
	if clean {
		n.log.Info(eventStopped)
		return
	}
	n.log.Warn(eventStoppedWithRequestsInFlight)
}

// flush waits until the ends of responses are sent, which happens after their requests are no
// longer counted as in flight.
func (f *front) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_ = f.server.Shutdown(ctx)
}

// beginShutdown starts a graceful shutdown and announces to all nodes that this one is leaving.
func (n *Node) beginShutdown() *shutdown {
	now := time.Now()
	ends := now.Add(n.settings.GracePeriod - shutdownMargin)
	s := &shutdown{requestedAt: now, acceptFor: min(acceptTime, n.settings.GracePeriod/2), endsAt: ends, window: drain.Until(ends)}
	n.shutdown.Store(s)
	n.publishEntry()
	n.log.Info(eventStopping, zap.Int64("in_flight", n.inFlight.Load()))
	return s
}

// awaitRequests waits until no request is in flight, and reports false if ctx ends first.
func (n *Node) awaitRequests(ctx context.Context) bool {
	for n.inFlight.Load() > 0 {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}

// abortRequests aborts the requests still in flight. Each of them writes its own log line and
// response. A request whose client doesn't read is ended by closing its connection.
func (n *Node) abortRequests(f *front) {
	n.cancelRequests(errTerminated)
	ctx, cancel := context.WithTimeout(context.Background(), finalResponsesTimeout)
	defer cancel()
	if f.server.Shutdown(ctx) == nil {
		return
	}
	n.log.Info(eventConnectionsCut, zap.Int64("in_flight", n.inFlight.Load()))
	_ = f.server.Close()
	time.Sleep(drainPollInterval)
}

// leave announces to the other nodes that this one has left.
func (n *Node) leave() {
	n.membersMu.Lock()
	n.members.Leave()
	sends := n.members.Tick(time.Now())
	n.membersMu.Unlock()
	n.sendGossip(sends)
	time.Sleep(leaveGossipTime)
}

// leadsTasks reports whether this node, as a leader, has stage tasks that are not finished.
func (n *Node) leadsTasks() bool {
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
