package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/socket"
)

// probeLimit is how long an endpoint has to take or refuse a connection. One whose process
// has ended refuses within the time of a packet there and back; one that has gone dark
// never answers.
const probeLimit = 300 * time.Millisecond

// brokenRuns are the runs that broke off lately, by endpoint, until it is known whether
// the endpoint takes connections.
type brokenRuns struct {
	mu    sync.Mutex
	waits map[string][]poison.ID
}

// runBroke takes in that the run of a request broke off at an endpoint without a whole
// answer. A run that was broken off from this side, by its context, tells nothing.
func (n *Node) runBroke(ctx context.Context, e catalog.Endpoint, requests ...poison.ID) {
	if ctx.Err() != nil {
		return
	}
	b := &n.broken
	b.mu.Lock()
	defer b.mu.Unlock()
	_, probing := b.waits[e.ID]
	b.waits[e.ID] = append(b.waits[e.ID], requests...)
	if !probing {
		go n.probe(e)
	}
}

// probe asks whether an endpoint takes connections, once for all runs that broke off there
// at a time.
func (n *Node) probe(e catalog.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	refuses := socket.Refuses(ctx, e.Address)
	b := &n.broken
	b.mu.Lock()
	requests := b.waits[e.ID]
	delete(b.waits, e.ID)
	b.mu.Unlock()
	n.meters.brokenRuns(len(requests), refuses)
	n.log.Info(eventRunBroke, zap.String("endpoint", e.ID), zap.Bool("refuses", refuses), zap.Stringers("contents", requests))
}
