package signal_test

import (
	"testing"
	"time"

	"gradetiller.example/internal/core/signal"
)

// TestColdTimeExpires guards against announced cold periods that are ignored, or kept for too long.
func TestColdTimeExpires(t *testing.T) {
	r := signal.NewRegistry(1)
	now := time.Unix(1000, 0)
	if !r.Observe(now, "e", signal.Signals{Cold: 2 * time.Second}).Cold {
		t.Error("the first announcement changed nothing")
	}
	now = now.Add(500 * time.Millisecond)
	if r.Observe(now, "e", signal.Signals{Cold: 1500 * time.Millisecond}).Cold {
		t.Error("the same end counts as a change")
	}
	if left := r.ColdUntil("e").Sub(now); left != 1500*time.Millisecond {
		t.Errorf("cold for %v, want 1.5s", left)
	}
	now = now.Add(1500 * time.Millisecond)
	r.Expire(now)
	if !r.ColdUntil("e").IsZero() {
		t.Error("a cold period that has ended is kept")
	}
}
