package stagepool

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLightLoad checks that well below capacity all tasks are admitted and complete, and hardly any
// work is wasted.
func TestLightLoad(t *testing.T) {
	w := newWorld(t, 1, 5)
	admitted := w.load(15, 20*time.Second, 1900*time.Millisecond)
	if len(admitted) < 250 {
		t.Fatalf("%d tasks admitted, want nearly all of 300", len(admitted))
	}
	for _, id := range admitted {
		if _, ok := w.done[id]; !ok {
			t.Errorf("task %d has no results: %q", id, w.failed[id])
		}
	}
	if lost := w.stats.noRoom + w.stats.gone; lost*100 > w.stats.pieces {
		t.Errorf("%d of %d pieces found no room or no input, want under 1 in 100", lost, w.stats.pieces)
	}
	if len(w.handles) != 0 {
		t.Errorf("%d results were never freed", len(w.handles))
	}
}

// TestBacklogReturnsToZero guards against backlog counts that are not zero once all work has ended:
// tasks would be rejected because of a load that no longer exists.
func TestBacklogReturnsToZero(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "endpoints"))
		for k := range rapid.IntRange(0, 4).Draw(rt, "kills") {
			id := fmt.Sprintf("%s-0", []string{"tag", "bill", "print"}[rapid.IntRange(0, 2).Draw(rt, "service")])
			w.after(time.Duration(500*(k+1))*time.Millisecond, func() { w.kill(id, time.Second) })
		}
		for _, e := range w.listed() {
			w.endpoints[e.ID].speed = rapid.Float64Range(0.8, 5).Draw(rt, "speed")
		}
		w.load(rapid.Float64Range(2, 60).Draw(rt, "rate"), 4*time.Second, 1900*time.Millisecond)
		for _, s := range w.pool.Stats(w.now) {
			if s.Backlog != 0 || s.Queued != 0 {
				rt.Errorf("%s: backlog %d, queued %d after all work has ended", s.Service, s.Backlog, s.Queued)
			}
		}
		if n := w.pool.Tasks(); n != 0 {
			rt.Errorf("%d tasks are not released", n)
		}
		for id := range w.tasks {
			_, done := w.done[id]
			if _, failed := w.failed[id]; !done && !failed {
				rt.Errorf("task %d ended without an answer", id)
			}
		}
	})
}

// TestReleaseAtAnyMoment guards against results that stay at their endpoint when a client
// disconnects, at any moment.
func TestReleaseAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(rt, "seed"), 2)
		id, ok := w.submit(Task{RequestID: "r", Stages: testStages, SoftDeadline: w.now.Add(2 * time.Second), Deadline: w.now.Add(9 * time.Second)})
		if !ok {
			rt.Fatal("rejected by an idle pool")
		}
		leave := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "leave")) * time.Millisecond
		w.after(leave, func() { w.carryOut(w.pool.Release(w.now, id)) })
		w.run(3 * time.Second)
		if len(w.handles) != 0 {
			rt.Errorf("%d results were never freed", len(w.handles))
		}
	})
}

// TestTasksSurviveAnEndpointCrash crashes one of two endpoints of the middle stage during its
// calls: all tasks still complete.
func TestTasksSurviveAnEndpointCrash(t *testing.T) {
	w := newWorld(t, 3, 2)
	w.after(700*time.Millisecond, func() { w.kill("bill-0", 2*time.Second) })
	admitted := w.load(5, 3*time.Second, 3*time.Second)
	for _, id := range admitted {
		if _, ok := w.done[id]; !ok {
			t.Errorf("task %d has no results: %q", id, w.failed[id])
		}
	}
}

// TestSlowEndpointIsAvoided makes one endpoint five times slower: after a few calls it must get
// hardly any work.
func TestSlowEndpointIsAvoided(t *testing.T) {
	w := newWorld(t, 4, 4)
	w.endpoints["bill-1"].speed = 5
	admitted := w.load(12, 15*time.Second, 2200*time.Millisecond)
	late := 0
	for _, id := range admitted {
		if at, ok := w.done[id]; !ok || at.After(w.tasks[id].SoftDeadline) {
			late++
		}
	}
	if late*5 > len(admitted) {
		t.Errorf("%d of %d tasks are late with one of four endpoints slow", late, len(admitted))
	}
	slow, all := w.endpoints["bill-1"].calls, 0
	for _, endpoint := range w.endpoints {
		if endpoint.spec.Service == "bill" {
			all += endpoint.calls
		}
	}
	if slow*20 > all {
		t.Errorf("%d of %d calls went to the slow endpoint", slow, all)
	}
}

