package node

import (
	"sync"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/place"
)

// The placement policies of the two kinds of service.
const (
	plainPolicy = "predicted_finish"
	modelPolicy = "prefix_affinity"
)

// pools holds the endpoints of the services that requests go to.
type pools struct {
	mu        sync.Mutex
	seed      uint64
	byService map[string]*place.Pool
	sharing   map[string]*place.Sharing
}

func newPools(seed uint64) *pools {
	return &pools{seed: seed, byService: make(map[string]*place.Pool), sharing: make(map[string]*place.Sharing)}
}

func (p *pools) update(v *view) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, service := range v.config.Services {
		if service.Batching != nil {
			continue
		}
		pool, ok := p.byService[name]
		if !ok {
			pool = newPool(service, p.seed)
			p.byService[name] = pool
		}
		pool.Update(v.specs(service))
	}
}

func newPool(service catalog.Service, seed uint64) *place.Pool {
	policy := plainPolicy
	if service.Model {
		policy = modelPolicy
	}
	pool, err := place.NewPool(policy, seed)
	if err != nil {
		// The names are constants of this file.
		panic(err)
	}
	return pool
}

// placed is an endpoint that was chosen for a call, and counts it until it
// ends.
type placed struct {
	pools    *pools
	pool     *place.Pool
	index    int
	endpoint catalog.Endpoint
	started  time.Time
}

// choose picks an endpoint that was not tried yet and counts a call there.
func (p *pools) choose(now time.Time, service string, prefix uint64, tried []string) (*placed, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, req, i, ok := p.pick(now, service, prefix, tried)
	if !ok {
		return nil, false
	}
	pool.Start(i, req)
	spec := pool.At(i).Spec()
	e := catalog.Endpoint{ID: spec.Name, Service: service, Address: spec.Address, Domain: spec.Domain, Slots: spec.Slots}
	return &placed{pools: p, pool: pool, index: i, endpoint: e, started: now}, true
}

// prefix returns the part of a request's prompt by which it is placed.
func (p *pools) prefix(q *request) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.byService[q.service]
	if !ok {
		return 0
	}
	shared, ok := p.sharing[q.service]
	if !ok {
		shared = place.NewSharing()
		p.sharing[q.service] = shared
	}
	parts := make([]uint64, len(q.in.Prefix))
	for i, part := range q.in.Prefix {
		parts[i] = part.ID
	}
	return shared.Key(q.route.Name, parts, pool.Len())
}

// domain predicts where a call would go.
func (p *pools) domain(now time.Time, service string, prefix uint64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, _, i, ok := p.pick(now, service, prefix, nil)
	if !ok {
		return ""
	}
	return pool.At(i).Spec().Domain
}

func (p *pools) pick(now time.Time, service string, prefix uint64, tried []string) (*place.Pool, place.Request, int, bool) {
	pool, ok := p.byService[service]
	if !ok {
		return nil, place.Request{}, place.None, false
	}
	req := place.Request{Prefix: prefix, Exclude: place.None}
	for _, id := range tried {
		req.Tried = append(req.Tried, pool.Find(id))
	}
	i, ok := pool.Choose(now, req)
	return pool, req, i, ok
}

// end counts the end of the call.
func (c *placed) end(now time.Time, r place.Result) {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	if r.Took == 0 {
		r.Took = now.Sub(c.started)
	}
	c.pool.Finish(now, c.index, r)
}
