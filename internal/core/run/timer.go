package run

import (
	"container/heap"
	"time"

	"gradetiller.example/failure"
	"gradetiller.example/internal/core/budget"
)

type timerKind int

const (
	timerDeadline timerKind = iota
	timerHedge
	timerStage
	timerPump
)

// timer names what it is for; a timer whose run or call is gone does nothing.
type timer struct {
	at    time.Time
	kind  timerKind
	run   ID
	call  AttemptID
	stage int
	pool  *pool
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

func (e *Engine) after(at time.Time, t timer) {
	t.at = at
	heap.Push(&e.timers, t)
}

// NextTimer returns when Tick is next needed; false means that nothing waits
// for the time.
func (e *Engine) NextTimer() (time.Time, bool) {
	if len(e.timers) == 0 {
		return time.Time{}, false
	}
	return e.timers[0].at, true
}

// Tick fires every timer that is due, and sends waiting runs to endpoints
// whose time aside has passed.
func (e *Engine) Tick(now time.Time) []Action {
	for len(e.timers) > 0 && !e.timers[0].at.After(now) {
		e.fire(now, heap.Pop(&e.timers).(timer))
	}
	for _, p := range e.byIndex {
		e.pump(now, p)
	}
	return e.take()
}

func (e *Engine) fire(now time.Time, t timer) {
	if t.kind == timerPump {
		// Tick pumps every pool behind the timers.
		t.pool.pumpAt = time.Time{}
		return
	}
	r, ok := e.runs[t.run]
	if !ok {
		return
	}
	switch t.kind {
	case timerDeadline:
		e.giveUp(now, r, failure.DeadlineNotRun, failure.DeadlineExceeded, "the deadline passed")
	case timerHedge:
		if c, ok := e.calls[t.call]; ok {
			e.hedge(now, c)
		}
	case timerStage:
		if r.stage == t.stage && r.current().Optional() && !e.cfg.Policies().PlainRetry() {
			e.skip(now, r, "the stage used up its share of the time")
		}
	}
}

func (e *Engine) estimate(now time.Time, pipeline, stage string) *estimate {
	key := stageKey{pipeline, stage}
	est, ok := e.estimates[key]
	if !ok {
		est = &estimate{took: budget.NewEstimator(now), first: budget.NewEstimator(now)}
		e.estimates[key] = est
	}
	return est
}
