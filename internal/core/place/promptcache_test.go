package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCacheStaysWithinItsMemory uses random prompts: what a cache holds never
// exceeds its memory, and a prompt that was just used and fits is held whole.
func TestCacheStaysWithinItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newPromptCache(rapid.IntRange(1, 2000).Draw(t, "memory"))
		for range rapid.IntRange(1, 60).Draw(t, "prompts") {
			var parts []Part
			total := 0
			for position := range rapid.IntRange(0, 4).Draw(t, "parts") {
				id := uint64(100*position + rapid.IntRange(0, 5).Draw(t, "part"))
				parts = append(parts, Part{ID: id, Tokens: 1 + int(id)})
				total += 1 + int(id)
			}
			c.add(parts)
			sum := 0
			for _, id := range c.parts.Keys() {
				tokens, _ := c.parts.Peek(id)
				sum += tokens
			}
			if sum != c.tokens || sum > c.maxTokens {
				t.Fatalf("%d tokens held, counted as %d, memory for %d", sum, c.tokens, c.maxTokens)
			}
			if total <= c.maxTokens && c.prefixTokens(parts) != total {
				t.Fatalf("%d tokens of a prompt of %d are held after it was read", c.prefixTokens(parts), total)
			}
		}
	})
}

// TestPartCountsOnlyBehindThoseBeforeIt checks that a part is not taken as held
// when the one before it is not.
func TestPartCountsOnlyBehindThoseBeforeIt(t *testing.T) {
	c := newPromptCache(1000)
	c.add([]Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}})
	for _, check := range []struct {
		parts []Part
		want  int
	}{
		{[]Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}, {ID: 3, Tokens: 7}}, 150},
		{[]Part{{ID: 4, Tokens: 100}, {ID: 2, Tokens: 50}}, 0},
	} {
		if got := c.prefixTokens(check.parts); got != check.want {
			t.Errorf("%v: %d tokens held, want %d", check.parts, got, check.want)
		}
	}
}

// copyingPool has endpoints in two failure domains that can copy.
func copyingPool(t *testing.T) *Pool {
	p := newPool(t, LeastWork, 0)
	var list []Spec
	for i := range 6 {
		list = append(list, Spec{Name: fmt.Sprint("e", i), Slots: 8, Domain: fmt.Sprint("d", i%2), CacheTokens: 100_000, CanCopy: true})
	}
	p.Update(list)
	return p
}

// TestBusyHolderIsCopiedFrom has the only endpoint that holds a part far behind
// with its work: the prompt goes elsewhere and copies the part, from the holder
// of its own failure domain where there is one.
func TestBusyHolderIsCopiedFrom(t *testing.T) {
	now := time.Unix(1000, 0)
	p := copyingPool(t)
	req := Request{Exclude: None, Prefix: 7, Prompt: promptOf(6000, 7, 5000)}
	p.RecordCached("e0", []Part{{ID: 7, Tokens: 5000}})
	if i, _ := p.Choose(now, req); i != 0 {
		t.Fatalf("chose %d, endpoint 0 holds the part and is idle", i)
	}
	if source := p.CopySource(now, 0, req); source != None {
		t.Errorf("the holder copies from %d", source)
	}
	p.endpoints[0].pendingTokens = 50_000
	at, _ := p.Choose(now, req)
	if at == 0 || p.At(at).Spec().Domain != "d0" || p.CopySource(now, at, req) != 0 {
		t.Errorf("placed at %d, which copies from %d; want another one of d0 that copies from 0", at, p.CopySource(now, at, req))
	}
	if source := p.CopySource(now, 1, req); source != 0 {
		t.Errorf("an endpoint of the other domain copies from %d, want 0", source)
	}
	p.RecordCached("e3", []Part{{ID: 7, Tokens: 5000}})
	if source := p.CopySource(now, 1, req); source != 3 {
		t.Errorf("an endpoint copies from %d, want 3 in its own domain", source)
	}
}

// TestUnreachableEndpointHoldsNothing checks that an endpoint at which nothing
// listens is neither a holder nor a source any more.
func TestUnreachableEndpointHoldsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	p := copyingPool(t)
	req := Request{Exclude: None, Prefix: 7, Prompt: promptOf(6000, 7, 5000)}
	p.RecordCached("e0", []Part{{ID: 7, Tokens: 5000}})
	work := p.Start(now, 0, req)
	p.Finish(now, 0, Result{Unreachable: true, PendingTokens: work})
	if source := p.CopySource(now, 2, req); source != None {
		t.Errorf("copies from %d", source)
	}
}
