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

// timer is a scheduled event. A timer whose run or call has ended does nothing.
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

func (e *Engine) schedule(at time.Time, t timer) {
	t.at = at
	heap.Push(&e.timers, t)
}

// NextTimer returns when Tick must next be called; false means that no timer is
// pending.
func (e *Engine) NextTimer() (time.Time, bool) {
	if len(e.timers) == 0 {
		return time.Time{}, false
	}
	return e.timers[0].at, true
}

// Tick fires every timer that is due, and sends queued calls to endpoints whose
// ejection has expired.
func (e *Engine) Tick(now time.Time) []Action {
	for len(e.timers) > 0 && !e.timers[0].at.After(now) {
		e.fire(now, heap.Pop(&e.timers).(timer))
	}
	for _, p := range e.poolsByIndex {
		e.pump(now, p)
	}
	return e.takeActions()
}

func (e *Engine) fire(now time.Time, t timer) {
	if t.kind == timerPump {
		// Tick pumps every pool after the timers.
		t.pool.nextPump = time.Time{}
		return
	}
	r, ok := e.runs[t.run]
	if !ok {
		return
	}
	switch t.kind {
	case timerDeadline:
		e.abort(now, r, failure.DeadlineNotRun, failure.DeadlineExceeded, "the deadline passed")
	case timerHedge:
		if c, ok := e.calls[t.call]; ok {
			e.hedge(now, c)
		}
	case timerStage:
		if r.stage == t.stage && r.current().Optional() && !e.cfg.Policies().PlainRetry() {
			e.skipStage(now, r, "the stage used up its share of the time")
		}
	}
}

func (e *Engine) estimate(now time.Time, pipeline, stage string) *estimate {
	key := stageKey{pipeline, stage}
	est, ok := e.estimates[key]
	if !ok {
		est = &estimate{callTimes: budget.NewEstimator(now), firstTokenTimes: budget.NewEstimator(now)}
		e.estimates[key] = est
	}
	return est
}
