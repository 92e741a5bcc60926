package stagepool

import (
	"strings"
	"testing"
	"time"
)

// backoff puts the endpoints whose IDs have the given prefix in backoff.
func (w *world) backoff(prefix string, d time.Duration) {
	for _, e := range w.listed() {
		if strings.HasPrefix(e.ID, prefix) {
			w.carryOut(w.pool.Backoff(w.now, e.ID, w.now.Add(d)))
		}
	}
}

// TestStageEndpointInBackoffGetsNothing guards against calls or frees that reach a stage endpoint
// in backoff, and against tasks that wait for it until their deadline.
func TestStageEndpointInBackoffGetsNothing(t *testing.T) {
	const long = 4 * time.Second
	for _, prefix := range []string{"tag-0", "tag", "bill", "print-1"} {
		t.Run(prefix, func(t *testing.T) {
			w := newWorld(t, 7, 3)
			w.load(10, 2*time.Second, 1900*time.Millisecond)
			from := w.now
			w.backoff(prefix, long)
			admitted := w.load(10, 8*time.Second, 1900*time.Millisecond)
			for _, e := range w.listed() {
				if !strings.HasPrefix(e.ID, prefix) {
					continue
				}
				during, after := 0, 0
				for _, at := range w.sent[e.ID] {
					switch {
					case at.Before(from):
					case at.Before(from.Add(long)):
						during++
					case at.Before(from.Add(long + 2*time.Second)):
						after++
					}
				}
				if during > 0 {
					t.Errorf("%s got %d requests during its backoff", e.ID, during)
				}
				if after == 0 {
					t.Errorf("%s got nothing in the two seconds after its backoff", e.ID)
				}
			}
			for _, id := range admitted {
				_, done := w.done[id]
				if _, failed := w.failed[id]; !done && !failed {
					t.Errorf("task %d ended without an answer", id)
				}
			}
		})
	}
}

// TestBackoffBeyondDeadlineFailsTasksEarly guards against tasks with results of earlier stages that
// wait for the end of a backoff after their deadline.
func TestBackoffBeyondDeadlineFailsTasksEarly(t *testing.T) {
	w := newWorld(t, 7, 3)
	deadline := w.now.Add(6 * time.Second)
	stages := []Stage{{Service: "tag", Pieces: 1}, {Service: "bill", Pieces: 1, After: []int{0}}}
	admission, actions := w.pool.Submit(w.now, Task{RequestID: "r", SoftDeadline: w.now.Add(5 * time.Second), Deadline: deadline, Stages: stages})
	if !admission.Accepted {
		t.Fatal("rejected")
	}
	w.carryOut(actions)
	w.backoff("bill", 30*time.Second)
	w.run(2 * time.Second)
	if _, failed := w.failed[admission.ID]; !failed {
		t.Errorf("task has not failed %v before its deadline", deadline.Sub(w.now))
	}
}

// TestBackoffOfAStageRejectsAtOnce guards against admitting tasks although all endpoints of a stage
// are in backoff for too long, and against a retry delay that ends before the backoffs do.
func TestBackoffOfAStageRejectsAtOnce(t *testing.T) {
	w := newWorld(t, 7, 3)
	w.backoff("tag", 5*time.Second)
	at, closed := w.pool.services["tag"].backoffEnd(w.now)
	if !closed || at.Sub(w.now) != 5*time.Second {
		t.Fatalf("closed %t until %v", closed, at.Sub(w.now))
	}
	task := Task{RequestID: "r", SoftDeadline: w.now.Add(2 * time.Second), Deadline: w.now.Add(9 * time.Second), Stages: []Stage{{Service: "tag", Pieces: 1}}}
	admission, _ := w.pool.Submit(w.now, task)
	if admission.Accepted || admission.RetryAfter != 5*time.Second {
		t.Errorf("accepted %t, retry after %v; want a rejection until the end of the backoffs", admission.Accepted, admission.RetryAfter)
	}
	// A task whose soft deadline is well after the end of the backoff is admitted.
	task.SoftDeadline = w.now.Add(30 * time.Second)
	task.Deadline = task.SoftDeadline
	if admission, _ := w.pool.Submit(w.now, task); !admission.Accepted || admission.Finish < 5*time.Second {
		t.Errorf("accepted %t, finish %v; want admission with a finish after the backoffs", admission.Accepted, admission.Finish)
	}
}
