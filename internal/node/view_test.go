package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// TestConcurrentViewChanges guards against an endpoint that has left the list but is used until the
// next change. Without one lock around both steps, one change reads the view, another stores a
// newer view and passes it to the pools, and then the first passes on its outdated one. After many
// concurrent changes, the pools must hold the endpoints of the last view.
func TestConcurrentViewChanges(t *testing.T) {
	site, _ := newSite(t)
	text, _ := site.Settings()
	s, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	n := New(s)
	base := view{
		config:      &catalog.Config{Version: 1, Services: map[string]catalog.Service{"desk": {Name: "desk"}}},
		freshness:   discovery.Freshness{List: time.Now()},
		evacuations: discovery.Evacuations{}.Replace(time.Now(), 1, nil),
	}
	base.config.BuildIndex()
	if !base.complete() {
		t.Fatal("the view is not complete: the test shows nothing")
	}
	const changes, each = 200, 50
	for round := range 60 {
		var changing sync.WaitGroup
		last := ""
		for i := range changes {
			next := base
			last = fmt.Sprintf("e-%d-%d", round, i)
			list := make([]catalog.Endpoint, each)
			for k := range list {
				list[k] = catalog.Endpoint{ID: fmt.Sprintf("%s-%d", last, k), Service: "desk", Domain: platformtest.DefaultZone, Slots: 4}
			}
			next.endpoints = catalog.EndpointsOf(list)
			n.view.Store(&next)
			changing.Go(n.updatePools)
		}
		changing.Wait()
		if n.pools.byService["desk"].Find(last+"-0") == place.None {
			t.Fatalf("round %d: the pools lack the endpoints of the last view", round)
		}
	}
}
