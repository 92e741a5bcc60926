package stagepool

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCalmDay checks that under a load well below capacity everything is
// taken, nothing is lost, and hardly any work is thrown away.
func TestCalmDay(t *testing.T) {
	w := newWorld(t, 1, 5)
	taken := w.load(15, 20*time.Second, 1900*time.Millisecond)
	if len(taken) < 250 {
		t.Fatalf("%d tasks taken, want nearly all of 300", len(taken))
	}
	for _, id := range taken {
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

// TestBacklogsEndEmpty checks the counts by which tasks are admitted: after
// all work is done they are zero, so that nothing is refused for a load that
// is over.
func TestBacklogsEndEmpty(t *testing.T) {
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
				rt.Errorf("%s: backlog %d, queued %d after all work is over", s.Service, s.Backlog, s.Queued)
			}
		}
		if n := w.pool.Tasks(); n != 0 {
			rt.Errorf("%d tasks are still known", n)
		}
		for id := range w.tasks {
			_, done := w.done[id]
			if _, failed := w.failed[id]; !done && !failed {
				rt.Errorf("task %d ended without an answer", id)
			}
		}
	})
}

// TestReleaseAtAnyMoment checks that a client that leaves, at any moment,
// leaves no result behind at its maker.
func TestReleaseAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(rt, "seed"), 2)
		id, ok := w.submit(Task{RequestID: "r", Stages: testStages, SoftDeadline: w.now.Add(2 * time.Second), Deadline: w.now.Add(9 * time.Second)})
		if !ok {
			rt.Fatal("refused by an idle pool")
		}
		leave := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "leave")) * time.Millisecond
		w.after(leave, func() { w.carryOut(w.pool.Release(w.now, id)) })
		w.run(3 * time.Second)
		if len(w.handles) != 0 {
			rt.Errorf("%d results are left at their makers", len(w.handles))
		}
	})
}

// TestDeadWorkerCostsTimeOnly kills one of two endpoints of the middle stage in
// the middle of its calls: all tasks end with whole results.
func TestDeadWorkerCostsTimeOnly(t *testing.T) {
	w := newWorld(t, 3, 2)
	w.after(700*time.Millisecond, func() { w.kill("bill-0", 2*time.Second) })
	taken := w.load(5, 3*time.Second, 3*time.Second)
	for _, id := range taken {
		if _, ok := w.done[id]; !ok {
			t.Errorf("task %d has no results: %q", id, w.failed[id])
		}
	}
}

