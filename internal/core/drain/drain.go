// Package drain decides which work a process that has been asked to stop still
// takes.
//
// Such a process knows when it will end, and what it breaks off then is lost to
// the client: a request that may run once can't even be sent again. A request
// that is not taken costs one more attempt elsewhere. So work is taken only if it
// is expected to be done by the end.
//
// How long work takes is learned from what was done lately and from the sizes that
// clients state, which are estimates, or bounds that most answers stay far below.
//
// # Usage
//
//	w := drain.Until(time.Now().Add(left))
//	var lately drain.Durations
//	lately.Add(size, took)
//	if takes, known := lately.Likely(size); !known || !w.Fits(time.Now(), takes) {
//		// turn it away
//	}
package drain

import (
	"math"
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
	// memory is how many of the last durations count, in effect: half a minute
	// at two requests a second.
	memory = 64
	// startSpread is the standard deviation of the logarithm of the time, before
	// any is known, and startWeight how many durations it weighs. Streams of
	// three kinds of requests had 0.4 to 0.7.
	startSpread = 0.5
	startWeight = 4
	// leastSpread keeps the bound half above the mean where all took alike: with a
	// fifth, streams of the longest sizes, of which few are seen, were cut 3 to 5
	// of 100 short of their end (2 of 9 runs of the soak).
	leastSpread = 0.25
	// likely is how many standard deviations above the mean Likely lies: five of six
	// are below. By the logs of two days, at 80 and 6 nodes, with each stream taken
	// to come at some moment of the 2.5 s in which a stopping node takes them, 1.9
	// and 5.5 of 100 are cut without a bound; this one turns 11 and 17 away and
	// leaves 1.2 and 1.9. 1.28 turns 17 and 24 away and leaves 0.9 and 1.1. Without
	// sizes, as many that are turned away save half as many answers at 80 nodes, and
	// nearly as many at 6. Being turned away costs a client one more attempt, being cut the
	// answer.
	likely = 1.0
)

// Durations learns how long work of one kind takes, by its size. The logarithm of
// the time is taken to be normal, with a mean that is linear in the logarithm of
// the size: so a few durations tell of the rare long ones too. Until sizes have
// told otherwise, the time grows with the size in proportion.
type Durations struct {
	count float64
	// The means of the logarithms of size and time, their variances and their
	// covariance.
	size, time   float64
	sizes, times float64
	both         float64
}

// Add notes work that was done. A size of 0 means that it is not known.
func (d *Durations) Add(size int, took time.Duration) {
	x, y := d.logSize(size), math.Log(max(took, time.Microsecond).Seconds())
	d.count = min(d.count+1, memory)
	dx, dy := x-d.size, y-d.time
	d.size += dx / d.count
	d.time += dy / d.count
	if d.count == 1 {
		d.times = startSpread * startSpread
		return
	}
	weight := 1 / (d.count + startWeight)
	d.sizes += weight * (dx*(x-d.size) - d.sizes)
	d.both += weight * (dx*(y-d.time) - d.both)
	d.times += weight * (dy*(y-d.time) - d.times)
}

// Likely returns a time that the next work of the kind, of a size, will hardly
// exceed. It reports false if there was none yet.
func (d *Durations) Likely(size int) (time.Duration, bool) {
	if d.count == 0 {
		return 0, false
	}
	// start is what the start values still weigh.
	start := startSpread * startSpread * startWeight / (d.count + startWeight)
	slope := min(max((d.both+start)/(d.sizes+start), 0), 1)
	variance := max(d.times-2*slope*d.both+slope*slope*d.sizes, leastSpread*leastSpread)
	off := d.logSize(size) - d.size
	spread := math.Sqrt(variance * (1 + 1/d.count + off*off/(d.count*(d.sizes+start))))
	seconds := math.Exp(d.time + slope*off + likely*spread)
	return time.Duration(min(seconds, longest.Seconds()) * float64(time.Second)), true
}

// longest bounds what is foretold: no process waits that long.
const longest = 24 * time.Hour

// logSize returns a size's logarithm; a size that is not known counts as the mean.
func (d *Durations) logSize(size int) float64 {
	if size <= 0 {
		return d.size
	}
	return math.Log(float64(size))
}
