package place

import (
	"slices"
	"time"
)

// rampPoll is how soon a call may find room at an endpoint that takes few calls after a backoff.
const rampPoll = 20 * time.Millisecond

// SetBackoff has no call go to endpoint i until a moment, and few at first afterwards. The endpoint
// isn't taken to be unhealthy.
func (p *Pool) SetBackoff(i int, until time.Time) {
	e := &p.endpoints[i]
	if until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
	if e.health.rampLimit == 0 {
		e.health.rampLimit = 1
	}
}

// AllBackedOff reports whether all endpoints are leaving, removed or in backoff, and the first end of
// a backoff, or the zero time.
func (p *Pool) AllBackedOff(now time.Time) (reopens time.Time, closed bool) {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		switch {
		case e.removed || e.health.leaving:
		case !now.Before(e.backoffUntil):
			return time.Time{}, false
		case reopens.IsZero() || e.backoffUntil.Before(reopens):
			reopens = e.backoffUntil
		}
	}
	return reopens, true
}

// NextAfterBackoff is when a call may first go to an endpoint that is in backoff, or that takes few calls
// after one, or the zero time. Endpoints in tried don't count.
func (p *Pool) NextAfterBackoff(now time.Time, tried []int) time.Time {
	var first time.Time
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.removed || e.health.leaving || e.backoffUntil.IsZero() || e.health.rampLimit == 0 || slices.Contains(tried, i) {
			continue
		}
		at := now.Add(rampPoll)
		for _, end := range []time.Time{e.backoffUntil, e.health.ejectedUntil} {
			if end.After(at) {
				at = end
			}
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
