package stagepool

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// renumbered returns stages with other numbers: that of stage i becomes numbers[i].
func renumbered(stages []Stage, numbers []int) []Stage {
	list := make([]Stage, len(stages))
	for i, s := range stages {
		s.After = slices.Clone(s.After)
		for k := range s.After {
			s.After[k] = numbers[s.After[k]]
		}
		list[numbers[i]] = s
	}
	return list
}

// TestStagesInAnyOrder guards against stages that need one of a higher number: estimates that leave out what comes before,
// pieces that are requested under another number, and tasks that never end.
func TestStagesInAnyOrder(t *testing.T) {
	var want time.Duration
	for _, numbers := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}, {0, 2, 1}, {1, 2, 0}, {2, 0, 1}} {
		t.Run(fmt.Sprint(numbers), func(t *testing.T) {
			w := newWorld(t, 1, 2)
			stages := renumbered(testStages, numbers)
			w.crashes = func(c StartCall) bool {
				for _, it := range c.Items {
					if stages[it.Stage].Service != c.Service || it.Piece >= stages[it.Stage].Pieces {
						t.Errorf("%s got piece %d of stage %d", c.Service, it.Piece, it.Stage)
					}
				}
				return false
			}
			id, ok := w.submit(Task{RequestID: "r", Key: "k", Stages: stages, SoftDeadline: w.now.Add(3 * time.Second), Deadline: w.now.Add(15 * time.Second), Domain: "d0"})
			if !ok {
				t.Fatal("the task is rejected")
			}
			if want == 0 {
				want = w.predicted[id]
			}
			if got := w.predicted[id]; got != want {
				t.Errorf("predicted to take %v, want %v as in the usual order", got, want)
			}
			task := w.pool.tasks[id]
			shortest := w.pool.minRemaining(task, slices.IndexFunc(task.stages, func(s stage) bool { return s.Service == "tag" }))
			if all := w.pool.minDuration(task.Task); shortest != all {
				t.Errorf("the first stage and what follows take %v at least, all stages %v", shortest, all)
			}
			w.run(5 * time.Second)
			if _, done := w.done[id]; !done {
				t.Errorf("the task has no results: %q", w.failed[id])
			}
			if got := w.pool.BegunStages(id); w.pool.tasks[id] != nil && got != 1<<3-1 {
				t.Errorf("stages %b are begun", got)
			}
		})
	}
}

// TestRemadeStagesByNumber guards against a takeover that counts the pieces of another stage as retries, because the stages
// are in another order in the pool than at its caller.
func TestRemadeStagesByNumber(t *testing.T) {
	task := Task{Stages: renumbered(testStages, []int{2, 1, 0}), Remade: 1 << 2}
	if !task.normalize() {
		t.Fatal("the task is refused")
	}
	for i, s := range task.Stages {
		if got, want := task.remakes(i), s.Service == "tag"; got != want {
			t.Errorf("pieces of %s count as made again: %t, want %t", s.Service, got, want)
		}
	}
}

// TestStagesWithoutOrder guards against dependencies that end the process of the leader, or a task that never ends: those in a
// circle and those on stages that are not there.
func TestStagesWithoutOrder(t *testing.T) {
	stage := func(after ...int) Stage { return Stage{Service: "tag", Pieces: 1, After: after} }
	for what, stages := range map[string][]Stage{
		"a circle": {stage(1), stage(0)}, "a stage that needs itself": {stage(0)}, "a stage that is not there": {stage(1)},
		"a negative stage": {stage(), stage(-1)}, "a circle behind a stage": {stage(), stage(2, 0), stage(1)},
	} {
		w := newWorld(t, 1, 2)
		if _, accepted := w.submit(Task{RequestID: what, Key: "k", Stages: stages, SoftDeadline: w.now.Add(3 * time.Second), Deadline: w.now.Add(15 * time.Second)}); accepted {
			t.Errorf("%s: accepted", what)
		}
	}
}
