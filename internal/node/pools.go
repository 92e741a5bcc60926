package node

import (
	"iter"
	"slices"
	"sync"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/cowmap"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/rollout"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/wire"
)

// The placement policies of plain services and models. A leader places the prompts of all nodes,
// by the tokens that each endpoint still has to prefill. A node that places only its own requests
// can't know these.
const (
	plainPolicy  = "predicted_finish"
	modelPolicy  = "prefix_affinity"
	leaderPolicy = place.LeastWork
)

// pools holds the endpoint pools of plain services and models. Stage services have their own.
type pools struct {
	mu           sync.Mutex
	seed         uint64
	modelPolicy  string // the policy for models
	pace         paceSource
	slots        slotSource
	disabled     mechanism.Disabled
	byService    map[string]*place.Pool
	keySelectors map[string]*place.KeySelector
	// reserved counts the calls of each service that were admitted but not yet placed.
	reserved map[string]int
	// view is the view that the pools were last updated from.
	view *view
	// counts is the number of endpoints of each service that accept work.
	counts map[string]int
	// subset selects the endpoints that a pool holds of a large service, or is nil if pools
	// hold all of them. extras lists those that were added because a leader chose them.
	subset *endpointSubset
	extras map[string][]string
	// outputPaces holds how long the engines of each service take to generate a token.
	outputPaces map[string]*place.OutputPace
}

// paceSource returns the paces of the endpoints of a service in a view.
type paceSource func(v *view, service catalog.Service) endpointPace

// endpointPace returns the pace of calls to an endpoint, given its cold period.
type endpointPace func(endpoint string, cold discovery.ColdPeriod) intake.Pace

func newPools(seed uint64, models string, pace paceSource, off mechanism.Disabled) *pools {
	return &pools{
		seed: seed, modelPolicy: models, pace: pace, slots: unsharedSlots, disabled: off, byService: make(map[string]*place.Pool), keySelectors: make(map[string]*place.KeySelector),
		reserved: make(map[string]int), counts: make(map[string]int), extras: make(map[string][]string), outputPaces: make(map[string]*place.OutputPace),
	}
}

// update updates the pools from a view. If only endpoints changed since the last view, it costs what
// changed. ratesChanged reports whether the paces of all endpoints must be computed again.
func (p *pools) update(v *view, ratesChanged bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view
	p.view = v
	if old == nil || ratesChanged || old.config != v.config || old.rollouts.Revision() != v.rollouts.Revision() || !old.evacuations.Same(v.evacuations) {
		p.rebuild(v)
		return
	}
	set, removed := cowmap.Diff(old.endpoints, v.endpoints)
	if len(set) > v.endpoints.Len()/rebuildDivisor {
		p.rebuild(v)
		return
	}
	p.apply(old, v, set, removed)
}

// rebuildDivisor sets the part of the endpoints, 1/rebuildDivisor, above which a change rebuilds the
// pools.
const rebuildDivisor = 4

