package place

import "time"

const (
	// ejectionThreshold is the number of consecutive failures that eject a healthy endpoint.
	ejectionThreshold = 3
	baseEjectionTime  = 500 * time.Millisecond
	maxEjectionTime   = 8 * time.Second
	// overdueFactor and maxOverdueLatency bound how far overdue calls raise a latency average.
	overdueFactor     = 2
	maxOverdueLatency = 30 * time.Second
)

// State is the health state of an endpoint.
type State int

// The health states.
const (
	Healthy State = iota
	// Recovering endpoints are in a slow start: their concurrency limit is small
	// and doubles with each success.
	Recovering
	// Ejected endpoints receive no calls until their ejection time has passed.
	Ejected
	// Leaving endpoints are shutting down and receive no new calls.
	Leaving
)

// String returns the name of the state as used in logs and status output.
func (s State) String() string {
	return [...]string{"good", "returning", "set_aside", "leaving"}[s]
}

type health struct {
	leaving      bool
	failures     int // consecutive failures
	ejectionTime time.Duration
	ejectedUntil time.Time
	rampLimit    int // concurrency limit of a recovering endpoint, else 0
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

// recordFailure counts a failure and reports whether the endpoint was ejected
// because of it. Each ejection lasts twice as long as the one before.
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

// recordUnreachable ejects the endpoint at once: waiting for more failures would
// only cost further requests an attempt.
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
