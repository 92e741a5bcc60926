package budget

import (
	"math"
	"time"
)

const (
	numBuckets = 72
	firstBound = 100 * time.Microsecond
	growth     = 1.2
	halfLife   = 5 * time.Second
	decayStep  = time.Second
	minWeight  = 0.5
)

var (
	logGrowth = math.Log(growth)
	bounds    = bucketBounds()
)

// bucketBounds returns the upper bound of each bucket.
func bucketBounds() (list [numBuckets]time.Duration) {
	for i := range list {
		list[i] = time.Duration(float64(firstBound) * math.Pow(growth, float64(i)))
	}
	return list
}

// Estimator holds the decaying distribution of one stage's times.
type Estimator struct {
	counts    [numBuckets]float64
	total     float64
	lastDecay time.Time
}

// NewEstimator returns an estimator without observations.
func NewEstimator(now time.Time) *Estimator { return &Estimator{lastDecay: now} }

// Observe adds a measured time.
func (e *Estimator) Observe(now time.Time, d time.Duration) {
	e.decay(now)
	e.counts[bucket(d)]++
	e.total++
}

// Quantile returns the q-quantile (0 to 1) of recent times, or 0 if there are no
// recent observations.
func (e *Estimator) Quantile(now time.Time, q float64) time.Duration {
	e.decay(now)
	if e.total < minWeight {
		return 0
	}
	rank := q * e.total
	var sum float64
	for i, c := range e.counts {
		sum += c
		if sum >= rank && c > 0 {
			return bounds[i]
		}
	}
	return bounds[numBuckets-1]
}

// Mean returns the mean of recent times, or 0 if there are no recent
// observations. It is too high by up to one bucket's width.
func (e *Estimator) Mean(now time.Time) time.Duration {
	e.decay(now)
	if e.total < minWeight {
		return 0
	}
	var sum float64
	for i, c := range e.counts {
		sum += c * float64(bounds[i])
	}
	return time.Duration(sum / e.total)
}

func (e *Estimator) decay(now time.Time) {
	age := now.Sub(e.lastDecay)
	if age < decayStep {
		return
	}
	keep := math.Exp2(-age.Seconds() / halfLife.Seconds())
	e.total = 0
	for i := range e.counts {
		e.counts[i] *= keep
		e.total += e.counts[i]
	}
	e.lastDecay = now
}

func bucket(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(firstBound)) / logGrowth))
	return min(i, numBuckets-1)
}
