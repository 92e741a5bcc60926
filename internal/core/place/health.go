package place

import "time"

const (
	failuresToSetAside = 3
	firstSetAside      = 500 * time.Millisecond
	longestSetAside    = 8 * time.Second
	// lateFactor and longestTook bound how far late calls raise an average.
	lateFactor  = 2
	longestTook = 30 * time.Second
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
	leaving  bool
	failures int
	aside    time.Duration
	until    time.Time
	ramp     int
}

func (h *health) state(now time.Time) State {
	switch {
	case h.leaving:
		return Leaving
	case now.Before(h.until):
		return Ejected
	case h.ramp > 0:
		return Recovering
	}
	return Healthy
}

func (h *health) limit(now time.Time, slots int) int {
	switch h.state(now) {
	case Leaving, Ejected:
		return 0
	case Recovering:
		return min(h.ramp, slots)
	}
	return slots
}

// failed counts a failure and reports whether it set the endpoint aside.
func (h *health) failed(now time.Time) bool {
	h.failures++
	if h.ramp == 0 && h.failures < failuresToSetAside {
		return false
	}
	if now.Before(h.until) {
		return false
	}
	h.aside = min(max(firstSetAside, 2*h.aside), longestSetAside)
	h.until = now.Add(h.aside)
	h.ramp = 1
	return true
}

// unreachable sets the endpoint aside at once: to wait for more failures would
// only cost more requests a try.
func (h *health) unreachable(now time.Time) bool {
	h.failures = max(h.failures, failuresToSetAside-1)
	return h.failed(now)
}

func (h *health) succeeded(slots int) {
	h.failures = 0
	if h.ramp == 0 {
		return
	}
	h.ramp *= 2
	if h.ramp >= slots {
		h.ramp = 0
		h.aside = 0
	}
}
