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

// What is seen: an endpoint that has left the list is used until the next change. How it comes
// about: a change looks at the view, another one puts a newer view in force and hands it to the
// pools, then the first hands on what it has seen. Cause: the view was looked at before the
// pools were locked. Proof: the test below, in which many changes come at once; without the
// lock around both, the pools end with an older view now and then.

// TestNewestViewIsInForce has many changes of the view at once: in the end the pools hold the
// endpoints of the last one.
func TestNewestViewIsInForce(t *testing.T) {
	site, _ := desk(t)
	text, _ := site.Settings()
	s, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	n := New(s)
	base := view{
		config:      &catalog.Config{Version: 1, Services: map[string]catalog.Service{"desk": {Name: "desk"}}},
		fresh:       discovery.Freshness{List: time.Now()},
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
			next.endpoints = make([]catalog.Endpoint, each)
			for k := range next.endpoints {
				next.endpoints[k] = catalog.Endpoint{ID: fmt.Sprintf("%s-%d", last, k), Service: "desk", Domain: platformtest.DefaultZone, Slots: 4}
			}
			n.view.Store(&next)
			changing.Go(n.updatePools)
		}
		changing.Wait()
		if n.pools.byService["desk"].Find(last+"-0") == place.None {
			t.Fatalf("round %d: the pools do not hold the endpoints of the last view", round)
		}
	}
}
