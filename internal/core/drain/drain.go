// Package drain decides which requests a stopping process still accepts.
//
// A stopping process knows when it will end, and requests that are cut off then are
// lost to the client: an at-most-once request can't even be retried. A request that
// is refused costs one more attempt at another node. So a request is accepted only
// if it is expected to be done by the end.
//
// Durations are predicted from recent requests and from the sizes that clients
// state, which are estimates, or bounds that most answers stay far below.
//
// # Usage
//
//	w := drain.Until(time.Now().Add(left))
//	var p drain.Predictor
//	p.Observe(drain.Estimate(300), took)
//	if takes, known := p.UpperEstimate(drain.Estimate(900)); !known || !w.Fits(time.Now(), takes) {
//		// refuse the request
//	}
package drain

import (
	"math"
	"time"
)

// Window is the time until the end of the process. The zero Window has no end.
type Window struct{ ends time.Time }

// Until returns the window of a process that ends at the given time.
func Until(ends time.Time) Window { return Window{ends: ends} }

// Fits reports whether work that starts now and takes the given time is done before
// the end.
func (w Window) Fits(now time.Time, takes time.Duration) bool {
	return w.ends.IsZero() || !now.Add(takes).After(w.ends)
}

// Size is the stated size of work, in units of the caller's choice. The zero Size is
// unknown.
type Size struct {
	amount    int
	estimated bool
}

// Bound returns a size that the work does not exceed.
func Bound(amount int) Size { return Size{amount: amount} }

// Estimate returns a size that is unbiased but often far off.
func Estimate(amount int) Size { return Size{amount: amount, estimated: true} }

const (
	// maxWeight bounds the weight of past durations, which makes the averages cover
	// about the last 64: half a minute at two requests per second.
	maxWeight = 64
	// priorStdDev is the prior standard deviation of the logarithm of the time, and
	// priorWeight the number of durations that it counts as. Streams of three
	// kinds of requests had 0.4 to 0.7.
	priorStdDev = 0.5
	priorWeight = 4
	// priorTimePerUnit is the assumed time per unit before any duration is observed.
	// Per token of the client's estimate, the median stream of two days took 15 ms
	// including stages and 7 ms without.
	priorTimePerUnit = 10 * time.Millisecond
	// The time grows with the size to the power of a slope, which is fitted. Its
	// prior is priorSlopeBound, since the time is proportional to the size, and
	// priorSlopeEstimate for estimates, whose errors flatten the slope.
	priorSlopeBound    = 1
	priorSlopeEstimate = 0.5
	// Work whose first unit takes no time grows faster than in proportion to its
	// size: with units of equal time, 92 take 30 times as long as four, a slope of
	// 1.09. maxSlopeBound allows for that. For estimates, whose errors flatten the
	// slope, a slope above 1 can only be due to chance.
	maxSlopeBound    = 1.25
	maxSlopeEstimate = 1
	// minStdDev is the minimum standard deviation, which keeps a margin above the
	// mean if all durations were alike.
	minStdDev = 0.25
	// upperDeviations is the distance of UpperEstimate above the mean in standard
	// deviations; five of six durations are below it. It trades refused streams, which
	// cost the client one more attempt, for cut streams, which cost the answer. By the
	// logs of two days at 80 and 6 nodes, for streams that arrive at a random time of
	// the 2.5 s in which a stopping node accepts them, 1.9 % and 5.2 % are cut without
	// a prediction. With 1.0, 7 % and 15 % are refused and 1.4 % and 2.0 % cut; with
	// 0.67, 3 % and 8 % are refused and 1.6 % and 3.2 % cut. Without sizes, the same
	// number of refusals saves half as many answers at 80 nodes and nearly as many at 6.
	upperDeviations = 1.0
)

// Predictor predicts how long work of one kind takes, by its size. The logarithm of the
// time is modeled as normal with a mean that is linear in the logarithm of the size,
// so that a few durations are enough to predict rare long ones.
type Predictor struct {
	count float64
	// sizeKnown is true once work of a known size was observed.
	sizeKnown bool
	// The means of the logarithms of size and time, their variances and their
	// covariance.
	meanSize, meanTime float64
	varSize, varTime   float64
	covariance         float64
}

// Observe adds the duration of finished work.
func (d *Predictor) Observe(size Size, took time.Duration) {
	if !d.sizeKnown && size.amount > 0 {
		// Earlier work counts as having the first known size.
		d.sizeKnown = true
		d.meanSize = math.Log(float64(size.amount))
	}
	x, y := d.logSize(size), math.Log(max(took, time.Microsecond).Seconds())
	d.count = min(d.count+1, maxWeight)
	dx, dy := x-d.meanSize, y-d.meanTime
	d.meanSize += dx / d.count
	d.meanTime += dy / d.count
	if d.count == 1 {
		d.varTime = priorStdDev * priorStdDev
		return
	}
	weight := 1 / (d.count + priorWeight)
	d.varSize += weight * (dx*(x-d.meanSize) - d.varSize)
	d.covariance += weight * (dx*(y-d.meanTime) - d.covariance)
	d.varTime += weight * (dy*(y-d.meanTime) - d.varTime)
}

// UpperEstimate returns a time that the next work of the given size exceeds with a
// probability of about one in six. It reports false if no work was observed and the
// size is unknown.
func (d *Predictor) UpperEstimate(size Size) (time.Duration, bool) {
	return d.predict(size, upperDeviations)
}

// Median returns the median time predicted for the next work of the given size. It
// reports false if no work was observed and the size is unknown.
func (d *Predictor) Median(size Size) (time.Duration, bool) { return d.predict(size, 0) }

// predict returns the time that is the given number of standard deviations above the
// mean.
func (d *Predictor) predict(size Size, deviations float64) (time.Duration, bool) {
	if d.count == 0 {
		mean := float64(size.amount) * priorTimePerUnit.Seconds()
		return seconds(mean * math.Exp(deviations*priorStdDev)), size.amount > 0
	}
	slope := d.slope(size)
	variance := max(d.varTime-2*slope*d.covariance+slope*slope*d.varSize, minStdDev*minStdDev)
	spread := math.Sqrt(variance * (1 + 1/d.count))
	return seconds(math.Exp(d.meanTime + slope*(d.logSize(size)-d.meanSize) + deviations*spread)), true
}

// slope returns the exponent with which the time grows with the size.
func (d *Predictor) slope(size Size) float64 {
	// weight is the remaining weight of the prior.
	weight := priorStdDev * priorStdDev * priorWeight / (d.count + priorWeight)
	start, maxSlope := float64(priorSlopeBound), float64(maxSlopeBound)
	if size.estimated {
		start, maxSlope = priorSlopeEstimate, maxSlopeEstimate
	}
	return min(max((d.covariance+start*weight)/(d.varSize+weight), 0), maxSlope)
}

// maxPrediction bounds predictions; no process waits that long.
const maxPrediction = 24 * time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxPrediction.Seconds()) * float64(time.Second))
}

// logSize returns the logarithm of a size; an unknown size counts as the mean.
func (d *Predictor) logSize(size Size) float64 {
	if size.amount <= 0 || !d.sizeKnown {
		return d.meanSize
	}
	return math.Log(float64(size.amount))
}
