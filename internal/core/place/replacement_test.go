package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// incarnation is the expected state of one incarnation of an endpoint.
type incarnation struct {
	name   string
	listed bool
	calls  int
}

// openCall is a call in flight.
type openCall struct {
	at     *incarnation
	index  int
	tokens int
}

// TestRandomReplacements restarts endpoints under new names, removes them and lists them again at
// random times during random calls. It guards against state that leaks from one incarnation of an
// endpoint to the next (calls, failures, cache contents), against calls that end at another
// endpoint than they started at, and against calls to an endpoint that is not listed.
func TestRandomReplacements(t *testing.T) {
	policies := []string{"predicted_finish", "prefix_affinity", LeastWork}
	rapid.Check(t, func(t *rapid.T) {
		pool, err := NewPool(rapid.SampledFrom(policies).Draw(t, "policy"), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Unix(1000, 0)
		byName := make(map[string]*incarnation)
		current := make([]*incarnation, 3)
		started := 0
		var open []openCall
		parts := []Part{{ID: 7, Tokens: 500}, {ID: 8, Tokens: 20}}
		req := func() Request {
			return Request{Exclude: None, Prefix: 7, Prompt: Prompt{Tokens: 520, Parts: parts}}
		}
		update := func() {
			var specs []Spec
			for _, inc := range current {
				if inc != nil && inc.listed {
					specs = append(specs, Spec{Name: inc.name, Slots: 4, CacheTokens: 10000, CanCopy: true})
				}
			}
			pool.Update(specs)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			at := rapid.IntRange(0, len(current)-1).Draw(t, "endpoint")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				started++
				inc := &incarnation{name: fmt.Sprintf("e%d/%d", at, started), listed: true}
				current[at], byName[inc.name] = inc, inc
				update()
				e := pool.At(pool.Find(inc.name))
				if e.Outstanding() != 0 || e.pendingTokens != 0 || e.cache.prefixTokens(parts) != 0 || e.health.state(now) != Healthy {
					t.Fatalf("%s starts with %d calls, %d pending tokens, %d cached tokens, health %s", inc.name, e.Outstanding(), e.pendingTokens, e.cache.prefixTokens(parts), e.Health(now))
				}
			case 1:
				if inc := current[at]; inc != nil {
					inc.listed = !inc.listed
					update()
				}
			case 2, 3:
				i, ok := pool.Choose(now, req())
				if !ok {
					continue
				}
				inc := byName[pool.At(i).Spec().Name]
				if !inc.listed || !slices.Contains(current, inc) {
					t.Fatalf("a call goes to %s, which is not listed", inc.name)
				}
				inc.calls++
				open = append(open, openCall{at: inc, index: i, tokens: pool.Start(now, i, req())})
			case 4:
				if len(open) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(open)-1).Draw(t, "call")
				c := open[k]
				open = slices.Delete(open, k, k+1)
				if name := pool.At(c.index).Spec().Name; name != c.at.name {
					t.Fatalf("a call started at %s ends at %s", c.at.name, name)
				}
				ok := rapid.Bool().Draw(t, "well")
				pool.Finish(now, c.index, Result{OK: ok, PendingTokens: c.tokens, Latency: 100 * time.Millisecond})
				c.at.calls--
			}
			for _, inc := range current {
				if inc == nil || pool.Find(inc.name) == None {
					continue
				}
				if got := pool.At(pool.Find(inc.name)).Outstanding(); got != inc.calls {
					t.Fatalf("%s has %d outstanding calls, want %d", inc.name, got, inc.calls)
				}
			}
		}
	})
}
