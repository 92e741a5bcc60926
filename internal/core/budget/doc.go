// Package budget divides the time left before a request's deadline among its
// remaining stages, by measured stage times.
//
// An Estimator keeps the recent times of one stage in a histogram with exponential
// bucket bounds and counts that decay exponentially, so that estimates follow a
// pool that becomes slow or fast within seconds.
//
// # Usage
//
//	e := budget.NewEstimator(now)
//	e.Observe(now, 12*time.Millisecond)
//	shares, ok := budget.Split(left, []time.Duration{e.Quantile(now, 0.9), ...})
package budget