// rebuild updates all pools from a view.
func (p *pools) rebuild(v *view) {
	byService := make(map[string][]*catalog.Endpoint)
	for e := range v.endpoints.All() {
		if v.evacuations.AcceptsWork(*e) {
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	clear(p.counts)
	for name, service := range v.config.Services {
		if service.Batching != nil {
			continue
		}
		pool, ok := p.byService[name]
		if !ok {
			pool = newPool(service, p.modelPolicy, p.seed)
			p.byService[name] = pool
		}
		p.counts[name] = len(byService[name])
		specOf := v.specSource(service, p.pace, p.slots, p.disabled)
		specs := make([]place.Spec, 0, min(len(byService[name]), maxSubset))
		for _, e := range byService[name] {
			if p.holds(v, service, e) || slices.Contains(p.extras[name], e.ID) {
				specs = append(specs, specOf(e))
			}
		}
		pool.Update(specs)
	}
}

// apply updates the pools by the endpoints that changed between two views with the same
// configuration.
func (p *pools) apply(old, v *view, set, removed []*catalog.Endpoint) {
	for _, e := range removed {
		p.drop(old, e)
	}
	specsOf := make(map[string]func(*catalog.Endpoint) place.Spec)
	for _, e := range set {
		service, ok := v.config.Services[e.Service]
		if before, known := old.endpoints.Get(e.ID); known {
			p.drop(old, before)
		}
		if !ok || service.Batching != nil || !v.evacuations.AcceptsWork(*e) {
			continue
		}
		p.counts[e.Service]++
		if !p.holds(v, service, e) && !slices.Contains(p.extras[e.Service], e.ID) {
			continue
		}
		if specsOf[e.Service] == nil {
			specsOf[e.Service] = v.specSource(service, p.pace, p.slots, p.disabled)
		}
		p.byService[e.Service].Apply([]place.Spec{specsOf[e.Service](e)}, nil)
	}
}

// drop removes an endpoint as it was in a view. The pool keeps its state until its index is reused.
func (p *pools) drop(old *view, e *catalog.Endpoint) {
	pool, ok := p.byService[e.Service]
	if !ok || !old.evacuations.AcceptsWork(*e) {
		return
	}
	p.counts[e.Service]--
	pool.Apply(nil, []string{e.ID})
}

func newPool(service catalog.Service, models string, seed uint64) *place.Pool {
	policy := plainPolicy
	if service.Model {
		policy = models
	}
	pool, err := place.NewPool(policy, seed)
	if err != nil {
		// The policy names are constants.
		panic(err)
	}
	return pool
}

// placedCall is a call in flight at the endpoint chosen for it. It counts as load until finish.
type placedCall struct {
	pools         *pools
	pool          *place.Pool
	index         int
	endpoint      catalog.Endpoint
	started       time.Time
	pendingTokens int
	// queuedTokens is the number of tokens that the endpoint had to prefill for earlier calls.
	queuedTokens int
	// cacheSource is the address of an endpoint that has cached more of the prompt, or "".
	cacheSource string
	// reservation is the memory of the endpoint that a prompt takes until its predicted end.
	reservation place.Reservation
	// record counts the result for a rollout; nil if there is none. answeredAt is when the answer
	// began.
	record     func(place.Result)
	answeredAt time.Time
	// bounded is true if, as far as this node knows, the endpoint has a rate limit or is cold.
	bounded bool
	// finished is true once the result is recorded.
	finished bool
}

// need is what a call requires of its endpoint.
type need struct {
	service string
	prefix  uint64
	prompt  place.Prompt
	tried   []string
	// preferred is the endpoint to choose if it accepts the call, or "".
	preferred string
	// arm is the arm of the service's rollout that the call belongs to.
	arm rollout.Arm
	// domains reports whether a failure domain may serve the call; nil means all.
	domains func(domain string) bool
	// versions are the software versions of the endpoints that may serve the call; none means any.
	versions []string
}

// choose picks an endpoint that was not tried yet and records a call to it.
func (p *pools) choose(now time.Time, n need) (*placedCall, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, req, i, ok := p.pick(now, n)
	if !ok {
		return nil, false
	}
	return p.start(now, n, pool, req, i), true
}

// chooseIf is like choose, but records a call only if the time in which the call is predicted to finish
// is accepted.
func (p *pools) chooseIf(now time.Time, n need, accept func(finish time.Duration) bool) (*placedCall, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, req, i, ok := p.pick(now, n)
	if !ok || !accept(pool.PredictFinish(now, i)) {
		return nil, false
	}
	return p.start(now, n, pool, req, i), true
}

// start records a call to endpoint i. The caller must hold the lock.
func (p *pools) start(now time.Time, n need, pool *place.Pool, req place.Request, i int) *placedCall {
	cacheSource := ""
	if source := pool.CopySource(now, i, req); source != place.None {
		cacheSource = pool.At(source).Spec().Address
	}
	var reservation place.Reservation
	if p.modelPolicy == leaderPolicy {
		// The leader places the prompts of all nodes. What a node places itself is unknown to it.
		reservation = pool.Reserve(now, i, req)
	}
	queuedTokens := pool.PendingTokens(i)
	pendingTokens := pool.Start(now, i, req)
	spec := pool.At(i).Spec()
	e := catalog.Endpoint{ID: spec.Name, Service: n.service, Address: spec.Address, Domain: spec.Domain, Slots: spec.Slots, Version: spec.SoftwareVersion}
	return &placedCall{pools: p, pool: pool, index: i, endpoint: e, started: now, pendingTokens: pendingTokens, queuedTokens: queuedTokens, cacheSource: cacheSource, reservation: reservation, bounded: spec.Pace.Bounded(now)}
}

// forecast is the predicted placement of a prompt.
type forecast struct {
	domain string
	// ttft is the time to the first event.
	ttft time.Duration
	// extraPrefill is the prefill time of the extra tokens.
	extraPrefill time.Duration
}

// predict returns where a call would be placed and its time to first token. The prefill time of
// the given number of extra tokens, which are part of the prompt, is also returned separately.
func (p *pools) predict(now time.Time, n need, extra int) forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, req, i, ok := p.pick(now, n)
	if !ok {
		r := place.NewPrefillModel()
		return forecast{ttft: r.Predict(n.prompt.Tokens), extraPrefill: r.Predict(extra) - r.Predict(0)}
	}
	r := pool.PrefillModel()
	return forecast{domain: pool.At(i).Spec().Domain, ttft: pool.PredictTTFT(now, i, req), extraPrefill: r.Predict(extra) - r.Predict(0)}
}

func (p *pools) pick(now time.Time, n need) (*place.Pool, place.Request, int, bool) {
	pool, ok := p.byService[n.service]
	if !ok {
		return nil, place.Request{}, place.None, false
	}
	p.admitExtra(pool, n)
	p.admitVersions(pool, n)
	req := place.Request{Prefix: n.prefix, Prompt: n.prompt, Exclude: place.None, Tried: indices(pool, n.tried), Version: n.arm.String(), Domains: n.domains, SoftwareVersions: n.versions}
	req.OutputTime = p.paceOf(n.service).Predict(n.prompt.OutputTokens)
	req = pool.WithCacheHits(now, req)
	if i := pool.Find(n.preferred); i != place.None && pool.Accepts(now, i, req) {
		req.ChosenByPeer = true
		return pool, req, i, true
	}
	i, ok := pool.Choose(now, req)
	return pool, req, i, ok
}

// lists reports whether an endpoint that accepts work and was not tried is listed for a call.
func (p *pools) lists(n need) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.listed(n) {
		return true
	}
	return false
}

