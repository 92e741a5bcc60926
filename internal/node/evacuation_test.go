package node

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

const otherZone = "zone-b"

// reached counts all that reached some workers: requests, calls of pieces and results that
// were given up.
func reached(workers []*platformtest.Worker) (sum int) {
	for _, w := range workers {
		sum += w.TotalRuns() + len(w.BatchSizes()) + w.FreeCalls()
	}
	return sum
}

// bothZones adds workers of all services of a desk in both zones and returns those of the
// other zone.
func bothZones(site *platformtest.Site) (other []*platformtest.Worker) {
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		site.AddWorkers(service, 1)
		other = append(other, site.AddWorkersIn(otherZone, service, 1)...)
	}
	return other
}

// sendAll sends requests of each kind side by side and returns how many were served.
func sendAll(front, name string) int {
	var all sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range 2 {
		for _, q := range []platformtest.Request{
			{ID: fmt.Sprintf("%s-read-%d", name, i), Path: "/read/"},
			{ID: fmt.Sprintf("%s-book-%d", name, i), Path: "/book/", Body: "seat"},
			{ID: fmt.Sprintf("%s-plain-%d", name, i), Path: "/plain/", Streaming: true},
			{ID: fmt.Sprintf("%s-staged-%d", name, i), Path: "/staged/", Streaming: true, Pieces: []int{2, 2}},
		} {
			all.Go(func() {
				if a := do(front, q); a.Status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
	}
	all.Wait()
	return served
}

// awaitRead waits until a node has read all that the store holds, and acts by it.
func awaitRead(t *testing.T, n *running, site *platformtest.Site) {
	t.Helper()
	eventually(t, "the node has read the store", func() bool {
		v := n.node.view.Load()
		return v.revision.Version() == site.Store.Version() && v.evacuations.Revision().Version() == site.Store.Version()
	})
	// Pools are made anew a moment after the view.
	time.Sleep(50 * time.Millisecond)
}

// unreached sends requests of all kinds and tells what of them reached some workers.
func unreached(t *testing.T, n *running, workers []*platformtest.Worker) {
	t.Helper()
	before := reached(workers)
	for round := range 4 {
		sendAll(n.Front, fmt.Sprintf("unreached-%d", round))
	}
	if now := reached(workers); now != before {
		t.Errorf("%d requests or calls reached workers that are to get none", now-before)
	}
}

// TestEvacuation has a failure domain evacuated: nothing at all reaches its endpoints once
// the node knows, everything is served by the others, and when that is over the endpoints
// are used again.
func TestEvacuation(t *testing.T) {
	site, _ := desk(t)
	other := bothZones(site)
	n := startNode(t, site)
	n.awaitReady(t)
	sendAll(n.Front, "before")
	if reached(other) == 0 {
		t.Fatal("the other zone is not used in ordinary times")
	}
	site.Store.Evacuate(otherZone)
	awaitRead(t, n, site)
	before := reached(other)
	if served := sendAll(n.Front, "during"); served != 8 {
		t.Errorf("%d of 8 requests were served by the other failure domain", served)
	}
	if now := reached(other); now != before {
		t.Errorf("%d requests or calls reached the evacuated endpoints", now-before)
	}
	site.Store.EndEvacuation(otherZone)
	eventually(t, "the endpoints are used again", func() bool {
		sendAll(n.Front, "after")
		return !slices.ContainsFunc(other, func(w *platformtest.Worker) bool { return reached([]*platformtest.Worker{w}) == 0 }) && reached(other) > before
	})
}

// TestEvacuationOfAllEndpoints has all endpoints of each service evacuated: its requests
// are refused as not run, not held.
func TestEvacuationOfAllEndpoints(t *testing.T) {
	site, _ := desk(t)
	other := bothZones(site)
	n := startNode(t, site)
	n.awaitReady(t)
	for _, zone := range []string{platformtest.DefaultZone, otherZone} {
		site.Store.Evacuate(zone)
	}
	awaitRead(t, n, site)
	before := reached(other)
	for _, q := range []platformtest.Request{
		{ID: "read", Path: "/read/"},
		{ID: "book", Path: "/book/", Body: "seat"},
		{ID: "plain", Path: "/plain/", Streaming: true},
		{ID: "staged", Path: "/staged/", Streaming: true, Pieces: []int{2, 2}},
	} {
		if a := do(n.Front, q); a.Status != http.StatusServiceUnavailable || a.RetryAfter == "" {
			t.Errorf("%s: answered %d, to come back after %q", q.ID, a.Status, a.RetryAfter)
		}
	}
	if reached(other) != before {
		t.Error("evacuated endpoints were reached")
	}
}

// TestEvacuationIsKnownAtTheStart starts a node during an evacuation which can't reach the
// store: it learns of it from another node before it says that it is ready.
func TestEvacuationIsKnownAtTheStart(t *testing.T) {
	site, _ := desk(t)
	other := bothZones(site)
	site.Store.Evacuate(otherZone)
	first := startNode(t, site)
	first.awaitReady(t)
	door := site.AddStoreProxy()
	door.Disrupt(platformtest.AllCalls, platformtest.Unavailable)
	late := startNodeOn(t, site, platformtest.Instance{Zone: platformtest.DefaultZone, MemoryMB: 284, Store: door.Address}, first.Peer)
	late.awaitReady(t)
	if served := sendAll(late.Front, "late"); served != 8 || reached(other) > 0 {
		t.Errorf("%d of 8 requests were served, and %d reached evacuated endpoints", served, reached(other))
	}
	site.Store.EndEvacuation(otherZone)
	eventually(t, "it knows the end too", func() bool { sendAll(late.Front, "ended"); return reached(other) > 0 })
}

// TestNoWorkBeforeEvacuationsAreKnown gives a node a configuration and a list of endpoints,
// but not yet which failure domains are evacuated: it uses no endpoint, also not for work that
// other nodes submit.
func TestNoWorkBeforeEvacuationsAreKnown(t *testing.T) {
	site := platformtest.NewSite(t)
	text, _ := site.Settings()
	s, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	n := New(s)
	n.applyConfig([]byte(`{"version":1,"services":[{"name":"desk"},{"name":"model","engine":{"slots":8}}]}`), sourceStore)
	n.applyStoreEndpoints([]catalog.Endpoint{
		{ID: "a", Service: "model", Address: "127.0.0.1:1", Domain: platformtest.DefaultZone, Slots: 8},
		{ID: "b", Service: "model", Address: "127.0.0.1:2", Domain: otherZone, Slots: 8},
	}, 5, time.Now())
	uses := func(pools *pools) string {
		c, ok := pools.choose(time.Now(), need{service: "model"})
		if !ok {
			return ""
		}
		return c.endpoint.ID
	}
	if got := uses(n.pools) + uses(n.leaders.modelPools); got != "" {
		t.Errorf("endpoint %s is used before evacuations are known", got)
	}
	n.updateEvacuations(sourceStore, func(now time.Time, present discovery.Evacuations) discovery.Evacuations {
		return present.Replace(now, 5, []string{platformtest.DefaultZone})
	})
	if own, placed := uses(n.pools), uses(n.leaders.modelPools); own != "b" || placed != "b" {
		t.Errorf("endpoints %q and %q are used, want b alone", own, placed)
	}
}

// TestRowsOfEvacuations has rows that are not as they should be: one without a failure
// domain changes nothing, one whose value can't be read holds, since its key tells all.
func TestRowsOfEvacuations(t *testing.T) {
	site, _ := desk(t)
	site.AddWorkers("desk", 1)
	other := append(site.AddWorkersIn("zone-c", "desk", 1), site.AddWorkersIn("zone-d", "desk", 1)...)
	site.Store.PutOperatorRow("evacuate/", []byte("{}"))
	site.Store.PutOperatorRow("evacuate/zone-c", []byte("\xff{"))
	site.Store.PutOperatorRow("evacuate/zone-d", []byte(`{"until":5}`))
	n := startNode(t, site)
	n.awaitReady(t)
	for i := range 12 {
		if a := do(n.Front, platformtest.Request{ID: fmt.Sprintf("beside-%d", i), Path: "/read/"}); a.Status != http.StatusOK {
			t.Errorf("a request beside them: %d %v", a.Status, a.Err)
		}
	}
	if got := reached(other); got > 0 {
		t.Errorf("%d requests reached evacuated endpoints", got)
	}
}
