package place

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

// LeastWork is the name of the policy for prompts that a leader places on behalf of all nodes.
const LeastWork = "least_work"

const (
	// recomputeWeight is the cost of prefilling a token of a shared part again, in
	// tokens of waiting. It is more than 1, because recomputation delays every
	// later prompt.
	recomputeWeight = 3.0
	// copyWeight is the cost of copying a token from another endpoint, in tokens
	// of waiting. copyTimeRatio is the time of copying a token relative to
	// prefilling it, which is 0.05 to 0.2 in existing deployments. Copies between
	// failure domains take crossDomainCopyFactor times as long.
	copyWeight            = 1.0
	copyTimeRatio         = 0.2
	crossDomainCopyFactor = 2.0
	// minCopyTokens is the smallest copy that is worth its fixed cost.
	minCopyTokens = 64
	// crossDomainTokensPerMB is the cost of fetching one megabyte of inputs from
	// another failure domain, in tokens of waiting.
	crossDomainTokensPerMB = 8000.0
	megabyte               = 1e6
)

func init() { policies.Register(LeastWork, leastWork) }

// Prompt describes the prompt of a call to a model.
type Prompt struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Parts are the parts of the prompt in order. All but the last one may be
	// shared with other prompts.
	Parts []Part
	// InputDomain is the failure domain that stores most of its inputs;
	// InputBytes is the size of the inputs.
	InputDomain string
	InputBytes  int64
}

// shared returns the parts that other prompts may share.
func (m *Prompt) shared() []Part { return m.Parts[:max(len(m.Parts)-1, 0)] }

// rendezvousHome returns the endpoint to which rendezvous hashing assigns a prefix, or None.
// An earlier leader will usually have placed the prefix there too, so a new leader finds its cache.
func (p *Pool) rendezvousHome(prefix uint64) int {
	home, highest := None, uint64(0)
	for i := range p.endpoints {
		if p.endpoints[i].removed {
			continue
		}
		if w := hash.Pair(prefix, hash.Of(p.endpoints[i].spec.Name)); home == None || w > highest {
			home, highest = i, w
		}
	}
	return home
}

// cacheHits holds how much of a prompt's shared parts each endpoint has cached. It is computed
// once for each choice, so that a choice scans the endpoints' caches only once.
type cacheHits struct {
	// cached is the number of cached tokens at each endpoint, maxCached their maximum.
	cached    []int
	maxCached int
	// bestSource is the endpoint in each failure domain that has the most tokens
	// cached and can serve copies; the entry of anyDomain is the best of all.
	bestSource   map[string]int
	sharedTokens int
}

// anyDomain stands for all failure domains together.
const anyDomain = ""

// WithCacheHits returns the request with the cache hits of its prompt at all endpoints, so that
// the other methods need not compute them again. The result is valid until a call starts or ends.
func (p *Pool) WithCacheHits(now time.Time, req Request) Request {
	h := p.findCacheHits(now, req)
	req.hits = &h
	return req
}

func (p *Pool) findCacheHits(now time.Time, req Request) cacheHits {
	if req.hits != nil {
		return *req.hits
	}
	parts := req.Prompt.shared()
	h := cacheHits{cached: make([]int, len(p.endpoints)), bestSource: make(map[string]int), sharedTokens: totalTokens(parts)}
	if len(parts) == 0 {
		return h
	}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.removed || !req.allows(e) {
			continue
		}
		h.cached[i] = e.cache.prefixTokens(parts)
		h.maxCached = max(h.maxCached, h.cached[i])
		if h.cached[i] == 0 || !e.spec.CanCopy || e.health.state(now) != Healthy {
			continue
		}
		for _, domain := range []string{e.spec.Domain, anyDomain} {
			if best, ok := h.bestSource[domain]; !ok || h.cached[i] > h.cached[best] {
				h.bestSource[domain] = i
			}
		}
	}
	return h
}

// copyPlan describes the beginning of a prompt that an endpoint copies from another one.
type copyPlan struct {
	// source is None if nothing is copied.
	source int
	tokens int
	// timeRatio is the time of copying a token relative to prefilling it;
	// tokenWeight is its cost in tokens of waiting.
	timeRatio   float64
	tokenWeight float64
}

