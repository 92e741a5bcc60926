package signal_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradetiller.example/internal/core/signal"
)

// TestBackoffDuration guards against a backoff that ends early, or long after the requested end.
func TestBackoffDuration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := signal.NewRegistry(rapid.Uint64().Draw(rt, "seed"))
		now := time.Unix(1000, 0)
		requested, latest := time.Time{}, time.Time{}
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "rejects") {
				d := time.Duration(rapid.IntRange(1, 5000).Draw(rt, "backoff")) * time.Millisecond
				r.Observe(now, "e", signal.Signals{Backoff: d})
				if end := now.Add(d); end.After(requested) {
					requested = end
				}
				if end := now.Add(d + min(d/4, time.Second)); end.After(latest) {
					latest = end
				}
			}
			if rapid.Bool().Draw(rt, "expires") {
				r.Backoffs().Expire(now)
			}
			err := r.Check(now, "e")
			if now.Before(requested) && !errors.Is(err, signal.ErrBackoff) {
				rt.Fatalf("%v before the requested end: %v", requested.Sub(now), err)
			}
			if !now.Before(latest) && err != nil {
				rt.Fatalf("%v after the latest end: %v", now.Sub(latest), err)
			}
			if r.Check(now, "f") != nil {
				rt.Fatal("another endpoint is in backoff")
			}
		}
	})
}

// TestBackoffsAreSpread guards against nodes that were rejected at the same time and all come back
// at the same time.
func TestBackoffsAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	first, last := time.Time{}, time.Time{}
	for node := range uint64(59) {
		until := signal.NewBackoffs(node*0x9e3779b97f4a7c15).Observe(now, "e", 4*time.Second)
		if first.IsZero() || until.Before(first) {
			first = until
		}
		if until.After(last) {
			last = until
		}
	}
	if spread := last.Sub(first); spread < 800*time.Millisecond || first.Sub(now) < 4*time.Second || last.Sub(now) > 5*time.Second {
		t.Errorf("nodes come back between %v and %v, want a spread of 0.8 to 1 s from 4 s on", first.Sub(now), last.Sub(now))
	}
}

// TestBackoffsAreBounded guards against a set that grows with every endpoint that ever asked for a
// backoff.
func TestBackoffsAreBounded(t *testing.T) {
	b := signal.NewBackoffs(1)
	now := time.Unix(1000, 0)
	const count = 5000
	for i := range count {
		b.Observe(now, fmt.Sprint(i), time.Minute)
	}
	if kept := len(b.Active(now)); kept >= count {
		t.Errorf("%d backoffs are kept", kept)
	}
	b.Expire(now.Add(2 * time.Minute))
	if kept := len(b.Active(now)); kept != 0 {
		t.Errorf("%d backoffs that have ended are kept", kept)
	}
}
