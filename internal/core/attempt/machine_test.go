package attempt

import "testing"

// TestNotRunNeverAfterAnswer walks all paths of four events and checks that
// "not run" is reached only if no byte was sent or the endpoint said so before
// it answered, and that final states allow no event.
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
				t.Fatalf("rejected event %d changed the state after %v", e, path)
			}
			if err != nil {
				continue
			}
			if m.State().Final() {
				t.Fatalf("final state %s allowed event %d", m.State(), e)
			}
			if next.State() == NotRun && (m.State() == Answering || e == NoResponse && m.State() != Prepared) {
				t.Fatalf("state %s became not run by event %d", m.State(), e)
			}
			walk(next, append(path[:len(path):len(path)], e))
		}
	}
	walk(Machine{}, nil)
}

// TestRetryBudget checks that retries stay within the share of first calls.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(0.1)
	repeats := 0
	for range 1000 {
		b.AddRequest()
		for b.TryAcquire() {
			repeats++
		}
	}
	if repeats < 100 || repeats > 100+minCredit {
		t.Fatalf("%d retries for 1000 first calls at a share of 0.1", repeats)
	}
}
