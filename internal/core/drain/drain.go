// Package drain decides which work a process that has been asked to stop still
// takes.
//
// Such a process knows when it will end, and what it breaks off then is lost to
// the client: a request that may run once can't even be sent again. A request
// that is not taken costs one more attempt elsewhere. So work is taken only if it
// is expected to be done by the end.
//
// How long work takes is learned from what was done lately; the sizes that
// clients state are upper bounds that most answers stay far below.
//
// # Usage
//
//	w := drain.Until(time.Now().Add(grace))
//	var lately drain.Durations
//	lately.Add(took)
//	if takes, known := lately.Likely(); known && !w.Fits(time.Now(), takes) {
//		// refuse it
//	}
package drain

import (
	"slices"
	"time"
)

// Window is the time until the end of the process. The zero Window has no end.
type Window struct{ ends time.Time }

// Until returns the window of a process that ends at a moment.
func Until(ends time.Time) Window { return Window{ends: ends} }

// Fits reports whether work that begins now is done before the end.
func (w Window) Fits(now time.Time, takes time.Duration) bool {
	return w.ends.IsZero() || !now.Add(takes).After(w.ends)
}

const (
	// mostDurations is how many of the last durations are kept: enough that
	// one in twenty of them is more than one, few enough to follow a change
	// within half a minute at two requests a second.
	mostDurations = 64
	// likelyRank is the part of the durations kept that Likely is not below.
	// One in twenty taken for too short is lost only if it comes last; refusing
	// by the longest of all would turn nearly all streams away from the first
	// moment on.
	likelyRank = 0.95
)

// Durations keeps how long the last pieces of work of one kind took.
type Durations struct {
	list []time.Duration
	next int
}

// Add notes work that was done.
func (d *Durations) Add(took time.Duration) {
	if len(d.list) < mostDurations {
		d.list = append(d.list, took)
		return
	}
	d.list[d.next] = took
	d.next = (d.next + 1) % mostDurations
}

// Likely returns a time that the next work of the kind will hardly exceed, and
// reports false if there was none yet.
func (d *Durations) Likely() (time.Duration, bool) {
	if len(d.list) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(d.list))
	return sorted[int(likelyRank*float64(len(sorted)))], true
}
