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
	// watchersEach is how many control processes watch each endpoint.
	watchersEach  = 2
	watchParallel = 8
)

// watcher polls the state of this node's share of the endpoints, so that a
// leaving one is found also by nodes that send it nothing.
type watcher struct {
	c     *Control
	state endpoints.StateReader

	// kept is the share for the configuration and the nodes beside it. To find
	// it anew every second took 149 ms at 380 nodes and 600 endpoints.
	kept  []watched
	cfg   *config.Config
	nodes []string
}

func newWatcher(c *Control) *watcher { return &watcher{c: c, state: endpoints.NewHTTP()} }

type watched struct {
	pool, name, address string
}

func (w *watcher) run(ctx context.Context) {
	every(ctx, watchInterval, func() { w.round(ctx) })
}

func (w *watcher) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	limit := make(chan struct{}, watchParallel)
	var wait sync.WaitGroup
	for _, e := range w.share() {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			w.look(ctx, e)
		})
	}
	wait.Wait()
}

func (w *watcher) look(ctx context.Context, e watched) {
	state, err := w.state.State(ctx, e.address)
	if err != nil {
		// Entries set failing endpoints aside by themselves.
		return
	}
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	w.c.member.SetEndpoint(wire.Endpoint{Pool: e.pool, Name: e.name, Leaving: state.Leaving})
}

// share returns the endpoints that this node is to watch.
func (w *watcher) share() []watched {
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
		w.kept, w.cfg, w.nodes = shareOf(cfg, nodes, w.c.id.Node), cfg, nodes
	}
	return w.kept
}

// shareOf picks watchers by rendezvous hashing: nodes with the same view
// agree without messages.
func shareOf(cfg *config.Config, nodes []string, self string) []watched {
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
	var share []watched
	for i := range cfg.Pools() {
		p := &cfg.Pools()[i]
		for j := range p.Endpoints() {
			e := &p.Endpoints()[j]
			if watches(hash.Of(e.Address()), hashes, own) {
				share = append(share, watched{pool: p.Name(), name: e.Name(), address: e.Address()})
			}
		}
	}
	return share
}

// watches reports whether fewer than watchersEach nodes rank before the own
// one for an endpoint.
func watches(endpoint uint64, nodes []uint64, own int) bool {
	mine := hash.Pair(endpoint, nodes[own])
	before := 0
	for i, h := range nodes {
		if i == own {
			continue
		}
		if r := hash.Pair(endpoint, h); r > mine || r == mine && i < own {
			before++
		}
	}
	return before < watchersEach
}
