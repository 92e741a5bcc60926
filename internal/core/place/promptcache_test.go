package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCacheStaysWithinCapacity checks with random prompts that a cache never
// exceeds its capacity, and that a prompt that fits is fully cached after it was
// added.
func TestCacheStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newPromptCache(rapid.IntRange(1, 2000).Draw(t, "memory"), make(holderIndex), 0)
		c.allocate()
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
				t.Fatalf("%d tokens cached, counted as %d, capacity %d", sum, c.tokens, c.maxTokens)
			}
			if total <= c.maxTokens && c.prefixTokens(parts) != total {
				t.Fatalf("%d tokens of a prompt of %d are cached after it was added", c.prefixTokens(parts), total)
			}
		}
	})
}

// TestPartNeedsItsPredecessors checks that a cached part does not count as a hit
// if a part before it is not cached.
func TestPartNeedsItsPredecessors(t *testing.T) {
	c := newPromptCache(1000, make(holderIndex), 0)
	c.add([]Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}})
	for _, check := range []struct {
		parts []Part
		want  int
	}{
		{[]Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}, {ID: 3, Tokens: 7}}, 150},
		{[]Part{{ID: 4, Tokens: 100}, {ID: 2, Tokens: 50}}, 0},
	} {
		if got := c.prefixTokens(check.parts); got != check.want {
			t.Errorf("%v: %d tokens cached, want %d", check.parts, got, check.want)
		}
	}
}

// copyingPool returns a pool of endpoints in two failure domains that can copy.
func copyingPool(t *testing.T) *Pool {
	p := newPool(t, LeastWork, 0)
	var list []Spec
	for i := range 6 {
		list = append(list, Spec{Name: fmt.Sprint("e", i), Slots: 8, Domain: fmt.Sprint("d", i%2), CacheTokens: 100_000, CanCopy: true})
	}
	p.Update(list)
	return p
}

// TestCopyFromBusyHolder guards against prompts that queue at the only endpoint
// that has their part cached while it has a long backlog: the prompt goes to
// another endpoint and copies the part, from its own failure domain if possible.
func TestCopyFromBusyHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	p := copyingPool(t)
	req := Request{Exclude: None, Prefix: 7, Prompt: promptOf(6000, 7, 5000)}
	p.RecordCached("e0", []Part{{ID: 7, Tokens: 5000}})
	if i, _ := p.Choose(now, req); i != 0 {
		t.Fatalf("chose %d; endpoint 0 has the part cached and is idle", i)
	}
	if source := p.CopySource(now, 0, req); source != None {
		t.Errorf("the holder would copy from %d, want no copy", source)
	}
	p.endpoints[0].pendingTokens = 50_000
	at, _ := p.Choose(now, req)
	if at == 0 || p.At(at).Spec().Domain != "d0" || p.CopySource(now, at, req) != 0 {
		t.Errorf("placed at %d, which copies from %d; want another endpoint of d0 that copies from 0", at, p.CopySource(now, at, req))
	}
	if source := p.CopySource(now, 1, req); source != 0 {
		t.Errorf("an endpoint of the other failure domain copies from %d, want 0", source)
	}
	p.RecordCached("e3", []Part{{ID: 7, Tokens: 5000}})
	if source := p.CopySource(now, 1, req); source != 3 {
		t.Errorf("an endpoint copies from %d, want 3 in its own failure domain", source)
	}
}

// TestUnreachableEndpointIsNoCopySource guards against copies from an endpoint to which no connection
// can be opened, and against prompts that are prefilled again because an endpoint was silent for a
// second: unless it refused the connection, it still holds what it had cached.
func TestUnreachableEndpointIsNoCopySource(t *testing.T) {
	for _, refused := range []bool{true, false} {
		now := time.Unix(1000, 0)
		p := copyingPool(t)
		req := Request{Exclude: None, Prefix: 7, Prompt: promptOf(6000, 7, 5000)}
		p.RecordCached("e0", []Part{{ID: 7, Tokens: 5000}})
		tokens := p.Start(now, 0, req)
		p.Finish(now, 0, Result{Unreachable: true, Refused: refused, PendingTokens: tokens})
		if source := p.CopySource(now, 2, req); source != None {
			t.Errorf("refused %t: copies from unreachable endpoint %d", refused, source)
		}
		hits := p.findCacheHits(now, req)
		if kept := hits.at(0) > 0; kept == refused {
			t.Errorf("refused %t: its cache is kept: %t", refused, kept)
		}
	}
}

// TestNoCopiesBetweenSoftwareVersions guards against an endpoint that reads parts of a prompt which the
// software of another version has stored.
func TestNoCopiesBetweenSoftwareVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPool(t, LeastWork, 0)
	for i, version := range []string{"v1", "v2", "v2", "v1"} {
		p.Apply([]Spec{{Name: fmt.Sprint("e", i), Slots: 8, Domain: "d", CacheTokens: 100_000, CanCopy: true, SoftwareVersion: version}}, nil)
	}
	req := Request{Exclude: None, Prefix: 7, Prompt: promptOf(6000, 7, 5000)}
	p.RecordCached("e0", []Part{{ID: 7, Tokens: 5000}})
	for i, want := range []int{None, None, None, 0} {
		if source := p.CopySource(now, i, req); source != want {
			t.Errorf("endpoint %d copies from %d, want %d", i, source, want)
		}
	}
}
