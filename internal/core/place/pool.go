package place

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// None stands for no endpoint.
const None = -1

// tookWeight is the weight of the newest call in the moving average.
const tookWeight = 0.2

// Request is what a policy may know of a call.
type Request struct {
	// Policy is used in place of the pool's own when it is not nil, as for an
	// arm of an experiment.
	Policy Policy
	// Prefix is the hash of the prompt's prefix; 0 means none.
	Prefix uint64
	// Prompt is the zero value for calls to other than models.
	Prompt Prompt
	// Placed tells that another node chose the endpoint and counts the call.
	Placed bool
	// Version is the model version wanted; "" means any.
	Version string
	// Exclude is an endpoint not to choose, or None.
	Exclude int
	// Tried are further endpoints not to choose.
	Tried []int
	// CostWeight is how many seconds of delay one unit of cost is worth.
	CostWeight float64
	// known is what Consider worked out, or nil.
	known *holdings
}

// Result is how a call at an endpoint ended.
type Result struct {
	Took time.Duration
	OK   bool
	// Neutral results say nothing about the endpoint's health, as when the
	// caller canceled.
	Neutral bool
	// Unreachable tells that nothing listens at the endpoint's address; it is
	// set aside at once.
	Unreachable bool
	Load        Load
	// Work is what Start returned for the call.
	Work int
	// Read is how many tokens the endpoint had to read until the answer began,
	// those of earlier calls included, when Took is the time until then; else 0.
	Read int
}

// Pool holds the endpoints of one pool. It is not safe for concurrent use.
type Pool struct {
	policy    Policy
	endpoints []Endpoint
	rand      *rand.Rand
	cursor    int
	prefixes  *prefixes
	reading   *Reading
	// took is the moving average over all endpoints.
	took time.Duration
	// limited tells that some endpoints name what they take.
	limited bool
}

// SetPolicy puts another policy in force and keeps what is known of the
// endpoints.
func (p *Pool) SetPolicy(policyName string) error {
	chosen, ok := policies.Lookup(policyName)
	if !ok {
		return fmt.Errorf("unknown place policy %q", policyName)
	}
	p.policy = chosen
	return nil
}

// NewPool returns an empty pool under the named policy.
func NewPool(policyName string, seed uint64) (*Pool, error) {
	p := &Pool{rand: rand.New(rand.NewPCG(seed, seed)), prefixes: newPrefixes(), reading: NewReading()}
	return p, p.SetPolicy(policyName)
}

// Update puts a new list of endpoints in force. An endpoint that is missing
// from specs stays as removed until its calls in flight have ended, and its
// place is used again afterwards; others keep their place, because calls in
// flight name them by index.
func (p *Pool) Update(specs []Spec) {
	wanted := make(map[string]Spec, len(specs))
	p.limited = false
	for _, s := range specs {
		wanted[s.Name] = s
		p.limited = p.limited || s.Pace.Advertised()
	}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		s, ok := wanted[e.spec.Name]
		e.removed = !ok
		if ok {
			e.spec = s
			e.cache.resize(s.CacheTokens)
			delete(wanted, s.Name)
		}
	}
	for _, s := range specs {
		if _, ok := wanted[s.Name]; ok {
			p.add(s)
		}
	}
}

func (p *Pool) add(s Spec) {
	for i := range p.endpoints {
		if e := &p.endpoints[i]; e.removed && e.outstanding == 0 {
			p.prefixes.forget(i)
			*e = Endpoint{spec: s, cache: newPromptCache(s.CacheTokens)}
			return
		}
	}
	p.endpoints = append(p.endpoints, Endpoint{spec: s, cache: newPromptCache(s.CacheTokens)})
}

// Choose picks an endpoint, or reports false when none can take the call now.
func (p *Pool) Choose(now time.Time, req Request) (int, bool) {
	if len(p.endpoints) == 0 {
		return None, false
	}
	if i := p.turn(now, req); i != None {
		return i, true
	}
	choose := p.policy
	if req.Policy != nil {
		choose = req.Policy
	}
	i := choose(p, now, req)
	return i, i != None
}

// Len returns the number of endpoints, leaving ones included.
func (p *Pool) Len() int { return len(p.endpoints) }

// At returns endpoint i.
func (p *Pool) At(i int) *Endpoint { return &p.endpoints[i] }

// Find returns the index of the named endpoint, or None.
func (p *Pool) Find(name string) int {
	for i := range p.endpoints {
		if p.endpoints[i].spec.Name == name && !p.endpoints[i].removed {
			return i
		}
	}
	return None
}

// Leave marks an endpoint that tells, or is listed, as leaving. It reports
// false when that was known.
func (p *Pool) Leave(i int) bool {
	known := p.endpoints[i].health.leaving
	p.endpoints[i].health.leaving = true
	return !known
}

// Return takes the mark of Leave back. The endpoint returns by degrees.
func (p *Pool) Return(i int) {
	h := &p.endpoints[i].health
	if h.leaving {
		*h = health{ramp: 1}
	}
}

// Capacity returns how many calls this node may have outstanding in the pool.
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

// Start counts a call that goes out to endpoint i, and returns how many tokens
// it has to read there.
func (p *Pool) Start(now time.Time, i int, req Request) int {
	work := p.work(now, i, req)
	p.endpoints[i].outstanding++
	if !req.Placed {
		p.endpoints[i].sends.Add(now, p.endpoints[i].spec.Pace)
	}
	p.endpoints[i].work += work
	p.endpoints[i].cache.use(req.Prompt.Parts)
	if req.Prefix != 0 {
		p.prefixes.put(req.Prefix, i)
	}
	return work
}

// Finish counts the end of a call, and reports whether it set the endpoint
// aside.
func (p *Pool) Finish(now time.Time, i int, r Result) bool {
	e := &p.endpoints[i]
	e.outstanding--
	e.work -= r.Work
	if !r.Load.At.IsZero() {
		e.load = r.Load
	}
	switch {
	case r.Neutral:
		return false
	case r.Unreachable:
		e.cache.clear()
		return e.health.unreachable(now)
	case !r.OK:
		return e.health.failed(now)
	}
	if !now.Before(e.backoff) {
		// Calls that were under way when a backoff began say nothing about its end.
		e.health.succeeded(e.spec.Slots)
		if e.health.ramp == 0 {
			e.backoff = time.Time{}
		}
	}
	if r.Read > 0 {
		p.reading.Observe(r.Read, r.Took)
	}
	e.took = average(e.took, r.Took)
	e.measured = now
	p.took = average(p.took, r.Took)
	return false
}

func average(old, newest time.Duration) time.Duration {
	if old == 0 {
		return newest
	}
	return old + time.Duration(tookWeight*float64(newest-old))
}

// Late tells that a call at endpoint i takes far longer than the pool's calls
// do. The endpoint then looks slower at once, long before the call ends.
func (p *Pool) Late(now time.Time, i int, waited time.Duration) {
	e := &p.endpoints[i]
	e.measured = now
	e.took = min(max(lateFactor*e.took, waited), longestTook)
}

// Hold takes in that an endpoint tells to hold parts of prompts.
func (p *Pool) Hold(name string, parts []Part) {
	if i := p.Find(name); i != None {
		p.endpoints[i].cache.use(parts)
	}
}

// Forget drops what is believed of endpoint i's prefix cache, as after a gap
// in its cache events.
func (p *Pool) Forget(i int) {
	p.prefixes.forget(i)
	p.endpoints[i].cache.clear()
}
