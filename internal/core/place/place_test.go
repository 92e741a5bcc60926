package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"
)

func specs(n, slots int) []Spec {
	list := make([]Spec, n)
	for i := range list {
		list[i] = Spec{Name: fmt.Sprint("e", i), Slots: slots, Cost: 1, CacheTokens: 100_000}
	}
	return list
}

func newPool(t interface{ Fatal(...any) }, policy string, n int) *Pool {
	p, err := NewPool(policy, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.Update(specs(n, 2))
	return p
}

// TestChoiceIsUsable checks for every policy, in random states, that the chosen
// endpoint is usable, and that a choice fails only if no endpoint is usable.
func TestChoiceIsUsable(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				p := newPool(t, name, rapid.IntRange(1, 40).Draw(t, "endpoints"))
				now := time.Unix(1000, 0)
				for range rapid.IntRange(1, 100).Draw(t, "steps") {
					now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
					i := rapid.IntRange(0, p.Len()-1).Draw(t, "endpoint")
					switch rapid.IntRange(0, 4).Draw(t, "step") {
					case 0, 1:
						choose(t, p, now, Request{Exclude: rapid.IntRange(-1, p.Len()-1).Draw(t, "exclude"), Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))})
					case 2:
						if p.At(i).Outstanding() > 0 {
							p.Finish(now, i, Result{OK: rapid.Bool().Draw(t, "ok"), Latency: time.Millisecond})
						}
					case 3:
						p.MarkLeaving(i)
					case 4:
						p.ClearLeaving(i)
					}
				}
			})
		})
	}
}

func choose(t *rapid.T, p *Pool, now time.Time, req Request) {
	i, ok := p.Choose(now, req)
	if !ok {
		for k := range p.Len() {
			if k != req.Exclude && p.At(k).available(now, req.Version) {
				t.Fatalf("no endpoint chosen although endpoint %d is usable", k)
			}
		}
		return
	}
	if i == req.Exclude || !p.At(i).available(now, req.Version) {
		t.Fatalf("chose unusable endpoint %d", i)
	}
	p.Start(now, i, req)
}

// TestPredictedFinishMatchesScan compares the choice in small pools with a full
// scan: no usable endpoint may have a score below that of the chosen one by more
// than the tolerance.
func TestPredictedFinishMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t, "predicted_finish", rapid.IntRange(1, sampleSize).Draw(t, "endpoints"))
		now := time.Unix(1000, 0)
		for i := range p.endpoints {
			e := &p.endpoints[i]
			e.outstanding = rapid.IntRange(0, 2).Draw(t, "outstanding")
			e.latencyAt = now
			e.latency = time.Duration(rapid.IntRange(0, 50).Draw(t, "took")) * time.Millisecond
			e.load = Load{Calls: float64(rapid.IntRange(0, 9).Draw(t, "busy")), ReceivedAt: now.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second)}
			e.spec.Cost = float64(rapid.IntRange(1, 4).Draw(t, "cost"))
		}
		req := Request{Exclude: None, CostWeight: float64(rapid.IntRange(0, 2).Draw(t, "price"))}
		i, ok := p.Choose(now, req)
		if !ok {
			return
		}
		for k := range p.endpoints {
			if p.usable(now, k, req) && finishScore(p, now, k, req) < scoreTolerance*finishScore(p, now, i, req) {
				t.Fatalf("chose %d with score %v, endpoint %d has %v", i, finishScore(p, now, i, req), k, finishScore(p, now, k, req))
			}
		}
	})
}

