package origin

import "time"

// History knows which software versions the endpoints of services had lately. It is not safe for concurrent
// use.
type History struct {
	// leftAt holds when endpoints were last removed from the list, by what they served.
	leftAt map[Origin]time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{leftAt: make(map[Origin]time.Time)} }

// Left records that an endpoint is listed no more.
func (h *History) Left(now time.Time, o Origin) {
	for known, at := range h.leftAt {
		if now.Sub(at) > MaxTTL {
			delete(h.leftAt, known)
		}
	}
	h.leftAt[o] = now
}

// Sole returns the only version of a service's endpoints since the given time, of those that are listed and
// those that have left, or false if there are several or none.
func (h *History) Sole(since time.Time, service string, listed []string) (string, bool) {
	if len(listed) == 0 {
		return "", false
	}
	for _, version := range listed {
		if version != listed[0] {
			return "", false
		}
	}
	for o, at := range h.leftAt {
		if o.Service == service && o.Version != listed[0] && !at.Before(since) {
			return "", false
		}
	}
	return listed[0], true
}
