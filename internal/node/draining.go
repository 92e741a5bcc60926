package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
)

// sweepInterval is the minimum interval between sweeps of the set of draining endpoints.
const sweepInterval = time.Second

// drainingChanged stops calls to endpoints that were found to be draining, and schedules them for
// gossip.
func (n *Node) drainingChanged(source string, endpoints ...string) {
	if len(endpoints) == 0 {
		return
	}
	for _, e := range endpoints {
		n.log.Info(eventEndpointDraining, zap.String("endpoint", e), zap.String("source", source))
		n.pools.markDraining(e)
		n.leaders.modelPools.markDraining(e)
	}
	n.signals.mu.Lock()
	n.signals.pending, n.signals.viewStale = true, true
	n.signals.mu.Unlock()
}

// markDraining marks the endpoints of a list that announced draining, regardless of their state in
// the store.
func (s *signals) markDraining(list []catalog.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry.Draining().Len() == 0 {
		return
	}
	for i := range list {
		list[i].Draining = list[i].Draining || s.registry.Draining().Has(list[i].ID)
	}
}

// applyDraining marks endpoints in the view that were found to be draining since the last call.
func (n *Node) applyDraining() {
	n.signals.mu.Lock()
	stale := n.signals.viewStale
	n.signals.viewStale = false
	n.signals.mu.Unlock()
	if !stale {
		return
	}
	n.viewMu.Lock()
	next := *n.view.Load()
	next.endpoints = slices.Clone(next.endpoints)
	n.signals.markDraining(next.endpoints)
	n.view.Store(&next)
	n.viewMu.Unlock()
	n.updatePools()
}

// sweepDraining removes draining endpoints that have terminated from the set.
func (n *Node) sweepDraining(now time.Time) {
	s := n.signals
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry.Draining().Len() == 0 || now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	listed := make(map[string]bool)
	for _, e := range n.view.Load().endpoints {
		listed[e.ID] = true
	}
	s.registry.Draining().Expire(now, func(endpoint string) bool { return listed[endpoint] })
}
