package place

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

// LeastWork is the policy for prompts that one node places for all others.
const LeastWork = "least_work"

const (
	// recomputeWeight is how many tokens of other prompts one token of a shared
	// part is worth waiting for: reading it again costs every later prompt.
	// 7 was measured too, and without copies 2.5 to 12 (docs/DECISIONS.md).
	recomputeWeight = 3.0
	// copyWeight is the same for a token that is copied from another endpoint,
	// and copyTime the time of copying it as a part of that of reading it.
	// Copies take 0.05 to 0.2 of the time of reading at the deployments of
	// today; between failure domains they take twice as long.
	copyWeight            = 1.0
	copyTimeRatio         = 0.2
	crossDomainCopyFactor = 2.0
	// minCopyTokens is the number of tokens from which on a copy is worth its
	// fixed costs. 256 and 64 were measured (docs/DECISIONS.md).
	minCopyTokens = 64
	// crossDomainTokensPerMB is how many tokens of waiting one megabyte of inputs from
	// another failure domain is worth.
	crossDomainTokensPerMB = 8000.0
	megabyte               = 1e6
)

func init() { policies.Register(LeastWork, leastWork) }

// Prompt is what a policy may know of a request to a model.
type Prompt struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Parts are what it consists of, in order. All but the last one are shared
	// with other prompts.
	Parts []Part
	// InputDomain is where most of its inputs lie, InputBytes how large they
	// are.
	InputDomain string
	InputBytes  int64
}

// shared returns the parts that other prompts may have in common.
func (m *Prompt) shared() []Part { return m.Parts[:max(len(m.Parts)-1, 0)] }

// rendezvousHome returns the endpoint that rendezvous hashing gives a prefix, or None.
// Any earlier leader sent the prefix there when nothing spoke against it.
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

// cacheHits tells what the endpoints hold of a prompt's shared parts. It is made
// once for a choice, so that the choice looks at each endpoint once.
type cacheHits struct {
	// cached is how many tokens each endpoint holds, most the largest of them.
	cached    []int
	maxCached int
	// bestSource is the endpoint of each failure domain that holds most and can
	// be copied from; the one of anyDomain holds most of all.
	bestSource   map[string]int
	sharedTokens int
}

// anyDomain stands for all failure domains together.
const anyDomain = ""

// WithCacheHits returns the request with what the endpoints hold of its prompt, which
// the other methods then need not work out again each. It is good until calls start
// or end.
func (p *Pool) WithCacheHits(now time.Time, req Request) Request {
	h := p.cacheHits(now, req)
	req.hits = &h
	return req
}

func (p *Pool) cacheHits(now time.Time, req Request) cacheHits {
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
		if e.removed {
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

// copyPlan is the beginning of a prompt that one endpoint copies from another.
type copyPlan struct {
	// source is None when nothing is copied.
	source int
	tokens int
	// timeRatio is the time of copying a token as a part of reading it, weight its
	// price in tokens of waiting.
	timeRatio   float64
	tokenWeight float64
}

// copyPlan returns what endpoint i should copy: from its own failure domain, or
// from another one that holds so much more that the longer way is worth it.
func (h *cacheHits) copyPlan(p *Pool, i int) copyPlan {
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
		price := c.tokenWeight*float64(c.tokens) + recomputeWeight*float64(h.maxCached-h.cached[source])
		if price < lowest {
			best, lowest = c, price
		}
	}
	return best
}

// CopySource returns the endpoint from which endpoint i should copy the beginning
// of a prompt, or None.
func (p *Pool) CopySource(now time.Time, i int, req Request) int {
	h := p.cacheHits(now, req)
	return h.copyPlan(p, i).source
}

// prefillTokens is how many tokens endpoint i still has to read for a request.
func (p *Pool) prefillTokens(now time.Time, i int, req Request) int {
	h := p.cacheHits(now, req)
	c := h.copyPlan(p, i)
	left := req.Prompt.Tokens - h.cached[i] - c.tokens
	return max(left, 0) + int(c.timeRatio*float64(c.tokens))
}

// PredictTTFT predicts the time to the first event of a prompt at endpoint i, behind
// what that has to read now.
func (p *Pool) PredictTTFT(now time.Time, i int, req Request) time.Duration {
	return p.reading.Predict(p.endpoints[i].pendingTokens + p.prefillTokens(now, i, req))
}

// PendingTokens returns how many tokens the calls in flight at endpoint i have to read.
func (p *Pool) PendingTokens(i int) int { return p.endpoints[i].pendingTokens }

// PrefillModel returns what is known of the time that reading takes.
func (p *Pool) PrefillModel() *PrefillModel { return p.reading }

// leastWork picks the endpoint at which the prompt waits for the fewest tokens
// of others, where reading shared parts again and fetching inputs from another
// failure domain count as waiting. A prompt of which no endpoint holds anything
// belongs to the home of its prefix. Calls that wait equally long anywhere are
// spread by their number.
func leastWork(p *Pool, now time.Time, req Request) int {
	h := p.cacheHits(now, req)
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

// placementCost is the price of endpoint i for a request, in tokens.
func (p *Pool) placementCost(i int, req Request, h *cacheHits) float64 {
	e := &p.endpoints[i]
	c := h.copyPlan(p, i)
	score := float64(e.pendingTokens) + c.tokenWeight*float64(c.tokens)
	score += recomputeWeight * float64(h.maxCached-h.cached[i]-c.tokens)
	if req.Prompt.InputDomain != "" && e.spec.Domain != req.Prompt.InputDomain {
		score += crossDomainTokensPerMB * float64(req.Prompt.InputBytes) / megabyte
	}
	return score
}
