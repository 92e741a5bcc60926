package place

import (
	"fmt"
	"testing"
	"time"
)

func poolOf(t *testing.T, policy string, count, slots int) *Pool {
	t.Helper()
	p, err := NewPool(policy, 1)
	if err != nil {
		t.Fatal(err)
	}
	specs := make([]Spec, count)
	for i := range specs {
		specs[i] = Spec{Name: fmt.Sprint(i), Slots: slots}
	}
	p.Update(specs)
	return p
}

// TestBackoffExcludesEndpoint guards against calls to an endpoint in backoff, and against a
// backoff that is counted as a failure.
func TestBackoffExcludesEndpoint(t *testing.T) {
	for _, policy := range Names() {
		t.Run(policy, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := poolOf(t, policy, 3, 8)
			until := now.Add(3 * time.Second)
			p.SetBackoff(1, until)
			p.SetBackoff(1, now.Add(time.Second)) // a shorter backoff does not replace the first
			for at := now; at.Before(until); at = at.Add(50 * time.Millisecond) {
				i, ok := p.Choose(at, Request{Exclude: None})
				if !ok || i == 1 {
					t.Fatalf("%v: chose %d, %t", at.Sub(now), i, ok)
				}
				p.Finish(at, i, Result{OK: true, PendingTokens: p.Start(at, i, Request{}), Latency: time.Millisecond})
			}
			if !p.Accepts(until, 1, Request{Exclude: None}) {
				t.Error("the endpoint does not accept calls after its backoff")
			}
		})
	}
}

// TestSlowStartAfterBackoff guards against a burst of all waiting calls to an endpoint whose
// backoff ends.
func TestSlowStartAfterBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(t, "least_outstanding", 1, 8)
	// A call that was in flight when the backoff began succeeds.
	early := p.Start(now, 0, Request{})
	p.SetBackoff(0, now.Add(time.Second))
	p.Finish(now.Add(100*time.Millisecond), 0, Result{OK: true, PendingTokens: early, Latency: time.Millisecond})
	if earliest, all := p.AllBackedOff(now); !all || !earliest.Equal(now.Add(time.Second)) {
		t.Errorf("all endpoints backed off: %t, for %v", all, earliest.Sub(now))
	}
	if at := p.NextAfterBackoff(now, nil); !at.Equal(now.Add(time.Second)) {
		t.Errorf("next call possible after %v, want after 1s", at.Sub(now))
	}
	if !p.NextAfterBackoff(now, []int{0}).IsZero() {
		t.Error("an endpoint that was already tried is not ignored")
	}
	now = now.Add(time.Second)
	for _, want := range []int{1, 2, 4, 8} {
		started := 0
		for {
			i, ok := p.Choose(now, Request{Exclude: None})
			if !ok {
				break
			}
			p.Start(now, i, Request{})
			started++
		}
		if started != want {
			t.Fatalf("%d concurrent calls, want %d", started, want)
		}
		p.Finish(now, 0, Result{OK: true, Latency: time.Millisecond})
		for range started - 1 {
			p.Finish(now, 0, Result{Neutral: true})
		}
	}
	if !p.NextAfterBackoff(now, nil).IsZero() {
		t.Error("an endpoint that has finished its slow start is still reported")
	}
	// Later failures are unrelated to the backoff.
	for range ejectionThreshold {
		p.Start(now, 0, Request{})
		p.Finish(now, 0, Result{})
	}
	if !p.NextAfterBackoff(now, nil).IsZero() {
		t.Error("an endpoint that was ejected long after its backoff is reported")
	}
}

// TestEjectionOutlastsBackoff guards against calls that wait for an endpoint whose backoff is over
// but which is still ejected.
func TestEjectionOutlastsBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(t, "least_outstanding", 1, 8)
	p.SetBackoff(0, now.Add(time.Second))
	p.Start(now, 0, Request{})
	p.Finish(now.Add(900*time.Millisecond), 0, Result{})
	if at := p.NextAfterBackoff(now.Add(time.Second), nil).Sub(now); at != 1400*time.Millisecond {
		t.Errorf("next call possible after %v, want 1.4s, the end of the ejection", at)
	}
}
