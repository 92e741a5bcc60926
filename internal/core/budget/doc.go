// Package budget divides the time left before a request's deadline over the
// stages left, from measured stage times.
//
// An Estimator keeps the recent times of one stage in a histogram with
// exponential bucket bounds whose counts halve every half-life, so that a
// slow pool shows within seconds and is forgotten as fast.
//
// # Usage
//
//	e := budget.NewEstimator(now)
//	e.Observe(now, 12*time.Millisecond)
//	shares, ok := budget.Split(left, []time.Duration{e.Quantile(now, 0.9), ...})
package budget
