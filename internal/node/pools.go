package node

import (
	"slices"
	"sync"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/wire"
)

// The placement policies of the two kinds of service. A leader places the
// prompts of all nodes by what is left to read at each endpoint; a node that
// places its own alone can't know that.
const (
	plainPolicy  = "predicted_finish"
	modelPolicy  = "prefix_affinity"
	leaderPolicy = place.LeastWork
)

// pools holds the endpoints of the services that requests go to.
type pools struct {
	mu        sync.Mutex
	seed      uint64
	models    string // the policy for models
	pace      pacing
	off       mechanism.Disabled
	byService map[string]*place.Pool
	sharing   map[string]*place.KeySelector
	// promised counts the calls of each service that were let in and are not placed yet.
	promised map[string]int
}

// pacing returns, for a service of a view, when calls may go to an endpoint of it that is cold for a
// time.
type pacing func(v *view, service catalog.Service) endpointPace

type endpointPace func(endpoint string, cold discovery.ColdPeriod) intake.Pace

func newPools(seed uint64, models string, pace pacing, off mechanism.Disabled) *pools {
	return &pools{seed: seed, models: models, pace: pace, off: off, byService: make(map[string]*place.Pool), sharing: make(map[string]*place.KeySelector), promised: make(map[string]int)}
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
			pool = newPool(service, p.models, p.seed)
			p.byService[name] = pool
		}
		pool.Update(v.specs(service, p.pace, p.off))
	}
}

func newPool(service catalog.Service, models string, seed uint64) *place.Pool {
	policy := plainPolicy
	if service.Model {
		policy = models
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
	work     int
	// ahead is how many tokens of earlier calls the endpoint had to read.
	ahead int
	// copyFrom is the address of an endpoint that holds more of the prompt, or
	// "".
	copyFrom string
	// bounded tells that the endpoint bounds what it takes, as far as this node knows.
	bounded bool
}

// need is what a call asks of its endpoint.
type need struct {
	service string
	prefix  uint64
	prompt  place.Prompt
	tried   []string
	// wanted is an endpoint that is taken if it can be, or "".
	wanted string
}

// choose picks an endpoint that was not tried yet and counts a call there.
func (p *pools) choose(now time.Time, n need) (*placed, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, req, i, ok := p.pick(now, n)
	if !ok {
		return nil, false
	}
	copyFrom := ""
	if source := pool.CopySource(now, i, req); source != place.None {
		copyFrom = pool.At(source).Spec().Address
	}
	ahead := pool.PendingTokens(i)
	work := pool.Start(now, i, req)
	spec := pool.At(i).Spec()
	e := catalog.Endpoint{ID: spec.Name, Service: n.service, Address: spec.Address, Domain: spec.Domain, Slots: spec.Slots}
	return &placed{pools: p, pool: pool, index: i, endpoint: e, started: now, work: work, ahead: ahead, copyFrom: copyFrom, bounded: spec.Pace.Bounded(now)}, true
}

// forecast is where a prompt would go now.
type forecast struct {
	domain string
	// read is the time that it would take to the first event.
	read time.Duration
	// rest is the time that reading some further tokens takes.
	rest time.Duration
}

// predict tells where a call would go, and how long reading would take. extra
// tokens of the prompt are counted apart.
func (p *pools) predict(now time.Time, n need, extra int) forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, req, i, ok := p.pick(now, n)
	if !ok {
		r := place.NewPrefillModel()
		return forecast{read: r.Predict(n.prompt.Tokens), rest: r.Predict(extra) - r.Predict(0)}
	}
	r := pool.PrefillModel()
	return forecast{domain: pool.At(i).Spec().Domain, read: pool.PredictTTFT(now, i, req), rest: r.Predict(extra) - r.Predict(0)}
}

