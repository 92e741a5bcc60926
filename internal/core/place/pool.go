package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gradetiller.example/internal/core/hash"
)

// None stands for no endpoint.
const None = -1

// latencyWeight is the weight of the newest call in a latency average.
const latencyWeight = 0.2

// Request describes a call to be placed.
type Request struct {
	// Policy overrides the pool's policy if it is not nil, for example for an arm
	// of an experiment.
	Policy Policy
	// Prefix is the hash of the prompt's prefix; 0 means none.
	Prefix uint64
	// Prompt is the zero value for calls to services that are not models.
	Prompt Prompt
	// ChosenByPeer reports whether another node chose the endpoint and charges
	// the call against its rate limit.
	ChosenByPeer bool
	// Version is the requested model version; "" means any.
	Version string
	// Domains reports whether a failure domain may serve the call or provide cached parts of its
	// prompt; nil means all.
	Domains func(domain string) bool
	// SoftwareVersions are the versions of the endpoints' software that may serve the call or provide
	// cached parts of its prompt; none means any.
	SoftwareVersions []string
	// Exclude is an endpoint that must not be chosen, or None.
	Exclude int
	// Tried lists further endpoints that must not be chosen.
	Tried []int
	// OutputTime is the time that the output of a prompt takes to generate.
	OutputTime time.Duration
	// CostWeight converts cost into delay, in seconds per unit of cost.
	CostWeight float64
	// hits is set by WithCacheHits; nil means not yet computed.
	hits *cacheHits
}

// Result is the outcome of a call at an endpoint.
type Result struct {
	Latency time.Duration
	OK      bool
	// Neutral results do not affect the endpoint's health, for example when the
	// caller canceled the call.
	Neutral bool
	// Unreachable reports that no connection to the endpoint could be opened; the
	// endpoint is ejected at once.
	Unreachable bool
	// Refused reports that an unreachable endpoint refused the connection: its
	// process has ended, and with it what its cache held. A silent one may
	// still hold it.
	Refused bool
	Load    Load
	// Slowdown is the slowdown that the answer stated, or 0 if it stated none.
	Slowdown float64
	// PendingTokens is the value that Start returned for the call.
	PendingTokens int
	// PrefillTokens is the number of tokens that the endpoint had to prefill
	// before the answer began, including those of earlier calls. It is set if
	// Latency is the time until the answer began, and 0 otherwise.
	PrefillTokens int
}

// Pool is a set of endpoints and a placement policy. It is not safe for
// concurrent use.
type Pool struct {
	policy    Policy
	endpoints []Endpoint
	rand      *rand.Rand
	nextIndex int
	prefixes  *prefixTable
	prefill   *PrefillModel
	// latency is the moving average of the call latency over all endpoints.
	latency time.Duration
	// rateLimited is the number of endpoints that advertise a rate limit.
	rateLimited int
	// indexes maps the names of the endpoints to their indexes, including removed ones, which
	// removed lists.
	indexes map[string]int
	removed []int
	// holders finds the endpoints that have a part of a prompt cached, and byDomain lists the
	// indexes of the endpoints of each failure domain.
	holders  holderIndex
	byDomain map[string][]int
	// slowdownHalfLife is the half-life of stated slowdowns; tests vary it.
	slowdownHalfLife time.Duration
	// lastReservation is the ID of the last reservation of memory, and placedWithoutRoom the number
	// of prompts whose endpoint had no room for them (TakeWithoutRoom).
	lastReservation   uint64
	placedWithoutRoom uint64
}

// SetPolicy switches to the named policy and keeps the state of the endpoints.
func (p *Pool) SetPolicy(policyName string) error {
	chosen, ok := policies.Lookup(policyName)
	if !ok {
		return fmt.Errorf("unknown place policy %q", policyName)
	}
	p.policy = chosen
	return nil
}

// NewPool returns an empty pool with the named policy. The seed drives the
// sampling of endpoints.
func NewPool(policyName string, seed uint64) (*Pool, error) {
	p := &Pool{rand: rand.New(rand.NewPCG(seed, seed)), prefixes: newPrefixTable(), prefill: NewPrefillModel(), indexes: make(map[string]int), holders: make(holderIndex), byDomain: make(map[string][]int), slowdownHalfLife: slowdownHalfLife}
	return p, p.SetPolicy(policyName)
}

