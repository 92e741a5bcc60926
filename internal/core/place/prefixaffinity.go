package place

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// spillFactor and spillSlack tell when the endpoint that a prefix belongs
	// to is too busy compared with the average, so that the next in the order
	// of hashes is asked.
	spillFactor = 1.5
	spillMargin = 4.0
)

func init() { policies.Register("prefix_affinity", prefixAffinity) }

// prefixAffinity sends calls with one prefix to one endpoint, which all nodes
// find by rendezvous hashing without messages. A busy endpoint passes its
// calls on to the next in the prefix's own order. Calls without a prefix go
// to the least busy endpoint.
func prefixAffinity(p *Pool, now time.Time, req Request) int {
	if req.Prefix == 0 {
		return p.bestOfSample(now, sampleSize, req, loadScore)
	}
	sum, count := 0.0, 0
	for i := range p.endpoints {
		if p.usable(now, i, req) {
			sum += p.knownCalls(now, i)
			count++
		}
	}
	if count == 0 {
		return None
	}
	most := spillFactor*sum/float64(count) + spillMargin
	chosen, weight := None, uint64(0)
	for i := range p.endpoints {
		if !p.usable(now, i, req) || p.knownCalls(now, i) > most {
			continue
		}
		if w := hash.Pair(req.Prefix, hash.Of(p.endpoints[i].spec.Name)); chosen == None || w > weight {
			chosen, weight = i, w
		}
	}
	if chosen == None {
		return p.bestOfSample(now, sampleSize, req, loadScore)
	}
	return chosen
}

// knownCalls is the number of calls at endpoint i as far as this node knows.
func (p *Pool) knownCalls(now time.Time, i int) float64 {
	e := &p.endpoints[i]
	own := float64(e.outstanding)
	if e.load.ReceivedAt.IsZero() || now.Sub(e.load.ReceivedAt) > loadHalfLife {
		return own
	}
	return max(own, e.load.Calls)
}

func loadScore(p *Pool, now time.Time, i int, _ Request) float64 {
	return p.knownCalls(now, i) / float64(max(p.endpoints[i].spec.Slots, 1))
}