func (p *pools) pick(now time.Time, n need) (*place.Pool, place.Request, int, bool) {
	pool, ok := p.byService[n.service]
	if !ok {
		return nil, place.Request{}, place.None, false
	}
	req := place.Request{Prefix: n.prefix, Prompt: n.prompt, Exclude: place.None, Tried: indices(pool, n.tried)}
	req = pool.WithCacheHits(now, req)
	if i := pool.Find(n.wanted); i != place.None && pool.Accepts(now, i, req) {
		req.ChosenByPeer = true
		return pool, req, i, true
	}
	i, ok := pool.Choose(now, req)
	return pool, req, i, ok
}

// promptParts are the parts of a request's prompt.
func (q *request) promptParts() []wire.PromptPart {
	parts := make([]wire.PromptPart, len(q.in.PromptPrefix))
	for i, part := range q.in.PromptPrefix {
		parts[i] = wire.PromptPart(part)
	}
	return parts
}

// cachingEndpoints lists the endpoints of model engines that keep prompts and may be asked
// about them. One that bounds the requests that it takes is not, as that would be one.
func (p *pools) cachingEndpoints(now time.Time, v *view) []catalog.Endpoint {
	paces := make(map[string]endpointPace)
	var list []catalog.Endpoint
	for _, e := range v.endpoints {
		s, ok := v.config.Services[e.Service]
		if !ok || s.PromptCache.Tokens == 0 || !v.evacuations.AcceptsWork(e) {
			continue
		}
		if paces[s.Name] == nil {
			paces[s.Name] = p.pace(v, s)
		}
		if !paces[s.Name](e.ID, v.coldPeriod(s, e)).Bounded(now) {
			list = append(list, e)
		}
	}
	return list
}

// drain takes an endpoint out of use at once; the next update removes it.
func (p *pools) drain(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		if i := pool.Find(endpoint); i != place.None {
			pool.MarkLeaving(i)
		}
	}
}

// backoff has nothing go to an endpoint until a moment.
func (p *pools) backoff(endpoint string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		if i := pool.Find(endpoint); i != place.None {
			pool.SetBackoff(i, until)
		}
	}
}

// of returns the backoffs of a service's endpoints.
func (p *pools) of(service string, list []signal.Backoff) []signal.Backoff {
	if len(list) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.byService[service]
	return slices.DeleteFunc(list, func(b signal.Backoff) bool { return !ok || pool.Find(b.Endpoint) == place.None })
}

// closed reports whether no endpoint of a service takes requests of this node, and the first end
// of a backoff there, or the zero time.
func (p *pools) closed(now time.Time, service string) (reopens time.Time, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.byService[service]
	if !ok {
		return time.Time{}, false
	}
	return pool.AllBackedOff(now)
}

// reopens is when an endpoint that is in backoff, or was of late, may first take a call, or the
// zero time.
func (p *pools) reopens(now time.Time, n need) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.byService[n.service]
	if !ok {
		return time.Time{}
	}
	return pool.NextAfterBackoff(now, indices(pool, n.tried))
}

func indices(pool *place.Pool, names []string) []int {
	list := make([]int, 0, len(names))
	for _, name := range names {
		list = append(list, pool.Find(name))
	}
	return list
}

// hold takes in what an endpoint tells to hold.
func (p *pools) hold(e catalog.Endpoint, parts []place.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool, ok := p.byService[e.Service]; ok {
		pool.RecordCached(e.ID, parts)
	}
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
		shared = place.NewKeySelector()
		p.sharing[q.service] = shared
	}
	parts := make([]uint64, len(q.in.PromptPrefix))
	for i, part := range q.in.PromptPrefix {
		parts[i] = part.ID
	}
	return shared.Key(q.route.Name, parts, pool.Len())
}

// end counts the end of the call.
func (c *placed) end(now time.Time, r place.Result) {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	if r.Latency == 0 {
		r.Latency = now.Sub(c.started)
	}
	r.PendingTokens = c.work
	if c.pools.off.Has(mechanism.Reading) {
		r.PrefillTokens = 0
	}
	c.pool.Finish(now, c.index, r)
}
