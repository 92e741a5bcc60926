package intake

import (
	"math"
	"time"
)

const (
	// mixHalfLife is the age at which a request counts half in a Mix.
	mixHalfLife = 2 * time.Second
	// mixPrior is the number of requests of either kind that a Mix assumes before it has seen
	// any.
	mixPrior = 0.05
	// minMix keeps a part of the bound for the kind of requests that were rare until now.
	minMix = 0.05
)

// Mix estimates what fraction of a service's requests leaders place, the rest being placed by
// each node, from recent requests of both kinds. The zero value has seen none. It is not safe
// for concurrent use.
type Mix struct {
	byLeaders, byNodes float64
	updatedAt          time.Time
}

// Add records requests that were placed by a leader and by nodes.
func (m *Mix) Add(now time.Time, byLeaders, byNodes int) {
	kept := decayed(now.Sub(m.updatedAt), mixHalfLife)
	m.byLeaders *= kept
	m.byNodes *= kept
	m.byLeaders += float64(byLeaders)
	m.byNodes += float64(byNodes)
	m.updatedAt = now
}

// Leaders returns the fraction that leaders place, from 0 to 1.
func (m *Mix) Leaders() float64 {
	return (m.byLeaders + mixPrior) / (m.byLeaders + m.byNodes + 2*mixPrior)
}

// leadersPart and nodesPart return the parts of a bound for each kind of requests, given the
// fraction that leaders place.
func leadersPart(mix float64) float64 { return min(mix+minMix, 1) }
func nodesPart(mix float64) float64   { return min(1-mix+minMix, 1) }

// Unreported counts the requests that a node placed itself and has not reported to a leader yet.
// Old ones decay, since a Mix counts what is reported as if it were new: without the decay, 295
// nodes that began to send through a leader after 10 s of their own requests reported all of
// these within a second, and the leader used too little of the bound for 10 s. The half-life grows
// with the interval between reports, so that a node that seldom reports still reports four fifths
// of its requests. The zero value is empty. It is not safe for concurrent use.
type Unreported struct {
	// count is negative after a report that was rounded up.
	count     float64
	updatedAt time.Time
	// reportedAt is the time of the last report, and interval the moving average of the time
	// between two.
	reportedAt time.Time
	interval   time.Duration
}

const (
	// unreportedIntervals is the half-life of unreported requests in intervals between reports.
	unreportedIntervals = 3
	// intervalWeight is the weight of the newest interval in the average.
	intervalWeight = 0.2
)

// Add records a request that the node placed itself.
func (u *Unreported) Add(now time.Time) {
	u.decay(now)
	u.count++
}

// Take returns the number of requests to report now. What is lost to rounding is carried over.
func (u *Unreported) Take(now time.Time) int {
	u.decay(now)
	if !u.reportedAt.IsZero() {
		u.observeInterval(now.Sub(u.reportedAt))
	}
	u.reportedAt = now
	report := max(math.Round(u.count), 0)
	u.count -= report
	return int(report)
}

func (u *Unreported) observeInterval(newest time.Duration) {
	if u.interval == 0 {
		u.interval = newest
		return
	}
	u.interval += time.Duration(intervalWeight * float64(newest-u.interval))
}

func (u *Unreported) decay(now time.Time) {
	u.count *= decayed(now.Sub(u.updatedAt), max(mixHalfLife, unreportedIntervals*u.interval))
	u.updatedAt = now
}

// decayed returns the weight of a request of a given age.
func decayed(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}
