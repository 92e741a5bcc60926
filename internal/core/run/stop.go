package run

import (
	"maps"
	"slices"
	"time"

	"gradetiller.example/failure"
	"gradetiller.example/internal/core/drain"
)

// drainRetryAfter is the Retry-After of requests that a stopping node refuses.
// Another node can serve them at once, so it only prevents tight retry loops.
const drainRetryAfter = 50 * time.Millisecond

// StopAt announces when the process ends. From then on a run is admitted only
// if its deadline is before that time, so that it has ended by then.
func (e *Engine) StopAt(ends time.Time) { e.window = drain.Until(ends) }

// checkStop refuses a request that may still be in flight when the process ends.
// It can be refused as "not run" now, but perhaps no longer at that time.
func (e *Engine) checkStop(now time.Time, req Request) *failure.Error {
	if e.window.Fits(now, req.Timeout) {
		return nil
	}
	return failure.New(failure.Draining, "this node is stopping; ask another", failure.WithRetryAfter(drainRetryAfter))
}

// Terminate ends every run in flight because the process ends now. All later
// requests are refused.
func (e *Engine) Terminate(now time.Time) []Action {
	e.StopAt(now)
	for _, id := range slices.Sorted(maps.Keys(e.runs)) {
		e.abort(now, e.runs[id], failure.Draining, failure.StageUnknown, "this node stopped before the request was done",
			failure.WithRetryAfter(drainRetryAfter))
	}
	return e.takeActions()
}
