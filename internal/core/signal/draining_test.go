package signal_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradetiller.example/internal/core/signal"
)

func listedNone(string) bool { return false }

// TestDrainingLastsForTheIncarnation guards against an endpoint that is used again before it
// terminates, and against one that remains excluded after it restarted.
func TestDrainingLastsForTheIncarnation(t *testing.T) {
	r := signal.NewRegistry(1)
	now := time.Unix(1000, 0)
	if c := r.Observe(now, "e.1", signal.Signals{Draining: true}); !c.Draining {
		t.Error("the first announcement changed nothing")
	}
	if c := r.Observe(now, "e.1", signal.Signals{Draining: true}); c.Draining {
		t.Error("the second announcement counts as a change")
	}
	r.Observe(now.Add(time.Second), "e.1", signal.Signals{})
	var blocked *signal.BlockedError
	if err := r.Check(now, "e.1"); !errors.As(err, &blocked) || !errors.Is(err, signal.ErrDraining) {
		t.Errorf("check of a draining endpoint: %v", err)
	}
	if err := r.Check(now, "e.2"); err != nil {
		t.Errorf("check of its next incarnation: %v", err)
	}
	for range 20 {
		now = now.Add(time.Minute)
		r.Draining().Expire(now, func(e string) bool { return e == "e.1" })
	}
	if r.Check(now, "e.1") == nil {
		t.Error("an endpoint that is still listed was dropped")
	}
	r.Draining().Expire(now.Add(4*time.Minute), listedNone)
	if r.Check(now, "e.1") == nil {
		t.Error("a recently listed endpoint was dropped: an older list may restore it")
	}
	r.Draining().Expire(now.Add(6*time.Minute), listedNone)
	if r.Draining().Len() != 0 {
		t.Error("an endpoint that has gone is kept")
	}
}

// TestDrainingIsBounded guards against a set that grows with every endpoint that ever drained.
func TestDrainingIsBounded(t *testing.T) {
	d := signal.NewDraining()
	start := time.Unix(1000, 0)
	const count = 20000
	for i := range count {
		d.Observe(start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i))
	}
	if d.Len() >= count {
		t.Errorf("%d endpoints are kept", d.Len())
	}
	if !d.Has(fmt.Sprint(count - 1)) {
		t.Error("the newest endpoint was dropped")
	}
}

// TestDrainingConverges guards against nodes that hold different sets after exchanging updates, and
// against endpoints that have gone but are exchanged forever.
func TestDrainingConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c"}
		nodes := make(map[string]*signal.Draining)
		for _, n := range names {
			nodes[n] = signal.NewDraining()
		}
		now := time.Unix(1000, 0)
		exchange := func(from, to string) {
			nodes[to].Merge(now, nodes[from].NextUpdates(now, to, 2))
			nodes[to].NeedsUpdate(now, from, nodes[from].Checksum())
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "gap")) * time.Millisecond)
			at := rapid.SampledFrom(names).Draw(rt, "node")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				exchange(at, rapid.SampledFrom(names).Draw(rt, "to"))
			case 1:
				nodes[at] = signal.NewDraining()
			default:
				nodes[at].Observe(now, rapid.SampledFrom([]string{"e", "f", "g"}).Draw(rt, "endpoint"))
			}
		}
		settle := func(rounds int, gap time.Duration) {
			for range rounds {
				now = now.Add(gap)
				for _, from := range names {
					for _, to := range names {
						if from != to {
							exchange(from, to)
						}
					}
					nodes[from].Expire(now, listedNone)
				}
			}
		}
		settle(12, 2500*time.Millisecond)
		for _, n := range names[1:] {
			if nodes[n].Checksum() != nodes["a"].Checksum() {
				rt.Errorf("node %s and node a hold different sets", n)
			}
		}
		settle(200, 2500*time.Millisecond)
		for _, n := range names {
			if nodes[n].Len() != 0 {
				rt.Errorf("node %s still holds %d endpoints that have gone", n, nodes[n].Len())
			}
		}
	})
}
