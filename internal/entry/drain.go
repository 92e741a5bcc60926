package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/run"
)

const (
	// maxPropagationDelay bounds the time until every node that names this node
	// in locate responses knows that it is leaving.
	maxPropagationDelay = 3 * time.Second
	drainPollInterval   = 20 * time.Millisecond
)

// Drain performs a graceful shutdown: it removes the node from locate responses,
// serves until every locate response that named this node has expired, refuses
// new requests as not run, and waits for the runs in flight and for the store
// to mark the records of requests answered as "not run" as abandoned.
//
// The process may exit once ctx is done. Requests that may need longer than
// ctx's deadline are refused from the start, and runs in flight when ctx is
// done are ended with an answer, so that no run is left when Drain returns.
// Answers may then still be in transmission, and store operations outstanding;
// AwaitRecords waits for the latter.
func (n *Node) Drain(ctx context.Context) {
	if ends, ok := ctx.Deadline(); ok {
		// Set before Leave, so that the bound already holds when another process
		// sees this node as leaving.
		n.stopAt(ends)
	}
	n.leaveAndDrain(ctx)
	n.terminate()
}

// leaveAndDrain serves until locate responses that name this node have expired
// and no run is in flight, or until ctx is done.
func (n *Node) leaveAndDrain(ctx context.Context) {
	n.Leave()
	keep := maxPropagationDelay
	if cfg := n.Config(); cfg != nil {
		keep += cfg.LocateKeep()
	}
	n.log.Info("leaving", zap.Duration("serve_until", keep))
	if !sleep(ctx, keep) {
		return
	}
	n.Close()
	n.log.Info("draining", zap.Int("in_flight", n.InFlight()))
	n.awaitIdle(ctx)
}

// awaitIdle waits until no run is in flight and every record of a request that
// was answered as "not run" is marked abandoned. It reports false if ctx is
// done first. Runs are checked before records, because only runs add records.
func (n *Node) awaitIdle(ctx context.Context) bool {
	for n.InFlight() > 0 || !n.records.flushed() {
		if !sleep(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}

// AwaitRecords waits for the store operations that were outstanding when Drain
// returned, until ctx is done. A record that is not marked abandoned by then
// makes every node treat its request as started, although the client may have
// been told "not run"; such records are logged.
func (n *Node) AwaitRecords(ctx context.Context) {
	if n.awaitIdle(ctx) {
		return
	}
	for _, key := range n.records.pendingRepairs() {
		n.log.Warn("record not taken back", zap.String("record", key))
	}
	n.log.Warn("stopped before the store had answered", zap.Int64("under_way", n.records.pending.Load()))
}

// terminate ends all runs in flight and logs each. Their clients get an answer
// that states whether the request may have run.
func (n *Node) terminate() {
	n.closed.Store(true)
	n.step(func(now time.Time) []run.Action {
		actions := n.engine.Terminate(now)
		for _, a := range actions {
			if f, ok := a.(run.Finish); ok {
				n.log.Warn("ended by the stop", zap.String("request", f.Summary.RequestID),
					zap.String("account", f.Summary.Account), zap.Duration("took", f.Summary.Took), zap.Error(f.Err))
			}
		}
		return actions
	})
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
