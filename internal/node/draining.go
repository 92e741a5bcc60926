package node

import (
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

// markDraining returns the endpoints with those marked that announced draining, regardless of their
// state in the store.
func (s *signals) markDraining(list catalog.Endpoints) catalog.Endpoints {
	s.mu.Lock()
	defer s.mu.Unlock()
	var marked []*catalog.Endpoint
	for id := range s.registry.Draining().All() {
		if e, ok := list.Get(id); ok && !e.Draining {
			draining := *e
			draining.Draining = true
			marked = append(marked, &draining)
		}
	}
	return list.With(marked, nil)
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
	next.setEndpoints(n.signals.markDraining(next.endpoints))
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
	endpoints := n.view.Load().endpoints
	s.registry.Draining().Expire(now, func(endpoint string) bool {
		_, listed := endpoints.Get(endpoint)
		return listed
	})
}
