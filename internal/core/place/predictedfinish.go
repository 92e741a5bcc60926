package place

import (
	"math"
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// loadHalfLife is the age at which a reported load has half its weight.
	loadHalfLife = 2 * time.Second
	// prefixSaving is the fraction of a call's latency that a cached prefix
	// saves. It is conservative, because engines do not report their savings.
	prefixSaving = 0.3
	// latencyMaxAge is how long a measured latency remains valid.
	latencyMaxAge = 2 * time.Second
	// defaultLatency is assumed while no call of the pool has been measured.
	defaultLatency = 5 * time.Millisecond
)

// predictedFinish chooses the endpoint with the earliest predicted finish,
// weighted by cost, with a bonus for the endpoint that is likely to have the
// prompt's prefix cached.
func predictedFinish(p *Pool, now time.Time, req Request) int {
	chosen := p.bestOfSample(now, sampleSize, req, finishScore)
	holder := p.prefixHolder(req.Prefix)
	if holder == None || holder == chosen || chosen == None || !p.usable(now, holder, req) {
		return chosen
	}
	saved := prefixSaving * p.expectedLatency(now, holder).Seconds() * (1 + req.CostWeight*p.endpoints[holder].spec.Cost)
	if finishScore(p, now, holder, req)-saved <= finishScore(p, now, chosen, req) {
		return holder
	}
	return chosen
}

// prefixHolder returns the endpoint that is likely to have a prefix cached: the
// one to which this node last sent it, else the one to which every node sends it
// first, or None without a prefix.
func (p *Pool) prefixHolder(prefix uint64) int {
	if prefix == 0 {
		return None
	}
	if i := p.prefixes.get(prefix); i != None {
		return i
	}
	return int(hash.Mix(prefix) % uint64(len(p.endpoints)))
}

// expectedLatency predicts the latency of a call at endpoint i without queueing. An expired
// measurement is replaced by the pool's average, so that a formerly slow endpoint is tried again
// and its recovery is noticed. The measurements are those of the usual speed and are multiplied by the
// present slowdown.
func (p *Pool) expectedLatency(now time.Time, i int) time.Duration {
	latency := p.usualLatency(now, i)
	if factor := p.endpoints[i].slowdown.factor(now, p.slowdownHalfLife); factor != 1 {
		return time.Duration(factor * float64(latency))
	}
	return latency
}

// usualLatency predicts the latency of a call at endpoint i without queueing at its usual speed.
func (p *Pool) usualLatency(now time.Time, i int) time.Duration {
	e := &p.endpoints[i]
	switch {
	case e.latency != 0 && now.Sub(e.latencyAt) < latencyMaxAge:
		return e.latency
	case p.latency != 0:
		return p.latency
	}
	return defaultLatency
}

// finishScore returns the predicted time to finish in seconds, plus the weighted
// cost. It assumes that latency grows in proportion to the other calls at the
// endpoint.
func finishScore(p *Pool, now time.Time, i int, req Request) float64 {
	e := &p.endpoints[i]
	latency := p.expectedLatency(now, i).Seconds()
	slots := float64(max(e.spec.Slots, 1))
	calls := float64(e.outstanding)
	if !e.load.ReceivedAt.IsZero() {
		weight := math.Exp2(-now.Sub(e.load.ReceivedAt).Seconds() / loadHalfLife.Seconds())
		calls = math.Max(calls, weight*e.load.Calls+(1-weight)*calls)
	}
	return latency*(1+calls/slots) + req.CostWeight*e.spec.Cost*latency
}
