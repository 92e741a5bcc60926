package node

import (
	"context"
	"fmt"
	"testing"

	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// TestLeaderLearnsCachedPrompts guards against a leader that ignores what is already in the
// engines' prompt caches. Two engines hold prompt parts from before the node started: once the
// leader has asked them, requests with these parts go to the engine that holds them.
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
	// 24 correct placements in a row are not due to chance. The first requests may arrive before
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
		t.Errorf("after %s: %d requests in a row reached the engine that caches their prompt, want %d", last, inRow, wanted)
	}
}

// TestWorkBeforeFirstView guards against a crash when a node claims a cell before it knows any
// endpoint, as when it receives work just after its start. It must ask the engines for their cache
// contents once it knows them.
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
	eventually(t, "the engine is asked for its cache contents", func() bool { return model.CacheListCalls() > 0 })
	cancel()
	<-done
}
