package place

import (
	"fmt"
	"testing"
	"time"
)

// promptOf is a prompt of some tokens, of which the first ones are a shared part.
func promptOf(tokens int, part uint64, shared int) Prompt {
	return Prompt{Tokens: tokens, Parts: []Part{{ID: part, Tokens: shared}, {ID: ^part, Tokens: tokens - shared}}}
}

// TestLongPromptsAreSpread places prompts of which every tenth is long: no
// prompt is sent behind a long one while another endpoint has less to read.
func TestLongPromptsAreSpread(t *testing.T) {
	p := newPool(t, LeastWork, 6)
	now := time.Unix(1000, 0)
	for i := range 12 {
		tokens := 500
		if i%4 == 0 {
			tokens = 50_000
		}
		req := Request{Exclude: None, Prefix: uint64(1000 + i), Prompt: promptOf(tokens, uint64(1000+i), 100)}
		at, ok := p.Choose(now, req)
		if !ok {
			t.Fatalf("prompt %d: no endpoint", i)
		}
		for other := range p.Len() {
			if p.endpoints[other].pendingTokens+int(recomputeWeight*100) < p.endpoints[at].pendingTokens && p.endpoints[other].outstanding < 2 {
				t.Errorf("prompt %d waits for %d tokens, endpoint %d has %d", i, p.endpoints[at].pendingTokens, other, p.endpoints[other].pendingTokens)
			}
		}
		p.Start(now, at, req)
	}
}

// TestSharedPartsMeet places prompts that share a part: they meet at one
// endpoint while it is not too busy, and go elsewhere when waiting there costs
// more than reading the part again.
func TestSharedPartsMeet(t *testing.T) {
	p := newPool(t, LeastWork, 8)
	now := time.Unix(1000, 0)
	req := Request{Exclude: None, Prefix: 7, Prompt: promptOf(6000, 7, 5000)}
	first, _ := p.Choose(now, req)
	p.Start(now, first, req)
	if work := p.endpoints[first].pendingTokens; work != 6000 {
		t.Errorf("%d tokens to read for the first prompt, want 6000", work)
	}
	if second, _ := p.Choose(now, req); second != first {
		t.Errorf("the second prompt went to %d, the first is at %d", second, first)
	}
	p.endpoints[first].pendingTokens = 60_000
	if third, _ := p.Choose(now, req); third == first {
		t.Error("a prompt waits for 60000 tokens rather than read 5000 again")
	}
}

// TestInputsAreNear places a prompt with large inputs in each domain.
func TestInputsAreNear(t *testing.T) {
	p := newPool(t, LeastWork, 0)
	var list []Spec
	for i := range 6 {
		list = append(list, Spec{Name: fmt.Sprint("e", i), Slots: 4, Domain: fmt.Sprint("d", i%3)})
	}
	p.Update(list)
	for prefix := range 50 {
		domain := fmt.Sprint("d", prefix%3)
		prompt := promptOf(900, uint64(prefix), 300)
		prompt.InputDomain, prompt.InputBytes = domain, 1_600_000
		req := Request{Exclude: None, Prefix: uint64(prefix), Prompt: prompt}
		if i, _ := p.Choose(time.Unix(1000, 0), req); p.At(i).Spec().Domain != domain {
			t.Errorf("prefix %d: inputs in %s, placed in %s", prefix, domain, p.At(i).Spec().Domain)
		}
	}
}

// TestWorkEndsAtZero checks that calls that end take their work with them.
func TestWorkEndsAtZero(t *testing.T) {
	p := newPool(t, LeastWork, 2)
	now := time.Unix(1000, 0)
	req := Request{Exclude: None, Prefix: 3, Prompt: promptOf(900, 3, 300)}
	work := 0
	at, _ := p.Choose(now, req)
	for range 2 {
		work += p.Start(now, at, req)
	}
	if work != 900+600 || p.endpoints[at].pendingTokens != work {
		t.Errorf("%d tokens counted, %d told, want 1500", p.endpoints[at].pendingTokens, work)
	}
	p.Finish(now, at, Result{OK: true, PendingTokens: work})
	if p.endpoints[at].pendingTokens != 0 {
		t.Errorf("%d tokens are left", p.endpoints[at].pendingTokens)
	}
}

// TestAnotherLeaderFindsThePrompts has a second pool, which knows nothing, take
// over from the first while the endpoints are unevenly busy: prompts go where
// they were before.
func TestAnotherLeaderFindsThePrompts(t *testing.T) {
	now := time.Unix(1000, 0)
	earlier, later := newPool(t, LeastWork, 12), newPool(t, LeastWork, 12)
	for i := range later.Len() {
		later.endpoints[i].pendingTokens = 100 * i
	}
	for prefix := uint64(1); prefix <= 60; prefix++ {
		req := Request{Exclude: None, Prefix: prefix, Prompt: promptOf(6000, prefix, 5000)}
		before, _ := earlier.Choose(now, req)
		after, _ := later.Choose(now, req)
		if before != after {
			t.Errorf("prefix %d: at %d before, at %d after", prefix, before, after)
		}
	}
}