// planCopy returns the copy with the lowest cost for endpoint i: from its own failure domain, or
// from another one that has enough more cached to make up for the slower transfer.
func (h *cacheHits) planCopy(p *Pool, i int) copyPlan {
	e := &p.endpoints[i]
	best := copyPlan{source: None}
	if !e.spec.CanCopy {
		return best
	}
	lowest := recomputeWeight * float64(h.maxCached-h.cached[i])
	for _, domain := range []string{e.spec.Domain, anyDomain} {
		source, ok := h.bestSource[domain]
		if !ok || h.cached[source]-h.cached[i] < minCopyTokens {
			continue
		}
		c := copyPlan{source: source, tokens: h.cached[source] - h.cached[i], timeRatio: copyTimeRatio, tokenWeight: copyWeight}
		if p.endpoints[source].spec.Domain != e.spec.Domain {
			c.timeRatio *= crossDomainCopyFactor
			c.tokenWeight *= crossDomainCopyFactor
		}
		cost := c.tokenWeight*float64(c.tokens) + recomputeWeight*float64(h.maxCached-h.cached[source])
		if cost < lowest {
			best, lowest = c, cost
		}
	}
	return best
}

// CopySource returns the endpoint from which endpoint i should copy the cached
// beginning of the prompt, or None.
func (p *Pool) CopySource(now time.Time, i int, req Request) int {
	h := p.findCacheHits(now, req)
	return h.planCopy(p, i).source
}

// prefillTokens returns the number of tokens that endpoint i has to prefill for a request. Copied
// tokens count by their time relative to prefill.
func (p *Pool) prefillTokens(now time.Time, i int, req Request) int {
	h := p.findCacheHits(now, req)
	c := h.planCopy(p, i)
	left := req.Prompt.Tokens - h.cached[i] - c.tokens
	return max(left, 0) + int(c.timeRatio*float64(c.tokens))
}

// PredictTTFT predicts the time to first token of a prompt at endpoint i, behind the tokens that
// the endpoint still has to prefill for earlier calls.
func (p *Pool) PredictTTFT(now time.Time, i int, req Request) time.Duration {
	return p.prefill.Predict(p.endpoints[i].pendingTokens + p.prefillTokens(now, i, req))
}

// PendingTokens returns the number of tokens to prefill for the calls in flight at endpoint i.
func (p *Pool) PendingTokens(i int) int { return p.endpoints[i].pendingTokens }

// PrefillModel returns the model that predicts the time to first token.
func (p *Pool) PrefillModel() *PrefillModel { return p.prefill }

// leastWork chooses the endpoint with the lowest placementCost: the fewest tokens
// of other prompts to wait for, where recomputing shared parts and fetching inputs
// from another failure domain count as waiting. A prompt that no endpoint has
// cached prefers the rendezvous home of its prefix. Ties go to the endpoint with
// the fewest outstanding calls.
func leastWork(p *Pool, now time.Time, req Request) int {
	h := p.findCacheHits(now, req)
	home := None
	if h.maxCached == 0 && req.Prefix != 0 {
		home = p.rendezvousHome(req.Prefix)
	}
	chosen, lowest := None, 0.0
	for i := range p.endpoints {
		if !p.usable(now, i, req) {
			continue
		}
		score := p.placementCost(i, req, &h)
		if home != None && i != home {
			score += recomputeWeight * float64(h.sharedTokens)
		}
		if chosen == None || score < lowest || score == lowest && p.endpoints[i].outstanding < p.endpoints[chosen].outstanding {
			chosen, lowest = i, score
		}
	}
	return chosen
}

func totalTokens(parts []Part) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// placementCost returns the cost of placing a request at endpoint i, in tokens of waiting.
func (p *Pool) placementCost(i int, req Request, h *cacheHits) float64 {
	e := &p.endpoints[i]
	c := h.planCopy(p, i)
	score := float64(e.pendingTokens) + c.tokenWeight*float64(c.tokens)
	score += recomputeWeight * float64(h.maxCached-h.cached[i]-c.tokens)
	if req.Prompt.InputDomain != "" && e.spec.Domain != req.Prompt.InputDomain {
		score += crossDomainTokensPerMB * float64(req.Prompt.InputBytes) / megabyte
	}
	return score
}
