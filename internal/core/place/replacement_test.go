package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// life is what a test knows of one life of an endpoint.
type life struct {
	name   string
	listed bool
	calls  int
}

// openCall is a call that a test started.
type openCall struct {
	of    *life
	index int
	work  int
}

// TestRandomLives has endpoints begin anew under other names, leave, and come back, at random
// moments of random calls. A new life owes nothing to the one before: no call, no failure, no
// belief in its memory. Calls of lives that are over end where they began, and no call goes to
// an endpoint that is not listed.
func TestRandomLives(t *testing.T) {
	policies := []string{"predicted_finish", "prefix_affinity", LeastWork}
	rapid.Check(t, func(t *rapid.T) {
		pool, err := NewPool(rapid.SampledFrom(policies).Draw(t, "policy"), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Unix(1000, 0)
		lives := make(map[string]*life)
		current := make([]*life, 3)
		begun := 0
		var open []openCall
		parts := []Part{{ID: 7, Tokens: 500}, {ID: 8, Tokens: 20}}
		req := func() Request {
			return Request{Exclude: None, Prefix: 7, Prompt: Prompt{Tokens: 520, Parts: parts}}
		}
		update := func() {
			var specs []Spec
			for _, l := range current {
				if l != nil && l.listed {
					specs = append(specs, Spec{Name: l.name, Slots: 4, CacheTokens: 10000, CanCopy: true})
				}
			}
			pool.Update(specs)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			at := rapid.IntRange(0, len(current)-1).Draw(t, "endpoint")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				begun++
				l := &life{name: fmt.Sprintf("e%d/%d", at, begun), listed: true}
				current[at], lives[l.name] = l, l
				update()
				e := pool.At(pool.Find(l.name))
				if e.Outstanding() != 0 || e.pendingTokens != 0 || e.cache.prefixTokens(parts) != 0 || e.health.state(now) != Healthy {
					t.Fatalf("%s begins with %d calls, %d tokens of work, %d held, %s", l.name, e.Outstanding(), e.pendingTokens, e.cache.prefixTokens(parts), e.Health(now))
				}
			case 1:
				if l := current[at]; l != nil {
					l.listed = !l.listed
					update()
				}
			case 2, 3:
				i, ok := pool.Choose(now, req())
				if !ok {
					continue
				}
				l := lives[pool.At(i).Spec().Name]
				if !l.listed || !slices.Contains(current, l) {
					t.Fatalf("a call goes to %s, which is not listed", l.name)
				}
				l.calls++
				open = append(open, openCall{of: l, index: i, work: pool.Start(now, i, req())})
			case 4:
				if len(open) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(open)-1).Draw(t, "call")
				c := open[k]
				open = slices.Delete(open, k, k+1)
				if name := pool.At(c.index).Spec().Name; name != c.of.name {
					t.Fatalf("a call at %s ends at %s", c.of.name, name)
				}
				ok := rapid.Bool().Draw(t, "well")
				pool.Finish(now, c.index, Result{OK: ok, PendingTokens: c.work, Latency: 100 * time.Millisecond})
				c.of.calls--
			}
			for _, l := range current {
				if l == nil || pool.Find(l.name) == None {
					continue
				}
				if got := pool.At(pool.Find(l.name)).Outstanding(); got != l.calls {
					t.Fatalf("%s has %d calls, want %d", l.name, got, l.calls)
				}
			}
		}
	})
}