// TestSlowWorkerIsAvoided makes one endpoint five times slower: within a few
// calls it hardly gets work.
func TestSlowWorkerIsAvoided(t *testing.T) {
	w := newWorld(t, 4, 4)
	w.endpoints["bill-1"].speed = 5
	taken := w.load(12, 15*time.Second, 2200*time.Millisecond)
	late := 0
	for _, id := range taken {
		if at, ok := w.done[id]; !ok || at.After(w.tasks[id].SoftDeadline) {
			late++
		}
	}
	if late*5 > len(taken) {
		t.Errorf("%d of %d tasks are late with one of four endpoints slow", late, len(taken))
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

// TestOverloadKeepsGoodput offers three times what the endpoints can do: those
// that are taken are on time, and what is refused is told when to come back.
func TestOverloadKeepsGoodput(t *testing.T) {
	calm := newWorld(t, 5, 3)
	calm.load(12, 10*time.Second, 2*time.Second)
	w := newWorld(t, 5, 3)
	taken := w.load(80, 10*time.Second, 2*time.Second)
	onTime := func(w *world, ids map[TaskID]Task) int {
		n := 0
		for id, task := range ids {
			if at, ok := w.done[id]; ok && !at.After(task.SoftDeadline) {
				n++
			}
		}
		return n
	}
	before, under := onTime(calm, calm.tasks), onTime(w, w.tasks)
	t.Logf("on time: %d in calm, %d of %d taken under overload, mean fill %.1f", before, under, len(taken), fill(w))
	if under < before {
		t.Errorf("overload brought goodput from %d down to %d", before, under)
	}
	v, _ := w.pool.Submit(w.now, Task{RequestID: "x", Stages: testStages, SoftDeadline: w.now.Add(time.Second / 10), Deadline: w.now.Add(time.Second)})
	if !v.Accepted && v.RetryAfter <= 0 {
		t.Error("a refusal without the time to come back")
	}
}

func fill(w *world) float64 {
	sum := 0
	for _, n := range w.perCall {
		sum += n
	}
	return float64(sum) / float64(max(len(w.perCall), 1))
}

// TestPooledAgainstAlone compares one pool over all requests with each of
// seven nodes batching its own requests at the same endpoints: the naive way.
func TestPooledAgainstAlone(t *testing.T) {
	pooled := newWorld(t, 6, 5)
	taken := pooled.load(19, 10*time.Second, 1900*time.Millisecond)
	alone := newAlone(t, 6, 5, 7)
	onTimeAlone, asked := alone.load(19, 10*time.Second, 1900*time.Millisecond)
	onTime := 0
	for _, id := range taken {
		if at, ok := pooled.done[id]; ok && !at.After(pooled.tasks[id].SoftDeadline) {
			onTime++
		}
	}
	t.Logf("on time: pooled %d, each node alone %d of %d", onTime, onTimeAlone, asked)
	missesPooled, missesAlone := asked-onTime, asked-onTimeAlone
	if 2*missesPooled > missesAlone {
		t.Errorf("pooled misses %d, alone %d: not halved", missesPooled, missesAlone)
	}
}

// TestContendedInputsAreKept lets two leaders work at the same endpoints, as
// at a change of leader. A call may then wait behind the other's; inputs that
// were freed soon after its start were gone at its turn.
func TestContendedInputsAreKept(t *testing.T) {
	gone := func(contend bool) int {
		a := newAlone(t, 8, 3, 2)
		if contend {
			for _, p := range a.pools {
				p.ExpectContention(a.now.Add(time.Minute))
			}
		}
		a.load(14, 8*time.Second, 2*time.Second)
		return a.stats.gone
	}
	if n := gone(false); n == 0 {
		t.Error("the load shows nothing: no input was gone without the warning either")
	}
	if n := gone(true); n != 0 {
		t.Errorf("%d inputs were gone although the leaders knew of each other", n)
	}
}

// TestFullWorkerIsSpared fills an endpoint's room with results that the pool does
// not know of: after the first pieces found no room, few more are sent there.
func TestFullWorkerIsSpared(t *testing.T) {
	w := newWorld(t, 9, 2)
	s := w.endpoints["bill-0"]
	s.used = s.conf.Room
	w.after(3*time.Second, func() { s.used -= s.conf.Room })
	taken := w.load(6, 5*time.Second, 3*time.Second)
	for _, id := range taken {
		if _, ok := w.done[id]; !ok {
			t.Errorf("task %d has no results: %q", id, w.failed[id])
		}
	}
	if w.stats.noRoom > 60 {
		t.Errorf("%d pieces found no room", w.stats.noRoom)
	}
}

// TestGiveBack checks that a leader that leaves gives back exactly the tasks
// that have not begun, and brings the others to their end.
func TestGiveBack(t *testing.T) {
	w := newWorld(t, 10, 1)
	var ids []TaskID
	for i := range 12 {
		id, ok := w.submit(Task{RequestID: fmt.Sprint("r", i), Stages: testStages, SoftDeadline: w.now.Add(9 * time.Second), Deadline: w.now.Add(15 * time.Second)})
		if !ok {
			t.Fatal("refused")
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
		t.Errorf("%d tasks given back, %d done, of %d", moved, done, len(ids))
	}
	if len(w.handles) != 0 {
		t.Errorf("%d results are left", len(w.handles))
	}
}
