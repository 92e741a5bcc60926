package stagepool

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/core/poison"
)

// deadlyWorld is a world whose endpoints of one service crash when they begin to work on a
// piece of a request, and are back after a time. It returns the ends so far.
func deadlyWorld(t *testing.T, service, request string) (*world, *int) {
	w := newWorld(t, 1, 5)
	ends := new(int)
	w.crashes = func(c StartCall) bool {
		if c.Service != service {
			return false
		}
		for _, it := range c.Items {
			if it.RequestID == request {
				*ends++
				return true
			}
		}
		return false
	}
	return w, ends
}

// burst submits tasks all at once.
func (w *world) burst(n int) []TaskID {
	var ids []TaskID
	for i := range n {
		name := fmt.Sprintf("r%d", i)
		id, ok := w.submit(Task{
			RequestID: name, Content: poison.Identify(poison.Content{Body: []byte(name)}), Stages: testStages,
			SoftDeadline: w.now.Add(6 * time.Second), Deadline: w.now.Add(12 * time.Second),
		})
		if !ok {
			w.t.Fatalf("%s is refused", name)
		}
		ids = append(ids, id)
	}
	return ids
}

// TestBrokenCallsArePartedUntilTheCauseIsAlone has one of 16 tasks crash what works on it,
// at the first stage or a later one. It ends three endpoints, each time with at most half
// as many mates, and is given up; all others are done.
func TestBrokenCallsArePartedUntilTheCauseIsAlone(t *testing.T) {
	const deadly = 7
	for _, service := range []string{"tag", "bill", "print"} {
		t.Run(service, func(t *testing.T) {
			w, ends := deadlyWorld(t, service, fmt.Sprintf("r%d", deadly))
			ids := w.burst(16)
			w.run(14 * time.Second)
			if *ends != maxConsecutiveBreaks {
				t.Errorf("%d endpoints ended, want %d", *ends, maxConsecutiveBreaks)
			}
			for i, id := range ids {
				_, done := w.done[id]
				if done == (i == deadly) {
					t.Errorf("task %d: done %v, failed %q", i, done, w.failed[id])
				}
			}
			mates := w.brokenMates
			for k := 1; k < len(mates); k++ {
				if mates[k] > (mates[k-1]+1)/2 {
					t.Errorf("calls that broke off had %v tasks: the next one more than half", mates)
				}
			}
			if len(mates) > 0 && mates[len(mates)-1] != 1 {
				t.Errorf("calls that broke off had %v tasks: the last one more than one", mates)
			}
		})
	}
}

// TestTasksJoinAgain breaks one call off for another reason: once their pieces are made,
// its tasks share calls as before.
func TestTasksJoinAgain(t *testing.T) {
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
			t.Errorf("task %d is still kept apart", id)
		}
	}
	if !broken {
		t.Error("no call broke off: the test shows nothing")
	}
}

// TestDrop gives the tasks of a refused request up, and no others.
func TestDrop(t *testing.T) {
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
