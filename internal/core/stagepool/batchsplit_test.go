package stagepool

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/core/poison"
)

// newCrashWorld returns a world in which the endpoints of one service crash when they start on a
// piece of the given request, and come back later. It also returns the number of crashes so far.
func newCrashWorld(t *testing.T, service, request string) (*world, *int) {
	w := newWorld(t, 1, 5)
	crashes := new(int)
	w.crashes = func(c StartCall) bool {
		if c.Service != service {
			return false
		}
		for _, it := range c.Items {
			if it.RequestID == request {
				*crashes++
				return true
			}
		}
		return false
	}
	return w, crashes
}

// burst submits n tasks at once.
func (w *world) burst(n int) []TaskID {
	var ids []TaskID
	for i := range n {
		name := fmt.Sprintf("r%d", i)
		id, ok := w.submit(Task{
			RequestID: name, Content: poison.Identify(poison.Content{Body: []byte(name)}), Stages: testStages,
			SoftDeadline: w.now.Add(6 * time.Second), Deadline: w.now.Add(12 * time.Second),
		})
		if !ok {
			w.t.Fatalf("%s is rejected", name)
		}
		ids = append(ids, id)
	}
	return ids
}

// TestBrokenBatchesAreSplitUntilTheCauseIsAlone guards against a request that crashes endpoints and
// fails the tasks batched with it. One of 16 tasks crashes its endpoint, at the first stage or a
// later one. It may crash three endpoints, each time in a batch of at most half as many tasks, and
// fails; all others complete.
func TestBrokenBatchesAreSplitUntilTheCauseIsAlone(t *testing.T) {
	const crashing = 7
	for _, service := range []string{"tag", "bill", "print"} {
		t.Run(service, func(t *testing.T) {
			w, crashes := newCrashWorld(t, service, fmt.Sprintf("r%d", crashing))
			ids := w.burst(16)
			w.run(14 * time.Second)
			if *crashes != maxConsecutiveBreaks {
				t.Errorf("%d endpoints crashed, want %d", *crashes, maxConsecutiveBreaks)
			}
			for i, id := range ids {
				_, done := w.done[id]
				if done == (i == crashing) {
					t.Errorf("task %d: done %v, failed %q", i, done, w.failed[id])
				}
			}
			taskCounts := w.brokenCallTasks
			for k := 1; k < len(taskCounts); k++ {
				if taskCounts[k] > (taskCounts[k-1]+1)/2 {
					t.Errorf("broken calls had %v tasks; want each at most half of the previous one", taskCounts)
				}
			}
			if len(taskCounts) > 0 && taskCounts[len(taskCounts)-1] != 1 {
				t.Errorf("broken calls had %v tasks; want 1 in the last one", taskCounts)
			}
		})
	}
}

// TestSplitBatchesRecover guards against tasks that stay in split batches after one call broke for
// an unrelated reason: once their pieces have results, they are batched as before.
func TestSplitBatchesRecover(t *testing.T) {
	w := newWorld(t, 1, 1)
	broken := false
	w.crashes = func(c StartCall) bool {
		first := !broken && c.Service == "tag" && len(c.Items) > 1
		broken = broken || first
		return first
	}
	ids := w.burst(8)
	w.run(14 * time.Second)
	for _, id := range ids {
		if _, done := w.done[id]; !done {
			t.Errorf("task %d failed: %q", id, w.failed[id])
		}
	}
	for id, task := range w.pool.tasks {
		if task.consecutiveBreaks > 0 || task.maxTasksPerCall > 0 {
			t.Errorf("task %d is still limited to split batches", id)
		}
	}
	if !broken {
		t.Error("no call broke, so nothing was tested")
	}
}

// TestFailContent checks that exactly the tasks of a refused request fail.
func TestFailContent(t *testing.T) {
	w := newWorld(t, 1, 2)
	ids := w.burst(4)
	w.carryOut(w.pool.FailContent(w.now, poison.Identify(poison.Content{Body: []byte("r2")})))
	if got := w.failed[ids[2]]; got != ReasonPoison {
		t.Errorf("the request's task failed with %q", got)
	}
	w.run(8 * time.Second)
	for i, id := range ids {
		if _, done := w.done[id]; done == (i == 2) {
			t.Errorf("task %d: done %v", i, done)
		}
	}
	if len(w.handles) != 0 {
		t.Errorf("%d results were never freed", len(w.handles))
	}
}
