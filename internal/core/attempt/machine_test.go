package attempt

import "testing"

// TestNotRunNeverAfterAnswer goes through every path of four events and
// checks what "not run" promises: no byte left, or the endpoint said so before
// it answered; and that final states take no event.
func TestNotRunNeverAfterAnswer(t *testing.T) {
	const length = 4
	var walk func(m Machine, path []Event)
	walk = func(m Machine, path []Event) {
		if len(path) == length {
			return
		}
		for e := Send; e < numEvents; e++ {
			next := m
			err := next.Apply(e)
			if err != nil && next != m {
				t.Fatalf("refused event %d changed the state after %v", e, path)
			}
			if err != nil {
				continue
			}
			if m.State().Final() {
				t.Fatalf("final state %s took event %d", m.State(), e)
			}
			if next.State() == NotRun && (m.State() == Answering || e == NoResponse && m.State() != Prepared) {
				t.Fatalf("state %s became not run by event %d", m.State(), e)
			}
			walk(next, append(path[:len(path):len(path)], e))
		}
	}
	walk(Machine{}, nil)
}

// TestRetryBudget checks that repeats stay within the share of fresh calls.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(0.1)
	repeats := 0
	for range 1000 {
		b.AddRequest()
		for b.TryAcquire() {
			repeats++
		}
	}
	if repeats < 100 || repeats > 100+budgetFloor {
		t.Fatalf("%d repeats for 1000 fresh calls at a share of 0.1", repeats)
	}
}