// Update replaces the list of endpoints. An endpoint that is missing from specs
// is marked as removed; its index is reused once its calls in flight have ended.
// All other endpoints keep their index, because calls in flight refer to it.
func (p *Pool) Update(specs []Spec) {
	listed := make(map[string]bool, len(specs))
	for i := range specs {
		listed[specs[i].Name] = true
	}
	for name := range p.indexes {
		if !listed[name] {
			p.remove(name)
		}
	}
	for i := range specs {
		p.set(specs[i])
	}
}

// Apply adds or updates the given endpoints and removes the named ones, as Update does.
func (p *Pool) Apply(set []Spec, removed []string) {
	for _, name := range removed {
		p.remove(name)
	}
	for i := range set {
		p.set(set[i])
	}
}

// set adds or updates an endpoint. One that was removed and is listed again keeps its state.
func (p *Pool) set(s Spec) {
	p.countRateLimit(s, 1)
	i, ok := p.indexes[s.Name]
	if !ok {
		p.add(s)
		return
	}
	e := &p.endpoints[i]
	if e.removed {
		e.removed = false
		p.removed = slices.DeleteFunc(p.removed, func(k int) bool { return k == i })
	} else {
		p.countRateLimit(e.spec, -1)
	}
	if s.Domain != e.spec.Domain {
		p.removeFromDomain(e.spec.Domain, i)
		p.byDomain[s.Domain] = append(p.byDomain[s.Domain], i)
	}
	e.spec = s
	e.cache.resize(s.CacheTokens)
}

func (p *Pool) removeFromDomain(domain string, i int) {
	p.byDomain[domain] = slices.DeleteFunc(p.byDomain[domain], func(k int) bool { return k == i })
}

// add adds an endpoint at the index of a removed one without calls, or at a new one.
func (p *Pool) add(s Spec) {
	i := len(p.endpoints)
	if k := slices.IndexFunc(p.removed, func(i int) bool { return p.endpoints[i].outstanding == 0 }); k >= 0 {
		i = p.removed[k]
		p.removed = slices.Delete(p.removed, k, k+1)
		p.forget(i)
	} else {
		p.endpoints = append(p.endpoints, Endpoint{})
	}
	p.endpoints[i] = Endpoint{spec: s, nameHash: hash.Of(s.Name), cache: newPromptCache(s.CacheTokens, p.holders, i)}
	p.indexes[s.Name] = i
	p.byDomain[s.Domain] = append(p.byDomain[s.Domain], i)
}

// forget drops what is kept of a removed endpoint outside of its entry.
func (p *Pool) forget(i int) {
	e := &p.endpoints[i]
	p.prefixes.removeEndpoint(i)
	e.cache.clear()
	delete(p.indexes, e.spec.Name)
	p.removeFromDomain(e.spec.Domain, i)
}

func (p *Pool) remove(name string) {
	i, ok := p.indexes[name]
	if !ok || p.endpoints[i].removed {
		return
	}
	p.removed = append(p.removed, i)
	p.endpoints[i].removed = true
	p.countRateLimit(p.endpoints[i].spec, -1)
}

// countRateLimit adds to the number of endpoints that advertise a rate limit.
func (p *Pool) countRateLimit(s Spec, n int) {
	if s.Pace.Advertised() {
		p.rateLimited += n
	}
}

// Choose returns the index of an endpoint for the call, or false if no endpoint
// can take it now.
func (p *Pool) Choose(now time.Time, req Request) (int, bool) {
	if len(p.endpoints) == 0 {
		return None, false
	}
	if i := p.expiringTimeSlot(now, req); i != None {
		return i, true
	}
	choose := p.policy
	if req.Policy != nil {
		choose = req.Policy
	}
	i := choose(p, now, req)
	return i, i != None
}

// Len returns the number of indexes in use, including those of leaving and
// removed endpoints.
func (p *Pool) Len() int { return len(p.endpoints) }

// Lists reports whether the pool has an endpoint for a request, be it available now or not.
func (p *Pool) Lists(req Request) bool {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.removed && !e.health.leaving && i != req.Exclude && !slices.Contains(req.Tried, i) && req.allows(e) {
			return true
		}
	}
	return false
}

// At returns endpoint i.
func (p *Pool) At(i int) *Endpoint { return &p.endpoints[i] }

