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
	// Measured from 2.5 to 12 (docs/MEASUREMENTS.md).
	rereadWeight = 7.0
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

// work is how many tokens endpoint i still has to read for a request.
func (p *Pool) work(i int, req Request) int {
	if req.Prefix != 0 && p.prefixes.get(req.Prefix) == i {
		return max(req.Prompt.Tokens-req.Prompt.Shared, 0)
	}
	return req.Prompt.Tokens
}

// leastWork picks the endpoint at which the prompt waits for the fewest tokens
// of others, where reading shared parts again and fetching inputs from another
// failure domain count as waiting. Calls without a prefix that wait equally
// long anywhere are spread by their number.
func leastWork(p *Pool, now time.Time, req Request) int {
	last, home := p.prefixes.get(req.Prefix), p.home(req.Prefix)
	chosen, lowest := None, 0.0
	for i := range p.endpoints {
		if !p.usable(now, i, req) {
			continue
		}
		holds := req.Prefix != 0 && (i == last || i == home)
		score := p.waitingTokens(i, req, holds)
		if chosen == None || score < lowest || score == lowest && p.endpoints[i].outstanding < p.endpoints[chosen].outstanding {
			chosen, lowest = i, score
		}
	}
	return chosen
}

// waitingTokens is the price of endpoint i for a request, in tokens.
func (p *Pool) waitingTokens(i int, req Request, holds bool) float64 {
	e := &p.endpoints[i]
	score := float64(e.work)
	if !holds {
		score += rereadWeight * float64(req.Prompt.Shared)
	}
	if req.Prompt.InputDomain != "" && e.spec.Domain != req.Prompt.InputDomain {
		score += crossTokens * float64(req.Prompt.InputBytes) / megabyte
	}
	return score
}
