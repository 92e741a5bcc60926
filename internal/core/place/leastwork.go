package place

import (
	"cmp"
	"iter"
	"maps"
	"slices"
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
	// Tokens is the length of the prompt, and OutputTokens what it generates at most.
	Tokens       int
	OutputTokens int
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
		if w := hash.Pair(prefix, p.endpoints[i].nameHash); home == None || w > highest {
			home, highest = i, w
		}
	}
	return home
}

// cacheHits holds how much of a prompt's shared parts each endpoint has cached. It is computed
// once for each choice, so that a choice scans the endpoints' caches only once.
type cacheHits struct {
	// dense is the number of cached tokens at each endpoint of a small pool, and sparse that at
	// those endpoints of a large pool that were looked at. maxCached is their maximum.
	dense     []int
	sparse    map[int]int
	maxCached int
	// bestSource is the endpoint of each software version in each failure domain that
	// has the most tokens cached and can serve copies; the entry of anyDomain is the
	// best of all.
	bestSource   map[sourceKey]int
	sharedTokens int
}

// at returns the number of cached tokens at an endpoint.
func (h *cacheHits) at(i int) int {
	if h.dense != nil {
		return h.dense[i]
	}
	return h.sparse[i]
}

func (h *cacheHits) set(i, tokens int) {
	h.maxCached = max(h.maxCached, tokens)
	if h.dense != nil {
		h.dense[i] = tokens
		return
	}
	h.sparse[i] = tokens
}

// sourceKey groups the endpoints from which parts are copied. Versions of an endpoint's software may
// store parts differently, so that parts are copied within one version only.
type sourceKey struct{ domain, softwareVersion string }

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
	h := cacheHits{bestSource: make(map[sourceKey]int), sharedTokens: totalTokens(parts)}
	if len(p.endpoints) <= fullScanSize {
		h.dense = make([]int, len(p.endpoints))
	} else {
		h.sparse = make(map[int]int)
	}
	if len(parts) == 0 {
		return h
	}
	for _, i := range p.holdersOf(parts) {
		e := &p.endpoints[i]
		if h.at(i) > 0 || e.removed || !req.allows(e) {
			continue
		}
		tokens := e.cache.prefixTokens(parts)
		if tokens == 0 {
			continue
		}
		h.set(i, tokens)
		if !e.spec.CanCopy || e.health.state(now) != Healthy {
			continue
		}
		for _, domain := range []string{e.spec.Domain, anyDomain} {
			key := sourceKey{domain, e.spec.SoftwareVersion}
			if best, ok := h.bestSource[key]; !ok || h.at(i) > h.at(best) || h.at(i) == h.at(best) && i < best {
				h.bestSource[key] = i
			}
		}
	}
	return h
}