// listed yields the listed endpoints that accept work and may serve a call. The caller must hold the lock.
func (p *pools) listed(n need) iter.Seq[*catalog.Endpoint] {
	return func(yield func(*catalog.Endpoint) bool) {
		if p.view == nil {
			return
		}
		for e := range p.view.endpoints.All() {
			fits := e.Service == n.service && !slices.Contains(n.tried, e.ID) && (len(n.versions) == 0 || slices.Contains(n.versions, e.Version))
			if fits && p.view.evacuations.AcceptsWork(*e) && (n.domains == nil || n.domains(e.Domain)) && !yield(e) {
				return
			}
		}
	}
}

// promptParts returns the parts of a request's prompt.
func (q *request) promptParts() []wire.PromptPart {
	parts := make([]wire.PromptPart, len(q.in.PromptPrefix))
	for i, part := range q.in.PromptPrefix {
		parts[i] = wire.PromptPart{ID: part.ID, Tokens: part.Tokens}
	}
	return parts
}

// cachingEndpoints lists the endpoints of model engines that cache prompts and may be asked for
// them. Endpoints that have a rate limit or are cold are left out, because the query would count
// against their bound.
func (p *pools) cachingEndpoints(now time.Time, v *view) []catalog.Endpoint {
	paces := make(map[string]endpointPace)
	var list []catalog.Endpoint
	for e := range v.endpoints.All() {
		s, ok := v.config.Services[e.Service]
		if !ok || s.PromptCache.Tokens == 0 || !v.evacuations.AcceptsWork(*e) {
			continue
		}
		if paces[s.Name] == nil {
			paces[s.Name] = p.pace(v, s)
		}
		if !paces[s.Name](e.ID, v.coldPeriod(s, *e)).Bounded(now) {
			list = append(list, *e)
		}
	}
	return list
}

// markDraining stops calls to an endpoint at once; the next update removes it.
func (p *pools) markDraining(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		if i := pool.Find(endpoint); i != place.None {
			pool.MarkLeaving(i)
		}
	}
}