// TestOverloadKeepsGoodput offers three times the capacity. At least as many tasks must be on time
// as under a normal load, and rejections must carry a retry delay.
func TestOverloadKeepsGoodput(t *testing.T) {
	baseline := newWorld(t, 5, 3)
	baseline.load(12, 10*time.Second, 2*time.Second)
	w := newWorld(t, 5, 3)
	admitted := w.load(80, 10*time.Second, 2*time.Second)
	onTime := func(w *world, ids map[TaskID]Task) int {
		n := 0
		for id, task := range ids {
			if at, ok := w.done[id]; ok && !at.After(task.SoftDeadline) {
				n++
			}
		}
		return n
	}
	normal, overloaded := onTime(baseline, baseline.tasks), onTime(w, w.tasks)
	t.Logf("on time: %d under normal load, %d of %d admitted under overload, mean fill %.1f", normal, overloaded, len(admitted), fill(w))
	if overloaded < normal {
		t.Errorf("overload brought goodput from %d down to %d", normal, overloaded)
	}
	v, _ := w.pool.Submit(w.now, Task{RequestID: "x", Stages: testStages, SoftDeadline: w.now.Add(time.Second / 10), Deadline: w.now.Add(time.Second)})
	if !v.Accepted && v.RetryAfter <= 0 {
		t.Error("rejection without a retry delay")
	}
}

func fill(w *world) float64 {
	sum := 0
	for _, n := range w.perCall {
		sum += n
	}
	return float64(sum) / float64(max(len(w.perCall), 1))
}

// TestPooledAgainstUnpooled compares one pool for all requests with seven nodes that each batch
// their own requests at the same endpoints.
func TestPooledAgainstUnpooled(t *testing.T) {
	pooled := newWorld(t, 6, 5)
	admitted := pooled.load(19, 10*time.Second, 1900*time.Millisecond)
	separate := newUnpooled(t, 6, 5, 7)
	onTimeSeparate, submitted := separate.load(19, 10*time.Second, 1900*time.Millisecond)
	onTime := 0
	for _, id := range admitted {
		if at, ok := pooled.done[id]; ok && !at.After(pooled.tasks[id].SoftDeadline) {
			onTime++
		}
	}
	t.Logf("on time: pooled %d, unpooled %d of %d", onTime, onTimeSeparate, submitted)
	missesPooled, missesSeparate := submitted-onTime, submitted-onTimeSeparate
	if 2*missesPooled > missesSeparate {
		t.Errorf("pooled misses %d, unpooled %d; want at most half", missesPooled, missesSeparate)
	}
}

// TestContendedInputsAreKept guards against inputs that are freed too early when two leaders use
// the same endpoints, as during a change of leader. A call may queue behind one of the other
// leader, and inputs that are freed soon after its start are gone when it runs.
func TestContendedInputsAreKept(t *testing.T) {
	gone := func(contend bool) int {
		a := newUnpooled(t, 8, 3, 2)
		if contend {
			for _, p := range a.pools {
				p.ExpectContention(a.now.Add(time.Minute))
			}
		}
		a.load(14, 8*time.Second, 2*time.Second)
		return a.stats.gone
	}
	if n := gone(false); n == 0 {
		t.Error("no input was gone without ExpectContention either, so nothing was tested")
	}
	if n := gone(true); n != 0 {
		t.Errorf("%d inputs were gone although the leaders expected contention", n)
	}
}

// TestFullEndpointIsAvoided fills an endpoint's room with results unknown to the pool: after the
// first pieces find no room, few more may be sent there.
func TestFullEndpointIsAvoided(t *testing.T) {
	w := newWorld(t, 9, 2)
	s := w.endpoints["bill-0"]
	s.used = s.conf.ResultCapacity
	w.after(3*time.Second, func() { s.used -= s.conf.ResultCapacity })
	admitted := w.load(6, 5*time.Second, 3*time.Second)
	for _, id := range admitted {
		if _, ok := w.done[id]; !ok {
			t.Errorf("task %d has no results: %q", id, w.failed[id])
		}
	}
	if w.stats.noRoom > 60 {
		t.Errorf("%d pieces found no room", w.stats.noRoom)
	}
}

// TestHandOff checks that a leaving leader hands off exactly the tasks that have not started, and
// completes the others.
func TestHandOff(t *testing.T) {
	w := newWorld(t, 10, 1)
	var ids []TaskID
	for i := range 12 {
		id, ok := w.submit(Task{RequestID: fmt.Sprint("r", i), Stages: testStages, SoftDeadline: w.now.Add(9 * time.Second), Deadline: w.now.Add(15 * time.Second)})
		if !ok {
			t.Fatal("rejected")
		}
		ids = append(ids, id)
	}
	w.run(50 * time.Millisecond)
	w.carryOut(w.pool.HandOff(w.now))
	w.run(10 * time.Second)
	moved, done := 0, 0
	for _, id := range ids {
		if w.failed[id] == ReasonMoved {
			moved++
		}
		if _, ok := w.done[id]; ok {
			done++
		}
	}
	if moved == 0 || done == 0 || moved+done != len(ids) {
		t.Errorf("%d tasks handed off, %d completed, of %d", moved, done, len(ids))
	}
	if len(w.handles) != 0 {
		t.Errorf("%d results were never freed", len(w.handles))
	}
}
