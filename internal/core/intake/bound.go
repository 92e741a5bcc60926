package intake

import (
	"math"
	"time"
)

const (
	// probePerSecond is sent to an endpoint even if it advertises a lower limit, or 0: only an
	// answer can say that the limit has ended, and one request in 5 s brings one.
	probePerSecond = 0.2
	// When an endpoint raises or removes its limit, the rate stays unchanged for rampDelay. It then
	// doubles every rampDoublingTime, starting from at least minRampRate requests per second. This
	// prevents a limit that is removed and restored every second from releasing all held-back
	// requests at once.
	rampDelay        = 2 * time.Second
	rampDoublingTime = 500 * time.Millisecond
	minRampRate      = 1.0
	// coldRateShare is the fraction of a cold endpoint's rate that is sent, and coldPeakShare the
	// fraction of what it may get in any second. The margin in any single second covers requests
	// that arrive closer together than they were sent, and two nodes that place requests at the
	// same time.
	coldRateShare = 0.65
	coldPeakShare = 1.0 / 3
)

// ColdLimit is what an endpoint handles just after its start. The zero value is no limit.
type ColdLimit struct {
	// PerSecond is the number of requests that it handles per second.
	PerSecond float64
	// The endpoint may get Excess times PerSecond plus Slack requests in any second.
	Excess, Slack float64
}

// rate returns the rate that is sent to a cold endpoint.
func (c ColdLimit) rate() Rate {
	if c.PerSecond <= 0 {
		return Rate{}
	}
	peak := max(c.Excess, 1)*c.PerSecond + c.Slack
	return Rate{perSecond: min(coldRateShare*c.PerSecond, coldPeakShare*peak), bounded: true}
}

// Bound is the time-dependent limit on the requests per second that an endpoint gets from all nodes
// together: the lowest limit of all causes. The zero value is no bound.
type Bound struct {
	cold      Rate
	coldUntil time.Time
	limit     Rate
	// rampFrom is the rate that was sent when the limit was raised or removed, at since; 0 if it
	// was neither.
	rampFrom float64
	since    time.Time
}

// NewBound returns the bound of an advertised rate limit that came into force at since. If it
// replaced a lower one, from is the rate allowed until then, in requests per second; otherwise it
// is 0.
func NewBound(limit Rate, from float64, since time.Time) Bound {
	return Bound{limit: limit, rampFrom: from, since: since}
}

// WithCold returns the bound with the limit of a cold endpoint added until the given time.
func (b Bound) WithCold(c ColdLimit, until time.Time) Bound {
	b.cold, b.coldUntil = c.rate(), until
	return b
}

// At returns the bound at the given time.
func (b Bound) At(now time.Time) Rate {
	r := b.rampedLimit(now)
	if now.Before(b.coldUntil) {
		r = Lower(r, b.cold)
	}
	return r
}

// rampedLimit returns the advertised limit, or the lower rate that the ramp has reached. The rate
// rises in steps, since the time slots of a node move whenever it changes.
func (b Bound) rampedLimit(now time.Time) Rate {
	r := b.limit
	if r.bounded {
		r.perSecond = max(r.perSecond, probePerSecond)
	}
	if b.rampFrom <= 0 {
		return r
	}
	reached := b.rampFrom
	if easing := now.Sub(b.since) - rampDelay; easing >= 0 {
		reached = max(b.rampFrom, minRampRate) * math.Exp2(math.Floor(easing.Seconds()/rampDoublingTime.Seconds()))
	}
	if reached >= maxPerSecond {
		return r
	}
	return Lower(r, Rate{perSecond: reached, bounded: true})
}
