package run

import (
	"maps"
	"slices"
	"time"

	"gradetiller.example/failure"
	"gradetiller.example/internal/core/drain"
)

// drainRetry is told to callers whom a stopping node refuses: another node can
// take the request at once, so it only keeps them from asking in a loop.
const drainRetry = 50 * time.Millisecond

// StopAt tells that the process ends at a time. A run is over by its deadline,
// so one that is admitted from now on is over when the process ends.
func (e *Engine) StopAt(ends time.Time) { e.window = drain.Until(ends) }

// fits refuses a request that may still be under way when the process ends:
// nothing of it has run yet, so "not run" is true now and might not be then.
func (e *Engine) fits(now time.Time, req Request) *failure.Error {
	if e.window.Fits(now, req.Timeout) {
		return nil
	}
	return failure.New(failure.Draining, "this node is stopping; ask another", failure.WithRetryAfter(drainRetry))
}

// Terminate ends every run that is still under way, because the process ends now,
// and has every later request refused.
func (e *Engine) Terminate(now time.Time) []Action {
	e.StopAt(now)
	for _, id := range slices.Sorted(maps.Keys(e.runs)) {
		e.giveUp(now, e.runs[id], failure.Draining, failure.StageUnknown, "this node stopped before the request was done",
			failure.WithRetryAfter(drainRetry))
	}
	return e.take()
}
