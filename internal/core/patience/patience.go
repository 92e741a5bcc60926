// Package patience tells how long the clients of a deployment wait before they return after a
// rejection, and whether that is shorter than its load peaks.
//
// A client waits as long as Retry-After says, up to a third of the time that it has left. Where that
// is less than a load peak lasts, a rejected client returns to the same peak, so that it matters who
// is rejected and whether room is kept for those who return. Where clients wait longer, they return
// after the peak, and neither matters.
//
// # Usage
//
//	t := patience.NewTracker()
//	t.Observe(now, route, patience.Of(timeLeft))
//	if t.Short(now) {
//		// plan the returns
//	}
package patience

import "time"

const (
	// waitDivisor is the part of its remaining time, 1/waitDivisor, that a client waits at most.
	waitDivisor = 3
	// peakDuration is the length of a short load peak; observed peaks last 4 to 7 s. A client that
	// waits at most half of it returns to the same peak as a rule.
	peakDuration  = 4 * time.Second
	shortPatience = peakDuration / 2
	// memory is how long a route counts after its last request.
	memory = 30 * time.Second
	// maxRoutes bounds the routes that are tracked.
	maxRoutes = 256
)

// Of returns how long a client waits before it returns, given the time that it has left.
func Of(left time.Duration) time.Duration { return max(left, 0) / waitDivisor }

// Tracker tracks the patience of the clients of each route. Returning clients have less time left, so
// that the longest patience of a route counts. It is not safe for concurrent use.
type Tracker struct {
	routes map[string]seen
}

type seen struct {
	longest time.Duration
	at      time.Time
}

// NewTracker returns a tracker that has seen no request.
func NewTracker() *Tracker { return &Tracker{routes: make(map[string]seen)} }

// Observe records a request of a route whose client has the given patience; 0 means unknown.
func (t *Tracker) Observe(now time.Time, route string, patience time.Duration) {
	s, known := t.routes[route]
	if patience <= 0 || !known && len(t.routes) >= maxRoutes {
		return
	}
	t.routes[route] = seen{longest: max(s.longest, patience), at: now}
}

// Short reports whether the clients of most routes with recent requests wait for less than a load peak.
func (t *Tracker) Short(now time.Time) bool {
	short, all := 0, 0
	for route, s := range t.routes {
		if now.Sub(s.at) > memory {
			delete(t.routes, route)
			continue
		}
		all++
		if s.longest <= shortPatience {
			short++
		}
	}
	return 2*short > all
}
