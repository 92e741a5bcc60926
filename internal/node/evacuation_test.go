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

// countCalls returns how many requests, calls of pieces and frees of results reached some workers.
func countCalls(workers []*platformtest.Worker) (sum int) {
	for _, w := range workers {
		sum += w.TotalRuns() + len(w.BatchSizes()) + w.FreeCalls()
	}
	return sum
}

// addWorkersInBothZones adds a worker of each service in both zones and returns those of the other
// zone.
func addWorkersInBothZones(site *platformtest.Site) (other []*platformtest.Worker) {
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		site.AddWorkers(service, 1)
		other = append(other, site.AddWorkersIn(otherZone, service, 1)...)
	}
	return other
}

// sendEachKind sends requests of each kind concurrently and returns how many were served.
func sendEachKind(front, name string) int {
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

// awaitStoreRead waits until a node has read and applied everything that the store holds.
func awaitStoreRead(t *testing.T, n *testNode, site *platformtest.Site) {
	t.Helper()
	eventually(t, "the node has read the store", func() bool {
		v := n.node.view.Load()
		return v.revision.Version() == site.Store.Version() && v.evacuations.Revision().Version() == site.Store.Version()
	})
	// The pools are updated shortly after the view.
	time.Sleep(50 * time.Millisecond)
}

// checkNoCalls sends requests of all kinds and checks that none of them reaches some workers.
func checkNoCalls(t *testing.T, n *testNode, workers []*platformtest.Worker) {
	t.Helper()
	before := countCalls(workers)
	for round := range 4 {
		sendEachKind(n.Front, fmt.Sprintf("unreached-%d", round))
	}
	if now := countCalls(workers); now != before {
		t.Errorf("%d requests or calls reached workers that must get none", now-before)
	}
}

// TestEvacuatedDomainGetsNoCalls guards against calls that reach an evacuated failure domain: once
// the node has read the evacuation, its endpoints get nothing and the others serve everything. When
// the evacuation ends, the endpoints are used again.
func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	site, _ := newSite(t)
	other := addWorkersInBothZones(site)
	n := startNode(t, site)
	n.awaitReady(t)
	sendEachKind(n.Front, "before")
	if countCalls(other) == 0 {
		t.Fatal("the other zone is not used before the evacuation: the test shows nothing")
	}
	site.Store.Evacuate(otherZone)
	awaitStoreRead(t, n, site)
	before := countCalls(other)
	if served := sendEachKind(n.Front, "during"); served != 8 {
		t.Errorf("%d of 8 requests were served by the remaining failure domain", served)
	}
	if now := countCalls(other); now != before {
		t.Errorf("%d requests or calls reached the evacuated endpoints", now-before)
	}
	site.Store.EndEvacuation(otherZone)
	eventually(t, "the endpoints are used again", func() bool {
		sendEachKind(n.Front, "after")
		return !slices.ContainsFunc(other, func(w *platformtest.Worker) bool { return countCalls([]*platformtest.Worker{w}) == 0 }) && countCalls(other) > before
	})
}

// TestEvacuationOfAllEndpoints guards against requests that are held, or sent to evacuated
// endpoints, when all endpoints are evacuated: they are refused as not run.
func TestEvacuationOfAllEndpoints(t *testing.T) {
	site, _ := newSite(t)
	other := addWorkersInBothZones(site)
	n := startNode(t, site)
	n.awaitReady(t)
	for _, zone := range []string{platformtest.DefaultZone, otherZone} {
		site.Store.Evacuate(zone)
	}
	awaitStoreRead(t, n, site)
	before := countCalls(other)
	for _, q := range []platformtest.Request{
		{ID: "read", Path: "/read/"},
		{ID: "book", Path: "/book/", Body: "seat"},
		{ID: "plain", Path: "/plain/", Streaming: true},
		{ID: "staged", Path: "/staged/", Streaming: true, Pieces: []int{2, 2}},
	} {
		if a := do(n.Front, q); a.Status != http.StatusServiceUnavailable || a.RetryAfter == "" {
			t.Errorf("%s: got %d, Retry-After %q; want 503 with Retry-After", q.ID, a.Status, a.RetryAfter)
		}
	}
	if countCalls(other) != before {
		t.Error("evacuated endpoints were reached")
	}
}

