package place

import (
	"math"
	"time"
)

const (
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = 2 * time.Second
	// prefixSaving is the share of a call's time that a cached prefix saves.
	// The default is cautious; the engines' own figures are not known yet.
	prefixSaving = 0.3
	// tookLife is how long a measured time is believed.
	tookLife = 2 * time.Second
	// unknownTook stands for an endpoint that has not answered yet.
	unknownTook = 5 * time.Millisecond
)

// predictedFinish picks the endpoint that should finish the call first, with
// a price on its cost and a bonus for the endpoint that likely holds the
// prompt's prefix.
func predictedFinish(p *Pool, now time.Time, req Request) int {
	chosen := p.best(now, sampleSize, req, finishScore)
	holder := p.prefixes.get(req.Prefix)
	if holder == None || holder == chosen || chosen == None || !p.usable(now, holder, req) {
		return chosen
	}
	cached := finishScore(p, now, holder, req)
	cached -= prefixSaving * p.expected(now, holder).Seconds()
	if cached <= finishScore(p, now, chosen, req) {
		return holder
	}
	return chosen
}

// expected is the time that a lone call at endpoint i will take. What was
// measured long ago says nothing, so the endpoint counts as an average one
// then: it is tried again, and one that was slow is found to have recovered.
func (p *Pool) expected(now time.Time, i int) time.Duration {
	e := &p.endpoints[i]
	switch {
	case e.took != 0 && now.Sub(e.measured) < tookLife:
		return e.took
	case p.took != 0:
		return p.took
	}
	return unknownTook
}

// finishScore is the expected time to finish in seconds. An endpoint is
// taken to slow down in proportion to what runs there beyond this call.
func finishScore(p *Pool, now time.Time, i int, req Request) float64 {
	e := &p.endpoints[i]
	took := p.expected(now, i).Seconds()
	slots := float64(max(e.spec.Slots, 1))
	busy := float64(e.outstanding)
	if !e.load.At.IsZero() {
		trust := math.Exp2(-now.Sub(e.load.At).Seconds() / loadHalfLife.Seconds())
		busy = math.Max(busy, trust*e.load.Busy+(1-trust)*busy)
	}
	return took*(1+busy/slots) + req.CostWeight*e.spec.Cost*took
}
