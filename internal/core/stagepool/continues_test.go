package stagepool

import (
	"fmt"
	"testing"
	"time"
)

// TestContinuedTasksAtRestart guards against streams that never go on after an outage: their clients return all at once, in an
// overload by new requests at four times what the endpoints can do. Their later deadlines find room behind these. Half as
// many of them as of the new requests must be admitted.
func TestContinuedTasksAtRestart(t *testing.T) {
	w := newBookedWorld(t)
	w.overload(3 * time.Second)
	const returning = 80
	admitted, returned := 0, make(map[string]bool)
	// Each client tries three times, half a second apart, between new requests.
	newTasks, newAdmitted := w.n, w.pool.counters.Accepted
	for range 3 {
		for k := range returning {
			name := fmt.Sprint("broken-", k)
			if returned[name] {
				continue
			}
			task := w.task(name)
			task.Deadline, task.LaterDeadline = w.now.Add(7*time.Second), w.now.Add(3500*time.Millisecond)
			v, actions := w.pool.Submit(w.now, task)
			if v.Accepted {
				w.tasks[v.ID], returned[name] = task, true
				admitted++
			}
			w.carryOut(actions)
		}
		w.overload(500 * time.Millisecond)
	}
	newShare := float64(int(w.pool.counters.Accepted-newAdmitted)-admitted) / float64(w.n-newTasks)
	t.Logf("%d of %d streams go on, %.2f of the new ones begin", admitted, returning, newShare)
	if share := float64(admitted) / returning; share < newShare/2 {
		t.Errorf("%.2f of the streams go on, want half of %.2f", share, newShare)
	}
}
