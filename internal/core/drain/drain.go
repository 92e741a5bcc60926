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
//	lately.Add(drain.Estimate(300), took)
//	if takes, known := lately.Likely(drain.Estimate(900)); !known || !w.Fits(time.Now(), takes) {
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

// Size is what is known of the size of work, in units of the caller's choice. The
// zero Size is not known.
type Size struct {
	amount int
	rough  bool
}

// Bound returns a size that the work does not exceed.
func Bound(amount int) Size { return Size{amount: amount} }

// Estimate returns a size that is right in the middle and often far off.
func Estimate(amount int) Size { return Size{amount: amount, rough: true} }

const (
	// memory is how many of the last durations count, in effect: half a minute
	// at two requests a second.
	memory = 64
	// startSpread is the standard deviation of the logarithm of the time, before
	// any is known, and startWeight how many durations it weighs. Streams of
	// three kinds of requests had 0.4 to 0.7.
	startSpread = 0.5
	startWeight = 4
	// startPace is the time that a unit takes before any is known. Of the tokens
	// that clients estimate, half of the streams of two days took less than 15 ms
	// each, stages included, and less than 7 ms without.
	startPace = 10 * time.Millisecond
	// The time grows with the size to the power of a slope, which is learned. It
	// starts with boundSlope, since the time is in proportion to the size, and
	// with roughSlope for estimates, whose errors make it look less.
	boundSlope = 1
	roughSlope = 0.5
	// Work whose first unit comes at once takes more than in proportion to its size:
	// with units of equal time, 92 take 30 times as long as four, a slope of 1.09.
	// steepestBound leaves room for that. An estimate can't show it: its errors flatten the
	// slope, and chance alone would make it steep.
	steepestBound = 1.25
	steepestRough = 1
	// leastSpread leaves room above the mean where all took alike.
	leastSpread = 0.25
	// likely is how many standard deviations above the mean Likely lies: five of six
	// are below. By the logs of two days, at 80 and 6 nodes, with each stream taken
	// to come at some moment of the 2.5 s in which a stopping node takes them, 1.9
	// and 5.2 of 100 are cut without a bound; this one turns 7 and 15 away and leaves
	// 1.4 and 2.0. With 0.67 it is 3 and 8, and 1.6 and 3.2. Without sizes, as many
	// that are turned away save half as many answers at 80 nodes, and nearly as many
	// at 6. Being turned away costs a client one more attempt, being cut the answer.
	likely = 1.0
)

// Predictor learns how long work of one kind takes, by its size. The logarithm of
// the time is taken to be normal, with a mean that is linear in the logarithm of
// the size: so a few durations tell of the rare long ones too.
type Predictor struct {
	count float64
	// sized tells that a size was known of some work.
	sized bool
	// The means of the logarithms of size and time, their variances and their
	// covariance.
	size, time   float64
	sizes, times float64
	both         float64
}

// Observe notes work that was done.
func (d *Predictor) Observe(size Size, took time.Duration) {
	if !d.sized && size.amount > 0 {
		// What was added before counts as of the first size that is known.
		d.sized = true
		d.size = math.Log(float64(size.amount))
	}
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

// UpperEstimate returns a time that the next work of the kind, of a size, will hardly
// exceed. It reports false if nothing is known of either.
func (d *Predictor) UpperEstimate(size Size) (time.Duration, bool) { return d.above(size, likely) }

// Median returns a time that the next work is as likely to exceed as not.
func (d *Predictor) Median(size Size) (time.Duration, bool) { return d.above(size, 0) }

// above returns the time some standard deviations above the mean.
func (d *Predictor) above(size Size, deviations float64) (time.Duration, bool) {
	if d.count == 0 {
		mean := float64(size.amount) * startPace.Seconds()
		return seconds(mean * math.Exp(deviations*startSpread)), size.amount > 0
	}
	slope := d.slope(size)
	variance := max(d.times-2*slope*d.both+slope*slope*d.sizes, leastSpread*leastSpread)
	spread := math.Sqrt(variance * (1 + 1/d.count))
	return seconds(math.Exp(d.time + slope*(d.logSize(size)-d.size) + deviations*spread)), true
}

// slope is what sizes have told of how the time grows with them.
func (d *Predictor) slope(size Size) float64 {
	// weight is what the start value still weighs.
	weight := startSpread * startSpread * startWeight / (d.count + startWeight)
	start, steepest := float64(boundSlope), float64(steepestBound)
	if size.rough {
		start, steepest = roughSlope, steepestRough
	}
	return min(max((d.both+start*weight)/(d.sizes+weight), 0), steepest)
}

// longest bounds what is foretold: no process waits that long.
const longest = 24 * time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(min(s, longest.Seconds()) * float64(time.Second))
}

// logSize returns a size's logarithm; a size that is not known counts as the mean.
func (d *Predictor) logSize(size Size) float64 {
	if size.amount <= 0 || !d.sized {
		return d.size
	}
	return math.Log(float64(size.amount))
}