// setBackoff stops calls to an endpoint until the given time.
func (p *pools) setBackoff(endpoint string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		if i := pool.Find(endpoint); i != place.None {
			pool.SetBackoff(i, until)
		}
	}
}

// readmit ends the ejection of an endpoint.
func (p *pools) readmit(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		if i := pool.Find(endpoint); i != place.None {
			pool.Readmit(i)
		}
	}
}

// backoffsOf returns those of a list of backoffs that belong to endpoints of a service. It modifies
// the list.
func (p *pools) backoffsOf(service string, list []signal.Backoff) []signal.Backoff {
	if len(list) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.byService[service]
	return slices.DeleteFunc(list, func(b signal.Backoff) bool { return !ok || pool.Find(b.Endpoint) == place.None })
}

// allBackedOff reports whether all endpoints of a service are draining, removed or in backoff. It
// also returns the earliest end of a backoff, or the zero time if there is none.
func (p *pools) allBackedOff(now time.Time, service string) (firstEnd time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.byService[service]
	if !ok {
		return time.Time{}, false
	}
	return pool.AllBackedOff(now)
}

// nextAfterBackoff returns the earliest time at which an endpoint that is in backoff, or in slow
// start after one, may accept a call, or the zero time if there is no such endpoint.
func (p *pools) nextAfterBackoff(now time.Time, n need) time.Time {
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

// observeOutput records how long an engine took to generate some tokens.
func (p *pools) observeOutput(service string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paceOf(service).Observe(tokens, took)
}

// paceOf returns the output pace of a service. The caller must hold the lock.
func (p *pools) paceOf(service string) *place.OutputPace {
	pace, ok := p.outputPaces[service]
	if !ok {
		pace = &place.OutputPace{}
		p.outputPaces[service] = pace
	}
	return pace
}

// reservedShare returns the largest share of an engine's memory that is reserved.
func (p *pools) reservedShare(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := 0.0
	for _, pool := range p.byService {
		share = max(share, pool.ReservedShare(now))
	}
	return share
}

// takeWithoutRoom returns how many prompts were placed at engines that had no room for them since
// the last call.
func (p *pools) takeWithoutRoom() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := uint64(0)
	for _, pool := range p.byService {
		sum += pool.TakeWithoutRoom()
	}
	return sum
}

// recordCached records the prompt parts that an endpoint reports as cached.
func (p *pools) recordCached(e catalog.Endpoint, parts []place.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool, ok := p.byService[e.Service]; ok {
		pool.RecordCached(e.ID, parts)
	}
}

// prefix returns the key of the prompt prefix by which a request is placed.
func (p *pools) prefix(q *request) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.byService[q.service]
	if !ok {
		return 0
	}
	shared, ok := p.keySelectors[q.service]
	if !ok {
		shared = place.NewKeySelector()
		p.keySelectors[q.service] = shared
	}
	parts := make([]uint64, len(q.in.PromptPrefix))
	for i, part := range q.in.PromptPrefix {
		parts[i] = part.ID
	}
	return shared.Key(q.route.Name, parts, max(p.counts[q.service], pool.Len()))
}

// usualLatency returns the latency that a call at the endpoint usually has, or 0 if it is unknown.
func (c *placedCall) usualLatency(now time.Time) time.Duration {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	return c.pool.UsualLatency(now, c.index)
}

// markOverdue records that the call has been running for far longer than usual.
func (c *placedCall) markOverdue(now time.Time) {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	c.pool.ObserveOverdue(now, c.index, now.Sub(c.started))
}

// finish records the result of the call, which no longer counts as load.
func (c *placedCall) finish(now time.Time, r place.Result) {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	if c.finished {
		return
	}
	c.finished = true
	if r.Latency == 0 {
		r.Latency = now.Sub(c.started)
	}
	if c.record != nil {
		c.record(r)
	}
	r.PendingTokens = c.pendingTokens
	if c.pools.disabled.Has(mechanism.Reading) {
		r.PrefillTokens = 0
	}
	if !r.OK {
		c.pool.Unreserve(c.index, c.reservation)
	}
	c.pool.Finish(now, c.index, r)
}
