package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// spreadBound is how long the news that this node leaves may take to
	// reach every node that names it in locate answers.
	spreadBound   = 3 * time.Second
	drainInterval = 20 * time.Millisecond
)

// Drain carries out a planned stop: leave the locate answers, serve until
// every answer that named this node has run out, refuse new requests as not
// run, and wait for those in flight. A canceled ctx ends it early.
func (n *Node) Drain(ctx context.Context) {
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

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