// holdersOf returns the endpoints that may have the beginning of a prompt cached. A part is usable only
// after those before it, so that these are the holders of the first one. If they are many, the result
// is some holders of each part, those of the last parts first: they have the most of the prompt.
func (p *Pool) holdersOf(parts []Part) []int {
	first := p.holders[parts[0].ID]
	if len(first) <= fullScanSize {
		return first
	}
	var list []int
	for k := len(parts) - 1; k >= 0 && len(list) < maxHolders; k-- {
		holders := p.holders[parts[k].ID]
		list = append(list, holders[:min(len(holders), maxHolders-len(list))]...)
	}
	return list
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
	lowest := recomputeWeight * float64(h.maxCached-h.at(i))
	for _, domain := range []string{e.spec.Domain, anyDomain} {
		source, ok := h.bestSource[sourceKey{domain, e.spec.SoftwareVersion}]
		if !ok || h.at(source)-h.at(i) < minCopyTokens {
			continue
		}
		c := copyPlan{source: source, tokens: h.at(source) - h.at(i), timeRatio: copyTimeRatio, tokenWeight: copyWeight}
		if p.endpoints[source].spec.Domain != e.spec.Domain {
			c.timeRatio *= crossDomainCopyFactor
			c.tokenWeight *= crossDomainCopyFactor
		}
		cost := c.tokenWeight*float64(c.tokens) + recomputeWeight*float64(h.maxCached-h.at(source))
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
	return h.prefillTokens(i, req, h.planCopy(p, i))
}

// prefillTokens returns the number of tokens that endpoint i has to prefill for a request after a
// copy.
func (h *cacheHits) prefillTokens(i int, req Request, c copyPlan) int {
	left := req.Prompt.Tokens - h.at(i) - c.tokens
	return max(left, 0) + int(c.timeRatio*float64(c.tokens))
}

// PredictTTFT predicts the time to first token of a prompt at endpoint i, behind the tokens that
// the endpoint still has to prefill for earlier calls.
func (p *Pool) PredictTTFT(now time.Time, i int, req Request) time.Duration {
	ttft := p.prefill.Predict(p.endpoints[i].pendingTokens + p.prefillTokens(now, i, req))
	return ttft + p.endpoints[i].slowdown.delay(now, ttft, p.slowdownHalfLife)
}

// slowdownCost returns the time by which an endpoint's present slowdown delays the first token of a
// request, in tokens of waiting.
func (p *Pool) slowdownCost(now time.Time, i int, req Request, h *cacheHits, c copyPlan) float64 {
	e := &p.endpoints[i]
	if e.slowdown.stated == 0 {
		return 0
	}
	ttft := p.prefill.Predict(e.pendingTokens + h.prefillTokens(i, req, c))
	return p.prefill.Tokens(e.slowdown.delay(now, ttft, p.slowdownHalfLife))
}

// PendingTokens returns the number of tokens to prefill for the calls in flight at endpoint i.
func (p *Pool) PendingTokens(i int) int { return p.endpoints[i].pendingTokens }

// PrefillModel returns the model that predicts the time to first token.
func (p *Pool) PrefillModel() *PrefillModel { return p.prefill }

// leastWork chooses the endpoint with the lowest placementCost: the fewest tokens
// of other prompts to wait for, where recomputing shared parts, fetching inputs
// from another failure domain and the endpoint's present slowdown count as waiting. A prompt that no endpoint has
// cached prefers the rendezvous home of its prefix. Ties go to the endpoint with
// the fewest outstanding calls, then to the one least recently used. Endpoints whose
// memory has no room for the prompt are used only if none has, the one with the most
// room first.
func leastWork(p *Pool, now time.Time, req Request) int {
	h := p.findCacheHits(now, req)
	home := None
	if h.maxCached == 0 && req.Prefix != 0 {
		home = p.rendezvousHome(req.Prefix)
	}
	chosen, lowest, roomiest := None, 0.0, None
	for i := range p.candidates(req, &h, home) {
		if !p.usable(now, i, req) {
			continue
		}
		if !p.hasRoom(now, i, req, &h) {
			roomiest = p.largestRoom(now, i, roomiest)
			continue
		}
		c := h.planCopy(p, i)
		score := p.placementCost(i, req, &h, c)
		if home != None && i != home {
			score += recomputeWeight * float64(h.sharedTokens)
		}
		if chosen != None && score > lowest && !p.endpoints[i].slowdown.mayBeFast() {
			continue
		}
		score += p.slowdownCost(now, i, req, &h, c)
		if chosen == None || score < lowest || score == lowest && p.lessUsed(i, chosen) {
			chosen, lowest = i, score
		}
	}
	if chosen == None && len(p.endpoints) > fullScanSize {
		chosen = p.firstWithRoom(now, p.rand.IntN(len(p.endpoints)), req, &h)
		if chosen == None && roomiest == None {
			return p.firstUsable(now, p.rand.IntN(len(p.endpoints)), req)
		}
	}
	if chosen == None {
		return roomiest
	}
	return chosen
}

// lessUsed breaks ties between endpoints of equal cost: fewer outstanding calls, then the earlier
// last call. If the first of the pool won, an endpoint late in the order would get nothing while
// others are idle, and no answer would tell that its rate limit has changed.
func (p *Pool) lessUsed(i, k int) bool {
	a, b := &p.endpoints[i], &p.endpoints[k]
	return cmp.Or(cmp.Compare(a.outstanding, b.outstanding), a.sends.Last().Compare(b.sends.Last())) < 0
}

const (
	// fullScanSize is the size of a pool up to which leastWork compares all endpoints.
	fullScanSize = 512
	// A choice in a larger pool compares maxHolders endpoints that have the beginning of the prompt
	// cached, localSample in the failure domain of its inputs and randomSample of all: in a pool
	// with room, some of these are idle.
	maxHolders   = 64
	localSample  = 24
	randomSample = 24
)

// candidates yields the endpoints that leastWork compares.
func (p *Pool) candidates(req Request, h *cacheHits, home int) iter.Seq[int] {
	return func(yield func(int) bool) {
		if len(p.endpoints) <= fullScanSize {
			for i := range p.endpoints {
				if !yield(i) {
					return
				}
			}
			return
		}
		local := p.byDomain[req.Prompt.InputDomain]
		for _, list := range [][]int{p.topHolders(h), {home}, p.sample(local, localSample)} {
			for _, i := range list {
				if i != None && !yield(i) {
					return
				}
			}
		}
		for range randomSample {
			if !yield(p.rand.IntN(len(p.endpoints))) {
				return
			}
		}
	}
}

// topHolders returns up to maxHolders endpoints, those with the most cached tokens first.
func (p *Pool) topHolders(h *cacheHits) []int {
	list := slices.Collect(maps.Keys(h.sparse))
	slices.SortFunc(list, func(a, b int) int {
		return cmp.Or(cmp.Compare(h.at(b), h.at(a)), cmp.Compare(p.endpoints[a].pendingTokens, p.endpoints[b].pendingTokens), cmp.Compare(a, b))
	})
	return list[:min(len(list), maxHolders)]
}

// sample returns up to n elements of a list, from a random position on.
func (p *Pool) sample(list []int, n int) []int {
	if len(list) <= n {
		return list
	}
	start := p.rand.IntN(len(list))
	return append(slices.Clone(list[start:min(start+n, len(list))]), list[:max(start+n-len(list), 0)]...)
}

func totalTokens(parts []Part) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// placementCost returns the cost of placing a request at endpoint i after a copy, in tokens of waiting at
// the endpoint's usual speed.
func (p *Pool) placementCost(i int, req Request, h *cacheHits, c copyPlan) float64 {
	e := &p.endpoints[i]
	score := float64(e.pendingTokens) + c.tokenWeight*float64(c.tokens)
	score += recomputeWeight * float64(h.maxCached-h.at(i)-c.tokens)
	if req.Prompt.InputDomain != "" && e.spec.Domain != req.Prompt.InputDomain {
		score += crossDomainTokensPerMB * float64(req.Prompt.InputBytes) / megabyte
	}
	return score
}
