package signal_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/internal/core/signal"
)

func mustRate(t interface{ Fatal(...any) }, n float64) intake.Rate {
	r, err := intake.NewRate(n)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestLimits checks the rate that one endpoint gets while limits are observed by this node and by
// peers.
func TestLimits(t *testing.T) {
	w := signal.NewLimits()
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	expect := func(now time.Time, want string) {
		t.Helper()
		if got := w.Bound("e").At(now).String(); got != want {
			t.Errorf("after %v: bound is %s, want %s", now.Sub(start), got, want)
		}
	}
	w.Observe(at(0), "e", intake.Rate{})
	expect(at(0), "none")
	w.Observe(at(1), "e", mustRate(t, 2))
	expect(at(1), "2/s")
	w.Merge(at(2), []signal.LimitUpdate{{Endpoint: "e", Rate: mustRate(t, 9), Age: 1500 * time.Millisecond}})
	expect(at(2), "2/s") // observed before the current limit
	w.Merge(at(3), []signal.LimitUpdate{{Endpoint: "e", Rate: mustRate(t, 0), Age: 100 * time.Millisecond}})
	expect(at(3), "0.2/s") // probes, since only an answer can end the limit
	w.Observe(at(4), "e", intake.Rate{})
	expect(at(5), "0.2/s") // before the ramp
	expect(at(6.1), "1/s")
	expect(at(7.1), "4/s") // on the ramp
	expect(at(30), "none")
	w.Observe(at(40), "e", mustRate(t, 5))
	if changes := w.Expire(at(99)); len(changes) != 0 {
		t.Errorf("limit ended early: %+v", changes)
	}
	if changes := w.Expire(at(101)); len(changes) != 1 || changes[0].After.Bounded() {
		t.Errorf("changes %+v, want the end of a limit that no answer repeated", changes)
	}
	expect(at(140), "none")
	w.Expire(at(200))
	if !w.Empty() {
		t.Error("an endpoint whose limit ended long ago is kept")
	}
}

// TestLimitsConverge guards against nodes that hold different limits after exchanging updates.
func TestLimitsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c"}
		nodes := make(map[string]*signal.Limits)
		for _, n := range names {
			nodes[n] = signal.NewLimits()
		}
		now := time.Unix(1000, 0)
		exchange := func(from, to string) {
			updates := nodes[from].NextUpdates(now, to, 2)
			nodes[to].Merge(now, updates)
			nodes[to].NeedsUpdate(now, from, nodes[from].Checksum())
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "gap")) * time.Millisecond)
			at := rapid.SampledFrom(names).Draw(rt, "node")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				exchange(at, rapid.SampledFrom(names).Draw(rt, "to"))
			case 1:
				nodes[at].Observe(now, rapid.SampledFrom([]string{"e", "f", "g"}).Draw(rt, "endpoint"), intake.Rate{})
			default:
				nodes[at].Observe(now, rapid.SampledFrom([]string{"e", "f", "g"}).Draw(rt, "endpoint"), mustRate(rt, float64(rapid.IntRange(0, 3).Draw(rt, "rate"))))
			}
		}
		for range 12 {
			now = now.Add(2500 * time.Millisecond)
			for _, from := range names {
				for _, to := range names {
					if from != to {
						exchange(from, to)
					}
				}
			}
		}
		for _, n := range names[1:] {
			if nodes[n].Checksum() != nodes["a"].Checksum() {
				rt.Errorf("node %s and node a hold different limits", n)
			}
		}
	})
}

// TestPaceToleratesClockJumps guards against exceeding a rate limit when the clock of a node jumps:
// in any 4 s, at most one and a half times the rate and 5 more requests may be sent.
func TestPaceToleratesClockJumps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(0.1, 30).Draw(rt, "rate")
		nodes := rapid.SampledFrom([]int{1, 2, 7, 59}).Draw(rt, "nodes")
		limits := signal.NewLimits()
		start := time.Unix(1000, 0)
		limits.Observe(start, "e", mustRate(rt, limit))
		sends := make([]intake.Sends, nodes)
		var sent []time.Time
		jump := time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "jump")) * time.Millisecond
		jumping := rapid.IntRange(0, nodes-1).Draw(rt, "struck")
		for step := range 1500 {
			now := start.Add(time.Duration(step) * 20 * time.Millisecond)
			for k := range sends {
				clock := now
				if k == jumping && step > 500 && step < 1000 {
					clock = now.Add(jump)
				}
				pace := intake.NewPace(limits.Bound("e"), intake.NodeShare(intake.ByNodes, 0, k, nodes, "e"))
				if pace.Due(clock, &sends[k]) {
					sends[k].Add(clock, pace)
					sent = append(sent, now)
				}
			}
		}
		if got := intaketest.MaxInSpan(sent, start); got > intaketest.Allowed(limit) {
			rt.Fatalf("%d requests in %v at a limit of %v per second", got, intaketest.Span, limit)
		}
	})
}
