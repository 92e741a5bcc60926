package place

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

// LeastWork is the policy for prompts that one node places for all others.
const LeastWork = "least_work"

const (
	// rereadWeight is how many tokens of other prompts one token of a shared
	// part is worth waiting for: reading it again costs every later prompt.
	// 7 was measured too, and without copies 2.5 to 12 (docs/DECISIONS.md).
	rereadWeight = 3.0
	// copyWeight is the same for a token that is copied from another endpoint,
	// and copyTime the time of copying it as a part of that of reading it.
	// Copies take 0.05 to 0.2 of the time of reading at the deployments of
	// today; between failure domains they take twice as long.
	copyWeight   = 1.0
	copyTime     = 0.2
	crossingCopy = 2.0
	// leastCopied is the number of tokens from which on a copy is worth its
	// fixed costs. 256 and 64 were measured (docs/DECISIONS.md).
	leastCopied = 64
	// crossTokens is how many tokens of waiting one megabyte of inputs from
	// another failure domain is worth.
	crossTokens = 8000.0
	megabyte    = 1e6
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

// home returns the endpoint that rendezvous hashing gives a prefix, or None.
// Any earlier leader sent the prefix there when nothing spoke against it.
func (p *Pool) home(prefix uint64) int {
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

// holdings tells what the endpoints hold of a prompt's shared parts. It is made
// once for a choice, so that the choice looks at each endpoint once.
type holdings struct {
	// held is how many tokens each endpoint holds, most the largest of them.
	held []int
	most int
	// fullest is the endpoint of each failure domain that holds most and can
	// be copied from; the one of anyDomain holds most of all.
	fullest map[string]int
	shared  int
}

// anyDomain stands for all failure domains together.
const anyDomain = ""

// WithCacheHits returns the request with what the endpoints hold of its prompt, which
// the other methods then need not work out again each. It is good until calls start
// or end.
func (p *Pool) WithCacheHits(now time.Time, req Request) Request {
	h := p.holdings(now, req)
	req.known = &h
	return req
}

func (p *Pool) holdings(now time.Time, req Request) holdings {
	if req.known != nil {
		return *req.known
	}
	parts := req.Prompt.shared()
	h := holdings{held: make([]int, len(p.endpoints)), fullest: make(map[string]int), shared: tokensOf(parts)}
	if len(parts) == 0 {
		return h
	}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.removed {
			continue
		}
		h.held[i] = e.cache.held(parts)
		h.most = max(h.most, h.held[i])
		if h.held[i] == 0 || !e.spec.CanCopy || e.health.state(now) != Healthy {
			continue
		}
		for _, domain := range []string{e.spec.Domain, anyDomain} {
			if best, ok := h.fullest[domain]; !ok || h.held[i] > h.held[best] {
				h.fullest[domain] = i
			}
		}
	}
	return h
}

// copying is the beginning of a prompt that one endpoint copies from another.
type copying struct {
	// source is None when nothing is copied.
	source int
	tokens int
	// share is the time of copying a token as a part of reading it, weight its
	// price in tokens of waiting.
	share  float64
	weight float64
}

// copied returns what endpoint i should copy: from its own failure domain, or
// from another one that holds so much more that the longer way is worth it.
func (h *holdings) copied(p *Pool, i int) copying {
	e := &p.endpoints[i]
	best := copying{source: None}
	if !e.spec.CanCopy {
		return best
	}
	lowest := rereadWeight * float64(h.most-h.held[i])
	for _, domain := range []string{e.spec.Domain, anyDomain} {
		source, ok := h.fullest[domain]
		if !ok || h.held[source]-h.held[i] < leastCopied {
			continue
		}
		c := copying{source: source, tokens: h.held[source] - h.held[i], share: copyTime, weight: copyWeight}
		if p.endpoints[source].spec.Domain != e.spec.Domain {
			c.share *= crossingCopy
			c.weight *= crossingCopy
		}
		price := c.weight*float64(c.tokens) + rereadWeight*float64(h.most-h.held[source])
		if price < lowest {
			best, lowest = c, price
		}
	}
	return best
}

// CopySource returns the endpoint from which endpoint i should copy the beginning
// of a prompt, or None.
func (p *Pool) CopySource(now time.Time, i int, req Request) int {
	h := p.holdings(now, req)
	return h.copied(p, i).source
}

// work is how many tokens endpoint i still has to read for a request.
func (p *Pool) work(now time.Time, i int, req Request) int {
	h := p.holdings(now, req)
	c := h.copied(p, i)
	left := req.Prompt.Tokens - h.held[i] - c.tokens
	return max(left, 0) + int(c.share*float64(c.tokens))
}

// PredictTTFT predicts the time to the first event of a prompt at endpoint i, behind
// what that has to read now.
func (p *Pool) PredictTTFT(now time.Time, i int, req Request) time.Duration {
	return p.reading.Predict(p.endpoints[i].work + p.work(now, i, req))
}

// PendingTokens returns how many tokens the calls in flight at endpoint i have to read.
func (p *Pool) PendingTokens(i int) int { return p.endpoints[i].work }

// PrefillModel returns what is known of the time that reading takes.
func (p *Pool) PrefillModel() *PrefillModel { return p.reading }

// leastWork picks the endpoint at which the prompt waits for the fewest tokens
// of others, where reading shared parts again and fetching inputs from another
// failure domain count as waiting. A prompt of which no endpoint holds anything
// belongs to the home of its prefix. Calls that wait equally long anywhere are
// spread by their number.
func leastWork(p *Pool, now time.Time, req Request) int {
	h := p.holdings(now, req)
	home := None
	if h.most == 0 && req.Prefix != 0 {
		home = p.home(req.Prefix)
	}
	chosen, lowest := None, 0.0
	for i := range p.endpoints {
		if !p.usable(now, i, req) {
			continue
		}
		score := p.waitingTokens(i, req, &h)
		if home != None && i != home {
			score += rereadWeight * float64(h.shared)
		}
		if chosen == None || score < lowest || score == lowest && p.endpoints[i].outstanding < p.endpoints[chosen].outstanding {
			chosen, lowest = i, score
		}
	}
	return chosen
}

func tokensOf(parts []Part) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// waitingTokens is the price of endpoint i for a request, in tokens.
func (p *Pool) waitingTokens(i int, req Request, h *holdings) float64 {
	e := &p.endpoints[i]
	c := h.copied(p, i)
	score := float64(e.work) + c.weight*float64(c.tokens)
	score += rereadWeight * float64(h.most-h.held[i]-c.tokens)
	if req.Prompt.InputDomain != "" && e.spec.Domain != req.Prompt.InputDomain {
		score += crossTokens * float64(req.Prompt.InputBytes) / megabyte
	}
	return score
}
