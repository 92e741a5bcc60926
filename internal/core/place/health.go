package place

import "time"

const (
	ejectionThreshold = 3
	baseEjectionTime  = 500 * time.Millisecond
	maxEjectionTime   = 8 * time.Second
	// overdueFactor and longestTook bound how far late calls raise an average.
	overdueFactor     = 2
	maxOverdueLatency = 30 * time.Second
)

// State is the health of an endpoint.
type State int

// The states of health.
const (
	Healthy State = iota
	// Recovering endpoints take few calls at once, twice as many after each
	// success.
	Recovering
	// Ejected endpoints take no calls.
	Ejected
	// Leaving endpoints take no new calls for good.
	Leaving
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"good", "returning", "set_aside", "leaving"}[s]
}

type health struct {
	leaving      bool
	failures     int
	ejectionTime time.Duration
	ejectedUntil time.Time
	rampLimit    int
}

func (h *health) state(now time.Time) State {
	switch {
	case h.leaving:
		return Leaving
	case now.Before(h.ejectedUntil):
		return Ejected
	case h.rampLimit > 0:
		return Recovering
	}
	return Healthy
}

func (h *health) limit(now time.Time, slots int) int {
	switch h.state(now) {
	case Leaving, Ejected:
		return 0
	case Recovering:
		return min(h.rampLimit, slots)
	}
	return slots
}

// recordFailure counts a failure and reports whether it set the endpoint aside.
func (h *health) recordFailure(now time.Time) bool {
	h.failures++
	if h.rampLimit == 0 && h.failures < ejectionThreshold {
		return false
	}
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.ejectionTime = min(max(baseEjectionTime, 2*h.ejectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.rampLimit = 1
	return true
}

// recordUnreachable sets the endpoint aside at once: to wait for more failures would
// only cost more requests a try.
func (h *health) recordUnreachable(now time.Time) bool {
	h.failures = max(h.failures, ejectionThreshold-1)
	return h.recordFailure(now)
}

func (h *health) recordSuccess(slots int) {
	h.failures = 0
	if h.rampLimit == 0 {
		return
	}
	h.rampLimit *= 2
	if h.rampLimit >= slots {
		h.rampLimit = 0
		h.ejectionTime = 0
	}
}
