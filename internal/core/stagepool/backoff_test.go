package stagepool

import (
	"strings"
	"testing"
	"time"
)

// backoff has the endpoints whose ids begin with a prefix be in backoff for a while.
func (w *world) backoff(prefix string, d time.Duration) {
	for _, e := range w.listed() {
		if strings.HasPrefix(e.ID, prefix) {
			w.carryOut(w.pool.Backoff(w.now, e.ID, w.now.Add(d)))
		}
	}
}

// TestStageEndpointInBackoffGetsNothing guards against calls, or results to give up, that reach a
// stage endpoint in backoff, and against tasks that wait for it until their deadline.
func TestStageEndpointInBackoffGetsNothing(t *testing.T) {
	const long = 4 * time.Second
	for _, prefix := range []string{"tag-0", "tag", "bill", "print-1"} {
		t.Run(prefix, func(t *testing.T) {
			w := newWorld(t, 7, 3)
			w.load(10, 2*time.Second, 1900*time.Millisecond)
			from := w.now
			w.backoff(prefix, long)
			taken := w.load(10, 8*time.Second, 1900*time.Millisecond)
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
					t.Errorf("%s got %d requests in its backoff", e.ID, during)
				}
				if after == 0 {
					t.Errorf("%s got nothing in the two seconds after its backoff", e.ID)
				}
			}
			for _, id := range taken {
				_, done := w.done[id]
				if _, failed := w.failed[id]; !done && !failed {
					t.Errorf("task %d ended without an answer", id)
				}
			}
		})
	}
}

// TestTasksDoNotWaitForTheirDeadlineInVain guards against tasks with results of earlier stages that
// wait for a backoff which ends after their deadline.
func TestTasksDoNotWaitForTheirDeadlineInVain(t *testing.T) {
	w := newWorld(t, 7, 3)
	deadline := w.now.Add(6 * time.Second)
	stages := []Stage{{Service: "tag", Pieces: 1}, {Service: "bill", Pieces: 1, After: []int{0}}}
	verdict, actions := w.pool.Submit(w.now, Task{RequestID: "r", SoftDeadline: w.now.Add(5 * time.Second), Deadline: deadline, Stages: stages})
	if !verdict.Accepted {
		t.Fatal("rejected")
	}
	w.carryOut(actions)
	w.backoff("bill", 30*time.Second)
	w.run(2 * time.Second)
	if _, failed := w.failed[verdict.ID]; !failed {
		t.Errorf("not given up %v before its deadline", deadline.Sub(w.now))
	}
}

// TestBackoffOfAStageRejectsAtOnce guards against tasks that are let in although no endpoint of a
// stage takes them in time, and against a time to come back before the end of the backoffs.
func TestBackoffOfAStageRejectsAtOnce(t *testing.T) {
	w := newWorld(t, 7, 3)
	w.backoff("tag", 5*time.Second)
	at, closed := w.pool.services["tag"].backoffEnd(w.now)
	if !closed || at.Sub(w.now) != 5*time.Second {
		t.Fatalf("closed %t until %v", closed, at.Sub(w.now))
	}
	task := Task{RequestID: "r", SoftDeadline: w.now.Add(2 * time.Second), Deadline: w.now.Add(9 * time.Second), Stages: []Stage{{Service: "tag", Pieces: 1}}}
	verdict, _ := w.pool.Submit(w.now, task)
	if verdict.Accepted || verdict.RetryAfter != 5*time.Second {
		t.Errorf("accepted %t, again %v; want a rejection until the end of the backoffs", verdict.Accepted, verdict.RetryAfter)
	}
	// With an end well before its aim it may wait.
	task.SoftDeadline = w.now.Add(30 * time.Second)
	task.Deadline = task.SoftDeadline
	if verdict, _ := w.pool.Submit(w.now, task); !verdict.Accepted || verdict.Finish < 5*time.Second {
		t.Errorf("accepted %t, finish %v; want it to wait for the end of the backoffs", verdict.Accepted, verdict.Finish)
	}
}