// Find returns the index of the named endpoint, or None.
func (p *Pool) Find(name string) int {
	if i, ok := p.indexes[name]; ok && !p.endpoints[i].removed {
		return i
	}
	return None
}

// MarkLeaving marks an endpoint that is shutting down, by its own signal or by
// the endpoint list. It reports whether the mark is new.
func (p *Pool) MarkLeaving(i int) bool {
	marked := p.endpoints[i].health.leaving
	p.endpoints[i].health.leaving = true
	return !marked
}

// ClearLeaving reverts MarkLeaving. The endpoint is readmitted with a slow start.
func (p *Pool) ClearLeaving(i int) {
	h := &p.endpoints[i].health
	if h.leaving {
		*h = health{rampLimit: 1}
	}
}

// Readmit ends the ejection of endpoint i without a slow start: it was not the endpoint that
// failed.
func (p *Pool) Readmit(i int) {
	h := &p.endpoints[i].health
	*h = health{leaving: h.leaving}
}

// Capacity returns the maximum number of calls this node may have outstanding
// in the pool.
func (p *Pool) Capacity(now time.Time) int {
	sum := 0
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.removed {
			continue
		}
		sum += e.health.limit(now, e.spec.Slots)
	}
	return sum
}

// Start records a call sent to endpoint i and returns the number of tokens the
// endpoint has to prefill for it. Pass that number to Finish.
func (p *Pool) Start(now time.Time, i int, req Request) int {
	tokens := p.prefillTokens(now, i, req)
	p.endpoints[i].outstanding++
	if !req.ChosenByPeer {
		p.endpoints[i].sends.Add(now, p.endpoints[i].spec.Pace)
	}
	p.endpoints[i].pendingTokens += tokens
	p.endpoints[i].cache.add(req.Prompt.Parts)
	if req.Prefix != 0 {
		p.prefixes.put(req.Prefix, i)
	}
	return tokens
}

// Finish records the end of a call and reports whether the endpoint was ejected
// because of it.
func (p *Pool) Finish(now time.Time, i int, r Result) bool {
	e := &p.endpoints[i]
	e.outstanding--
	e.pendingTokens -= r.PendingTokens
	if !r.Load.ReceivedAt.IsZero() {
		e.load = r.Load
	}
	if r.Slowdown != 0 {
		e.slowdown.observe(now, r.Slowdown)
	}
	latency := usual(r.Latency, r.Slowdown)
	switch {
	case r.Neutral:
		return false
	case r.Unreachable:
		if r.Refused {
			e.cache.clear()
		}
		return e.health.recordUnreachable(now)
	case !r.OK:
		return e.health.recordFailure(now)
	}
	if !now.Before(e.backoffUntil) {
		// A success before the backoff ends belongs to a call sent before it
		// and does not show that the endpoint accepts calls again.
		e.health.recordSuccess(e.spec.Slots)
		if e.health.rampLimit == 0 {
			e.backoffUntil = time.Time{}
		}
	}
	if r.PrefillTokens > 0 {
		p.prefill.Observe(r.PrefillTokens, latency)
	}
	e.latency = ewma(e.latency, latency)
	e.latencyAt = now
	p.latency = ewma(p.latency, latency)
	return false
}

func ewma(old, newest time.Duration) time.Duration {
	if old == 0 {
		return newest
	}
	return old + time.Duration(latencyWeight*float64(newest-old))
}

// ObserveOverdue records that a call at endpoint i has been running for far longer than usual.
// It raises the endpoint's latency average at once, without waiting for the call to end.
func (p *Pool) ObserveOverdue(now time.Time, i int, waited time.Duration) {
	e := &p.endpoints[i]
	e.latencyAt = now
	e.latency = min(max(overdueFactor*e.latency, usual(waited, e.slowdown.factor(now, p.slowdownHalfLife))), maxOverdueLatency)
}

// RecordCached records that the named endpoint reports these prompt parts as
// cached.
func (p *Pool) RecordCached(name string, parts []Part) {
	if i := p.Find(name); i != None {
		p.endpoints[i].cache.add(parts)
	}
}

// InvalidateCache discards this node's estimate of endpoint i's cache, for example
// after a gap in its cache events.
func (p *Pool) InvalidateCache(i int) {
	p.prefixes.removeEndpoint(i)
	p.endpoints[i].cache.clear()
}
