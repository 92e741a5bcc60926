package stagepool

import (
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/internal/core/signal"
)

// limit sets a rate limit on the endpoints whose IDs have the given prefix; a negative one removes
// it.
func (w *world) limit(prefix string, perSecond float64) {
	limits := signal.NewLimits()
	w.pool.paces = func(e catalog.Endpoint) intake.Pace {
		if perSecond >= 0 && strings.HasPrefix(e.ID, prefix) {
			rate, err := intake.NewRate(perSecond)
			if err != nil {
				w.t.Fatal(err)
			}
			limits.Observe(w.now, e.ID, rate)
		}
		return intake.NewPace(limits.Bound(e.ID), intake.LeaderShare(intake.ByLeaders, 1, 1, 1, time.Time{}))
	}
	w.carryOut(w.pool.Configure(w.now, testServices, w.listed()))
}

// TestLimitedEndpoints guards against exceeding the rate limit of one endpoint, or of all
// endpoints, of a service. Calls and frees together must stay within the limit, all admitted tasks
// must end, and no result may remain at its endpoint.
func TestLimitedEndpoints(t *testing.T) {
	const perSecond = 1.5
	for _, prefix := range []string{"tag-0", "tag", "bill", "print-1"} {
		t.Run(prefix, func(t *testing.T) {
			w := newWorld(t, 7, 3)
			w.load(10, 2*time.Second, 1900*time.Millisecond)
			from := w.now
			w.limit(prefix, perSecond)
			admitted := w.load(10, 12*time.Second, 1900*time.Millisecond)
			for _, e := range w.listed() {
				if !strings.HasPrefix(e.ID, prefix) {
					continue
				}
				sent := intaketest.After(w.sent[e.ID], from)
				if got := intaketest.MaxInSpan(sent, from); got > intaketest.Allowed(perSecond) {
					t.Errorf("%s got %d requests in %v", e.ID, got, intaketest.Span)
				}
				if len(intaketest.After(sent, from.Add(5*time.Second))) == 0 {
					t.Errorf("%s got no requests from 5 s on", e.ID)
				}
			}
			for _, id := range admitted {
				_, done := w.done[id]
				if _, failed := w.failed[id]; !done && !failed {
					t.Errorf("task %d ended without an answer", id)
				}
			}
			w.limit(prefix, -1)
			w.run(10 * time.Second)
			if len(w.handles) != 0 {
				t.Errorf("%d results were never freed", len(w.handles))
			}
			t.Logf("%d tasks admitted, %d completed", len(admitted), len(w.done))
		})
	}
}

// TestRateLimitFailsLateTasksEarly guards against tasks that wait until their deadline once all
// endpoints of the first stage advertise a low rate limit: those that can't be on time fail at
// once.
func TestRateLimitFailsLateTasksEarly(t *testing.T) {
	w := newWorld(t, 3, 2)
	var admitted []TaskID
	for range 40 {
		if id, ok := w.submit(Task{RequestID: "r", Stages: testStages, SoftDeadline: w.now.Add(3 * time.Second), Deadline: w.now.Add(30 * time.Second)}); ok {
			admitted = append(admitted, id)
		}
	}
	w.limit("tag", 0.5)
	w.run(4 * time.Second)
	failedEarly, stillWaiting := 0, 0
	for _, id := range admitted {
		_, done := w.done[id]
		reason, failed := w.failed[id]
		switch {
		case failed && reason == reasonRateLimited:
			failedEarly++
		case !done && !failed && !w.pool.tasks[id].started:
			stillWaiting++
		}
	}
	if failedEarly == 0 || stillWaiting > 0 {
		t.Errorf("%d tasks failed early, %d are still waiting", failedEarly, stillWaiting)
	}
}

// TestLeavingEndpointGetsNoQueuedFrees guards against requests to a rate-limited endpoint that
// starts to leave while frees are queued for it.
func TestLeavingEndpointGetsNoQueuedFrees(t *testing.T) {
	w := newWorld(t, 5, 2)
	w.limit("tag-0", 0.5)
	before := 0
	w.after(3*time.Second, func() {
		list := w.listed()
		for i := range list {
			list[i].Draining = list[i].ID == "tag-0"
		}
		w.carryOut(w.pool.Configure(w.now, testServices, list))
		before = len(w.sent["tag-0"])
	})
	w.load(6, 6*time.Second, 1900*time.Millisecond)
	if after := len(w.sent["tag-0"]); before == 0 || after != before {
		t.Errorf("%d requests reached the leaving endpoint, %d before it left", after-before, before)
	}
}