// TestHealth checks that consecutive failures eject an endpoint, that it is
// readmitted for one call after the ejection time, and that its concurrency limit
// doubles with each success.
func TestHealth(t *testing.T) {
	p := newPool(t, "round_robin", 1)
	p.endpoints[0].spec.Slots = 8
	now := time.Unix(1000, 0)
	for k := range ejectionThreshold {
		p.Start(now, 0, Request{})
		if ejected := p.Finish(now, 0, Result{}); ejected != (k == ejectionThreshold-1) {
			t.Fatalf("failure %d: ejected %v", k, ejected)
		}
	}
	if _, ok := p.Choose(now, Request{Exclude: None}); ok {
		t.Fatal("an ejected endpoint was chosen")
	}
	now = now.Add(baseEjectionTime)
	for _, limit := range []int{1, 2, 4, 8} {
		if got := p.Capacity(now); got != limit {
			t.Fatalf("capacity %d during the slow start, want %d", got, limit)
		}
		p.Start(now, 0, Request{})
		p.Finish(now, 0, Result{OK: true, Latency: time.Millisecond})
	}
}

// TestSlowEndpointLosesTraffic checks that overdue calls divert traffic from a
// hanging endpoint before any of them has ended.
func TestSlowEndpointLosesTraffic(t *testing.T) {
	p := newPool(t, "predicted_finish", 3)
	now := time.Unix(1000, 0)
	for i := range 3 {
		p.Start(now, i, Request{})
		p.Finish(now, i, Result{OK: true, Latency: 10 * time.Millisecond})
	}
	p.Start(now, 1, Request{})
	p.ObserveOverdue(now, 1, 30*time.Millisecond)
	for range 4 {
		i, ok := p.Choose(now, Request{Exclude: None})
		if !ok || i == 1 {
			t.Fatalf("chose %d, %v", i, ok)
		}
		p.Start(now, i, Request{})
	}
}

// TestUpdateReusesIndexes guards against a pool that grows with every replaced
// endpoint, and against calls in flight that lose their endpoint.
func TestUpdateReusesIndexes(t *testing.T) {
	p := newPool(t, "round_robin", 2)
	p.Start(time.Unix(1000, 0), 0, Request{})
	for round := range 50 {
		p.Update([]Spec{{Name: fmt.Sprint("new", round), Slots: 1}})
	}
	if p.Len() > 3 {
		t.Fatalf("%d indexes after 50 replacements", p.Len())
	}
	if name := p.At(0).Spec().Name; name != "e0" {
		t.Fatalf("the endpoint of a call in flight is now %s", name)
	}
}

// BenchmarkChoose measures the time and the allocations of a choice by policy and
// size of the pool.
func BenchmarkChoose(b *testing.B) {
	for _, name := range Names() {
		for _, n := range []int{10, 60, 600} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				p := newPool(b, name, n)
				now := time.Unix(1000, 0)
				b.ReportAllocs()
				for b.Loop() {
					i, ok := p.Choose(now, Request{Exclude: None, Prefix: 7})
					if !ok {
						b.Fatal("no choice")
					}
					p.Start(now, i, Request{})
					p.Finish(now, i, Result{OK: true, Latency: time.Millisecond})
				}
			})
		}
	}
}

// TestUnreachableIsEjectedAtOnce guards against a second call to an endpoint at
// whose address nothing listens. A single failure of another kind does not eject
// an endpoint.
func TestUnreachableIsEjectedAtOnce(t *testing.T) {
	for _, unreachable := range []bool{true, false} {
		p, err := NewPool("prefix_affinity", 1)
		if err != nil {
			t.Fatal(err)
		}
		p.Update([]Spec{{Name: "a", Slots: 4}, {Name: "b", Slots: 4}})
		now := time.Unix(1000, 0)
		req := Request{Prefix: 7, Exclude: None}
		first, _ := p.Choose(now, req)
		p.Start(now, first, req)
		p.Finish(now, first, Result{Unreachable: unreachable})
		second, _ := p.Choose(now, req)
		if (second != first) != unreachable {
			t.Errorf("unreachable %v: chose %d, then %d", unreachable, first, second)
		}
		req.Tried = []int{0, 1}
		if i, ok := p.Choose(now, req); ok {
			t.Errorf("chose endpoint %d, which was already tried", i)
		}
	}
}
