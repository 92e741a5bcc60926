package place

import (
	"math"
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = 2 * time.Second
	// prefixSaving is the share of a call's time that a cached prefix saves.
	// The default is cautious; the engines' own figures are not known yet.
	prefixSaving = 0.3
	// latencyMaxAge is how long a measured time is believed.
	latencyMaxAge = 2 * time.Second
	// defaultLatency stands for an endpoint that has not answered yet.
	defaultLatency = 5 * time.Millisecond
)

// predictedFinish picks the endpoint that should finish the call first, with
// a price on its cost and a bonus for the endpoint that likely holds the
// prompt's prefix.
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

// prefixHolder returns the endpoint that likely holds a prefix: the one that took
// it last from this node, else the one that all nodes would send it to first.
func (p *Pool) prefixHolder(prefix uint64) int {
	if prefix == 0 {
		return None
	}
	if i := p.prefixes.get(prefix); i != None {
		return i
	}
	return int(hash.Mix(prefix) % uint64(len(p.endpoints)))
}

// expectedLatency is the time that a lone call at endpoint i will take. What was
// measured long ago says nothing, so the endpoint counts as an average one
// then: it is tried again, and one that was slow is found to have recovered.
func (p *Pool) expectedLatency(now time.Time, i int) time.Duration {
	e := &p.endpoints[i]
	switch {
	case e.latency != 0 && now.Sub(e.latencyAt) < latencyMaxAge:
		return e.latency
	case p.latency != 0:
		return p.latency
	}
	return defaultLatency
}

// finishScore is the expected time to finish in seconds. An endpoint is
// taken to slow down in proportion to what runs there beyond this call.
func finishScore(p *Pool, now time.Time, i int, req Request) float64 {
	e := &p.endpoints[i]
	took := p.expectedLatency(now, i).Seconds()
	slots := float64(max(e.spec.Slots, 1))
	busy := float64(e.outstanding)
	if !e.load.ReceivedAt.IsZero() {
		trust := math.Exp2(-now.Sub(e.load.ReceivedAt).Seconds() / loadHalfLife.Seconds())
		busy = math.Max(busy, trust*e.load.Calls+(1-trust)*busy)
	}
	return took*(1+busy/slots) + req.CostWeight*e.spec.Cost*took
}
