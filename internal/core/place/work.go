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
	rereadWeight = 2.5
	// crossTokens is how many tokens of waiting one megabyte of inputs from
	// another failure domain is worth.
	crossTokens = 8000.0
	megabyte    = 1e6
)

func init() { policies.Register(LeastWork, leastWork) }

// Prompt is what a policy may know of a request to a model.
type Prompt struct {
	// Tokens is the length of the prompt, Shared that of its parts up to the
	// one that is the request's prefix.
	Tokens int
	Shared int
	// InputDomain is where most of its inputs lie, InputBytes how large they
	// are.
	InputDomain string
	InputBytes  int64
}

// work is how many tokens endpoint i still has to read for a request.
func (p *Pool) work(i int, req Request) int {
	if req.Prefix != 0 && p.prefixes.get(req.Prefix) == i {
		return max(req.Prompt.Tokens-req.Prompt.Shared, 0)
	}
	return req.Prompt.Tokens
}

// leastWork picks the endpoint at which the prompt waits for the fewest tokens
// of others, where reading shared parts again and fetching inputs from another
// failure domain count as waiting. Among equals the order of rendezvous hashing
// by the prefix decides, so that another node that takes this one's place
// mostly finds prompts where they were.
func leastWork(p *Pool, now time.Time, req Request) int {
	chosen, lowest, weight := None, 0.0, uint64(0)
	for i := range p.endpoints {
		if !p.usable(now, i, req) {
			continue
		}
		score := p.waitingTokens(i, req)
		w := hash.Pair(req.Prefix, hash.Of(p.endpoints[i].spec.Name))
		if chosen == None || score < lowest || score == lowest && w > weight {
			chosen, lowest, weight = i, score, w
		}
	}
	return chosen
}

// waitingTokens is the price of endpoint i for a request, in tokens.
func (p *Pool) waitingTokens(i int, req Request) float64 {
	e := &p.endpoints[i]
	score := float64(e.work)
	if req.Prefix != 0 && p.prefixes.get(req.Prefix) != i {
		score += rereadWeight * float64(req.Prompt.Shared)
	}
	if req.Prompt.InputDomain != "" && e.spec.Domain != req.Prompt.InputDomain {
		score += crossTokens * float64(req.Prompt.InputBytes) / megabyte
	}
	return score
}
