package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/endpoints"
	"gradetiller.example/internal/wire"
)

const (
	watchInterval = 2 * time.Second
	watchTimeout  = 800 * time.Millisecond
	// watchersPerEndpoint is the number of control processes that poll each endpoint.
	watchersPerEndpoint = 2
	maxParallelPolls    = 8
)

// watcher polls the state of this node's share of the endpoints, so that nodes
// learn that an endpoint is draining even if they send it no calls.
type watcher struct {
	c     *Control
	state endpoints.StateReader

	// cachedShare is the share for cfg and nodes. It is cached because computing
	// it takes 149 ms for 380 nodes and 600 endpoints, at every poll.
	cachedShare []watchedEndpoint
	cfg         *config.Config
	nodes       []string
}

func newWatcher(c *Control) *watcher { return &watcher{c: c, state: endpoints.NewHTTP()} }

type watchedEndpoint struct {
	pool, name, address string
}

func (w *watcher) run(ctx context.Context) {
	every(ctx, watchInterval, func() { w.pollShare(ctx) })
}

func (w *watcher) pollShare(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	limit := make(chan struct{}, maxParallelPolls)
	var wait sync.WaitGroup
	for _, e := range w.share() {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			w.pollEndpoint(ctx, e)
		})
	}
	wait.Wait()
}

func (w *watcher) pollEndpoint(ctx context.Context, e watchedEndpoint) {
	state, err := w.state.State(ctx, e.address)
	if err != nil {
		// Entries detect failing endpoints themselves and eject them.
		return
	}
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	w.c.member.SetEndpoint(wire.Endpoint{Pool: e.pool, Name: e.name, Leaving: state.Draining})
}

// share returns the endpoints that this node polls.
func (w *watcher) share() []watchedEndpoint {
	w.c.mu.Lock()
	cfg := w.c.cfg
	var nodes []string
	for _, m := range w.c.member.Members() {
		if m.State == wire.Alive || m.State == wire.Suspect {
			nodes = append(nodes, m.Node)
		}
	}
	w.c.mu.Unlock()
	if cfg == nil {
		return nil
	}
	if cfg != w.cfg || !slices.Equal(nodes, w.nodes) {
		w.cachedShare, w.cfg, w.nodes = shareOf(cfg, nodes, w.c.id.Node), cfg, nodes
	}
	return w.cachedShare
}

// shareOf assigns watchers to endpoints by rendezvous hashing, so that nodes with
// the same view agree without messages.
func shareOf(cfg *config.Config, nodes []string, self string) []watchedEndpoint {
	hashes := make([]uint64, len(nodes))
	own := -1
	for i, name := range nodes {
		hashes[i] = hash.Of(name)
		if name == self {
			own = i
		}
	}
	if own < 0 {
		return nil
	}
	var share []watchedEndpoint
	for i := range cfg.Pools() {
		p := &cfg.Pools()[i]
		for j := range p.Endpoints() {
			e := &p.Endpoints()[j]
			if watches(hash.Of(e.Address()), hashes, own) {
				share = append(share, watchedEndpoint{pool: p.Name(), name: e.Name(), address: e.Address()})
			}
		}
	}
	return share
}

// watches reports whether the node at index own is among the watchersPerEndpoint
// highest-ranked nodes for an endpoint.
func watches(endpoint uint64, nodes []uint64, own int) bool {
	ownRank := hash.Pair(endpoint, nodes[own])
	before := 0
	for i, h := range nodes {
		if i == own {
			continue
		}
		if r := hash.Pair(endpoint, h); r > ownRank || r == ownRank && i < own {
			before++
		}
	}
	return before < watchersPerEndpoint
}
