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
// run, and wait for those in flight.
//
// The process may end when ctx does. Requests that may need longer than ctx's
// deadline are refused from the start, and what is in flight when ctx ends is
// ended with an answer; so no run is under way when Drain returns. The answers
// are then still on their way out.
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
	for n.InFlight() > 0 {
		if !pause(ctx, drainInterval) {
			return
		}
	}
}

// end ends what is in flight. Each of these callers gets an answer that tells
// whether the request may have run, and the log names each.
func (n *Node) end() {
	n.closed.Store(true)
	n.step(func(now time.Time) []run.Action {
		actions := n.engine.End(now)
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
