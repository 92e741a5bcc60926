package node

import (
	"context"
	"fmt"
	"testing"

	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// TestLeaderLearnsWhatEnginesHold has two engines hold parts of prompts from an
// earlier time: requests with these parts go to their holders once the node
// that leads has asked.
func TestLeaderLearnsCachedPrompts(t *testing.T) {
	const tries = 200
	site, _ := newSite(t)
	models := site.AddWorkers("model", 2)
	site.AddWorkers("encode", 1)
	site.AddWorkers("rank", 1)
	for k := range tries {
		for i, m := range models {
			m.CachePromptPart(fmt.Sprintf("part-%d-%d", i, k), 400)
		}
	}
	n := startNode(t, site)
	n.awaitReady(t)
	// A row of 24 that go right is no chance; the first ones may come before
	// the engines have answered.
	const wanted = 24
	inRow, last := 0, ""
	for k := 0; k < tries && inRow < wanted; k++ {
		for i, m := range models {
			id := fmt.Sprintf("r-%d-%d", i, k)
			last = id
			do(n.Front, platformtest.Request{ID: id, Path: "/staged/x", Streaming: true, Pieces: []int{1, 1}, Prefix: fmt.Sprintf("part-%d-%d:400,own-%s:5", i, k, id)})
			if m.Runs(id) == 1 {
				inRow++
			} else {
				inRow = 0
			}
		}
	}
	if inRow < wanted {
		t.Errorf("after %s: %d requests in a row at the engines that hold their prompts, want %d", last, inRow, wanted)
	}
}

// TestWorkBeforeTheFirstView has a node claim a cell before it knows any endpoint,
// as when it is sent work just after its start. It ended with a fault then (soak
// seeds 521, 526 and 538); it has to ask the engines once it knows them.
func TestWorkBeforeFirstView(t *testing.T) {
	site, _ := newSite(t)
	model := site.AddWorkers("model", 1)[0]
	text, _ := site.Settings()
	s, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	n := New(s)
	n.leaders.learnCaches()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	eventually(t, "the engine is asked what it holds", func() bool { return model.CacheListCalls() > 0 })
	cancel()
	<-done
}
