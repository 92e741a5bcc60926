package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
)

// sweepInterval is how often endpoints that drained and are gone are dropped.
const sweepInterval = time.Second

// drainingChanged takes endpoints out of use that are newly known to drain.
func (n *Node) drainingChanged(source string, endpoints ...string) {
	if len(endpoints) == 0 {
		return
	}
	for _, e := range endpoints {
		n.log.Info(eventEndpointDraining, zap.String("endpoint", e), zap.String("source", source))
		n.pools.drain(e)
		n.leaders.modelPools.drain(e)
	}
	n.signals.mu.Lock()
	n.signals.pending, n.signals.viewStale = true, true
	n.signals.mu.Unlock()
}

// markDraining marks the endpoints of a list that announced draining, whatever the store says.
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

// applyDraining marks endpoints in the view that are newly known to drain.
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

// sweepDraining drops endpoints that drained and are gone.
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
