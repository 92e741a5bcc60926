package place

import (
	"slices"
	"time"
)

// rampPoll is the interval at which waiting calls retry an endpoint that is in its slow start
// after a backoff.
const rampPoll = 20 * time.Millisecond

// SetBackoff stops calls to endpoint i until the given time, after which it is readmitted with a
// slow start. A backoff does not count as a failure.
func (p *Pool) SetBackoff(i int, until time.Time) {
	e := &p.endpoints[i]
	if until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
	if e.health.rampLimit == 0 {
		e.health.rampLimit = 1
	}
}

// AllBackedOff reports whether all endpoints are leaving, removed or in backoff. If so, it also
// returns the earliest end of a backoff, or the zero time if no endpoint is in backoff.
func (p *Pool) AllBackedOff(now time.Time) (earliest time.Time, all bool) {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		switch {
		case e.removed || e.health.leaving:
		case !now.Before(e.backoffUntil):
			return time.Time{}, false
		case earliest.IsZero() || e.backoffUntil.Before(earliest):
			earliest = e.backoffUntil
		}
	}
	return earliest, true
}

// NextAfterBackoff returns the earliest time at which an endpoint that is in backoff, or in its
// slow start after one, may accept a call, or the zero time if there is no such endpoint. Endpoints
// in tried are ignored.
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
