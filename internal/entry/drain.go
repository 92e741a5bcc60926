package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/run"
)

const (
	// spreadBound is how long the news that this node leaves may take to
	// reach every node that names it in locate answers.
	spreadBound   = 3 * time.Second
	drainInterval = 20 * time.Millisecond
)

// Drain carries out a planned stop: leave the locate answers, serve until
// every answer that named this node has run out, refuse new requests as not
// run, and wait for those in flight and for the store to take back the records
// of those that did not run.
//
// The process may end when ctx does. Requests that may need longer than ctx's
// deadline are refused from the start, and what is in flight when ctx ends is
// ended with an answer; so no run is under way when Drain returns. The answers
// are then still on their way out, and Settle waits for the records.
func (n *Node) Drain(ctx context.Context) {
	if ends, ok := ctx.Deadline(); ok {
		// Before it leaves, so that the end is known to whoever sees it leave.
		n.stopAt(ends)
	}
	n.serveOut(ctx)
	n.end()
}

// serveOut serves until nothing more comes and nothing is in flight, or ctx
// ends.
func (n *Node) serveOut(ctx context.Context) {
	n.Leave()
	keep := spreadBound
	if cfg := n.Config(); cfg != nil {
		keep += cfg.LocateKeep()
	}
	n.log.Info("leaving", zap.Duration("serve_until", keep))
	if !pause(ctx, keep) {
		return
	}
	n.Close()
	n.log.Info("draining", zap.Int("in_flight", n.InFlight()))
	n.settle(ctx)
}

// settle waits until nothing is in flight and every record of a request that
// was told "not run" is taken back, and reports false when ctx ends first. The
// runs come first: only they give the records more to do.
func (n *Node) settle(ctx context.Context) bool {
	for n.InFlight() > 0 || !n.records.settled() {
		if !pause(ctx, drainInterval) {
			return false
		}
	}
	return true
}

// AwaitRecords waits behind Drain for what it left to the store, until ctx ends. A
// request whose record is not taken back by then stays as started for all
// nodes, although its caller may have been told "not run"; the log names it.
func (n *Node) AwaitRecords(ctx context.Context) {
	if n.settle(ctx) {
		return
	}
	for _, key := range n.records.repairs() {
		n.log.Warn("record not taken back", zap.String("record", key))
	}
	n.log.Warn("stopped before the store had answered", zap.Int64("under_way", n.records.underway.Load()))
}

// end ends what is in flight. Each of these callers gets an answer that tells
// whether the request may have run, and the log names each.
func (n *Node) end() {
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

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
