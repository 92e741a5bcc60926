package intake

import (
	"math"
	"time"
)

const (
	// leastPerSecond is sent to an endpoint that names less, also none at all: only an
	// answer tells that its word has ended, and one request in 5 s brings one.
	leastPerSecond = 0.2
	// holdTime is how long what is sent stays as it was when an endpoint names a higher rate,
	// or none any more, and easeTime the time after which it doubles then, from easeFrom
	// requests a second at least. Words that come and go every second must not bring all at
	// once what was kept from the endpoint.
	holdTime = 2 * time.Second
	easeTime = 500 * time.Millisecond
	easeFrom = 1.0
	// coldShare is the part of what a cold endpoint is said to handle that is sent, and
	// coldMost the part of what it may get in any second. The bound on any single second
	// leaves room for requests that arrive closer together than they were sent, and for two
	// placing nodes at once.
	coldShare = 0.65
	coldMost  = 1.0 / 3
)

// ColdLimit is what an endpoint of a service bears just after its start. The zero value sets no
// bound.
type ColdLimit struct {
	// PerSecond is how many requests it handles in a second.
	PerSecond float64
	// Excess times PerSecond, and Slack more, is how many it may get in any second.
	Excess, Slack float64
}

// rate is what is sent to a cold endpoint.
func (c ColdLimit) rate() Rate {
	if c.PerSecond <= 0 {
		return Rate{}
	}
	most := max(c.Excess, 1)*c.PerSecond + c.Slack
	return Rate{perSecond: min(coldShare*c.PerSecond, coldMost*most), named: true}
}

// Bound is how many requests a second an endpoint takes from all nodes together, by time:
// the lowest of what each cause allows. The zero value is none.
type Bound struct {
	cold      Rate
	coldUntil time.Time
	named     Rate
	// from is what was sent when the named rate was raised or ended at a moment, or 0 when
	// it was neither.
	from  float64
	since time.Time
}

// NewBound returns the bound of an advertised rate limit that came into force at a moment. When
// it replaced a lower one, from is the rate allowed until then, in requests a second, else 0.
func NewBound(limit Rate, from float64, since time.Time) Bound {
	return Bound{named: limit, from: from, since: since}
}

// WithCold adds that the endpoint is cold until a moment.
func (b Bound) WithCold(c ColdLimit, until time.Time) Bound {
	b.cold, b.coldUntil = c.rate(), until
	return b
}

// At returns the bound at a moment.
func (b Bound) At(now time.Time) Rate {
	r := b.eased(now)
	if now.Before(b.coldUntil) {
		r = Lower(r, b.cold)
	}
	return r
}

// eased is what the endpoint's word allows: what it names, reached by doubling. It rises in
// steps, since the turns of a node that shares it with others move whenever it changes.
func (b Bound) eased(now time.Time) Rate {
	r := b.named
	if r.named {
		r.perSecond = max(r.perSecond, leastPerSecond)
	}
	if b.from <= 0 {
		return r
	}
	reached := b.from
	if easing := now.Sub(b.since) - holdTime; easing >= 0 {
		reached = max(b.from, easeFrom) * math.Exp2(math.Floor(easing.Seconds()/easeTime.Seconds()))
	}
	if reached >= mostPerSecond {
		return r
	}
	return Lower(r, Rate{perSecond: reached, named: true})
}
