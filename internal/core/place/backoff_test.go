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

// TestBackoffKeepsEndpointFromUse guards against calls to an endpoint in backoff, and against a
// backoff that counts as bad health.
func TestBackoffKeepsEndpointFromUse(t *testing.T) {
	for _, policy := range Names() {
		t.Run(policy, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := poolOf(t, policy, 3, 8)
			until := now.Add(3 * time.Second)
			p.SetBackoff(1, until)
			p.SetBackoff(1, now.Add(time.Second)) // a shorter one doesn't end the first
			for at := now; at.Before(until); at = at.Add(50 * time.Millisecond) {
				i, ok := p.Choose(at, Request{Exclude: None})
				if !ok || i == 1 {
					t.Fatalf("%v: chose %d, %t", at.Sub(now), i, ok)
				}
				p.Finish(at, i, Result{OK: true, PendingTokens: p.Start(at, i, Request{}), Latency: time.Millisecond})
			}
			if !p.Accepts(until, 1, Request{Exclude: None}) {
				t.Error("the endpoint is out of use after its backoff")
			}
		})
	}
}

// TestReturnAfterBackoffIsGradual guards against all waiting calls going at once to an endpoint
// whose backoff ends.
func TestReturnAfterBackoffIsGradual(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(t, "least_outstanding", 1, 8)
	// A call under way at the beginning of the backoff ends well.
	early := p.Start(now, 0, Request{})
	p.SetBackoff(0, now.Add(time.Second))
	p.Finish(now.Add(100*time.Millisecond), 0, Result{OK: true, PendingTokens: early, Latency: time.Millisecond})
	if reopens, closed := p.AllBackedOff(now); !closed || !reopens.Equal(now.Add(time.Second)) {
		t.Errorf("closed %t until %v", closed, reopens.Sub(now))
	}
	if at := p.NextAfterBackoff(now, nil); !at.Equal(now.Add(time.Second)) {
		t.Errorf("reopens after %v", at.Sub(now))
	}
	if !p.NextAfterBackoff(now, []int{0}).IsZero() {
		t.Error("an endpoint that was tried counts")
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
			t.Fatalf("%d calls at once, want %d", started, want)
		}
		p.Finish(now, 0, Result{OK: true, Latency: time.Millisecond})
		for range started - 1 {
			p.Finish(now, 0, Result{Neutral: true})
		}
	}
	if !p.NextAfterBackoff(now, nil).IsZero() {
		t.Error("an endpoint in full use is waited for")
	}
	// It fails later, for reasons of its own.
	for range ejectionThreshold {
		p.Start(now, 0, Request{})
		p.Finish(now, 0, Result{})
	}
	if !p.NextAfterBackoff(now, nil).IsZero() {
		t.Error("an endpoint that was set aside long after its backoff is waited for")
	}
}

// TestSetAsideOutlastsBackoff guards against calls that wait for an endpoint whose backoff is over
// but that was set aside for failures.
func TestSetAsideOutlastsBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(t, "least_outstanding", 1, 8)
	p.SetBackoff(0, now.Add(time.Second))
	p.Start(now, 0, Request{})
	p.Finish(now.Add(900*time.Millisecond), 0, Result{})
	if at := p.NextAfterBackoff(now.Add(time.Second), nil).Sub(now); at != 1400*time.Millisecond {
		t.Errorf("reopens after %v, want the end of the time set aside", at)
	}
}
