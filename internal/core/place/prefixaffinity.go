package place

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// An endpoint with more than spillFactor times the mean number of calls plus
	// spillMargin is overloaded; calls for its prefixes go to the next endpoint
	// in rendezvous order.
	spillFactor = 1.5
	spillMargin = 4.0
)

func init() { policies.Register("prefix_affinity", prefixAffinity) }

// prefixAffinity sends calls with the same prefix to the same endpoint, which
// all nodes find by rendezvous hashing without coordination. Calls for an
// overloaded endpoint go to the next one in the prefix's rendezvous order. Calls
// without a prefix go to the least loaded endpoint of a sample.
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
	maxCalls := spillFactor*sum/float64(count) + spillMargin
	chosen, weight := None, uint64(0)
	for i := range p.endpoints {
		if !p.usable(now, i, req) || p.knownCalls(now, i) > maxCalls {
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

// knownCalls returns the number of calls at endpoint i: this node's own, or the
// reported load if that is recent and higher.
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