// TestEvacuationKnownBeforeReady guards against a node that becomes ready without knowing an
// evacuation. A node starts during an evacuation and cannot reach the store: it learns of the
// evacuation from a peer before it is ready.
func TestEvacuationKnownBeforeReady(t *testing.T) {
	site, _ := newSite(t)
	other := addWorkersInBothZones(site)
	site.Store.Evacuate(otherZone)
	first := startNode(t, site)
	first.awaitReady(t)
	proxy := site.AddStoreProxy()
	proxy.Disrupt(platformtest.AllCalls, platformtest.Unavailable)
	late := startNodeOnInstance(t, site, platformtest.Instance{Zone: platformtest.DefaultZone, MemoryMB: 284, Store: proxy.Address}, first.Peer)
	late.awaitReady(t)
	if served := sendEachKind(late.Front, "late"); served != 8 || countCalls(other) > 0 {
		t.Errorf("%d of 8 requests were served, %d calls reached evacuated endpoints", served, countCalls(other))
	}
	site.Store.EndEvacuation(otherZone)
	eventually(t, "the node learns that the evacuation ended", func() bool { sendEachKind(late.Front, "ended"); return countCalls(other) > 0 })
}

// TestNoWorkBeforeEvacuationsAreKnown guards against a node that uses endpoints before it knows
// which failure domains are evacuated. With a configuration and a list of endpoints alone it uses
// no endpoint, not even for work that other nodes submit.
func TestNoWorkBeforeEvacuationsAreKnown(t *testing.T) {
	site := platformtest.NewSite(t)
	text, _ := site.Settings()
	s, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	n := New(s)
	n.applyConfig([]byte(`{"version":1,"services":[{"name":"desk"},{"name":"model","engine":{"slots":8}}]}`), sourceStore)
	n.applyStoreEndpoints(platform.EndpointUpdate{Full: true, Revision: 5, Endpoints: []catalog.Endpoint{
		{ID: "a", Service: "model", Address: "127.0.0.1:1", Domain: platformtest.DefaultZone, Slots: 8},
		{ID: "b", Service: "model", Address: "127.0.0.1:2", Domain: otherZone, Slots: 8},
	}}, time.Now())
	chosen := func(pools *pools) string {
		c, ok := pools.choose(time.Now(), need{service: "model"})
		if !ok {
			return ""
		}
		return c.endpoint.ID
	}
	n.leaders.get(0)
	if got := chosen(n.pools) + chosen(n.leaders.modelPools); got != "" {
		t.Errorf("endpoint %s is used before evacuations are known", got)
	}
	n.updateEvacuations(sourceStore, func(now time.Time, present discovery.Evacuations) discovery.Evacuations {
		return present.Replace(now, 5, []string{platformtest.DefaultZone})
	})
	// Only a node that leads a cell has pools for the requests of others.
	n.leaders.get(0)
	if own, placed := chosen(n.pools), chosen(n.leaders.modelPools); own != "b" || placed != "b" {
		t.Errorf("endpoints %q and %q are used, want b only", own, placed)
	}
}

// TestInvalidEvacuationRows guards against malformed rows that disturb serving or cancel an
// evacuation: a row without a failure domain is ignored, and a row with an unreadable value still
// evacuates the failure domain that its key names.
func TestInvalidEvacuationRows(t *testing.T) {
	site, _ := newSite(t)
	site.AddWorkers("desk", 1)
	other := append(site.AddWorkersIn("zone-c", "desk", 1), site.AddWorkersIn("zone-d", "desk", 1)...)
	site.Store.PutOperatorRow("evacuate/", []byte("{}"))
	site.Store.PutOperatorRow("evacuate/zone-c", []byte("\xff{"))
	site.Store.PutOperatorRow("evacuate/zone-d", []byte(`{"until":5}`))
	n := startNode(t, site)
	n.awaitReady(t)
	for i := range 12 {
		if a := do(n.Front, platformtest.Request{ID: fmt.Sprintf("beside-%d", i), Path: "/read/"}); a.Status != http.StatusOK {
			t.Errorf("request during evacuations with malformed rows: %d %v", a.Status, a.Err)
		}
	}
	if got := countCalls(other); got > 0 {
		t.Errorf("%d requests reached evacuated endpoints", got)
	}
}
