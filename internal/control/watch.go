package control

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/internal/endpoints"
	"gradetiller.example/internal/wire"
)

const (
	watchInterval = time.Second
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
	return shareOf(cfg, nodes, w.c.id.Node)
}

// shareOf picks watchers by rendezvous hashing: nodes with the same view
// agree without messages.
func shareOf(cfg *config.Config, nodes []string, self string) []watched {
	var share []watched
	for i := range cfg.Pools() {
		p := &cfg.Pools()[i]
		for j := range p.Endpoints() {
			e := &p.Endpoints()[j]
			if slices.Contains(watchersOf(e.Address(), nodes), self) {
				share = append(share, watched{pool: p.Name(), name: e.Name(), address: e.Address()})
			}
		}
	}
	return share
}

func watchersOf(address string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(pairHash(address, b), pairHash(address, a)) })
	return ranked[:min(watchersEach, len(ranked))]
}

func pairHash(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	x := h.Sum64()
	x ^= x >> 33
	return x * 0xff51afd7ed558ccd
}
