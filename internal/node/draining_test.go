package node

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/platform/platformtest"
)

// sendUntil sends requests to a node until a condition holds. It fails the test if the condition
// does not hold within a generous number of requests.
func sendUntil(t *testing.T, node string, what string, condition func() bool) {
	t.Helper()
	const rounds = 1500
	for i := range rounds {
		do(node, platformtest.Request{ID: fmt.Sprintf("%s-%d", what, i), Path: "/read/x"})
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not %s after %d requests to the node", what, rounds)
}

// startWithDrainingEndpoint starts a node with two endpoints and waits until the first one has
// announced to it that it is draining.
func startWithDrainingEndpoint(t *testing.T) (*platformtest.Site, *testNode, *platformtest.Worker) {
	site, _ := newSite(t)
	w := site.AddWorkers("desk", 2)[0]
	n := startNode(t, site)
	n.awaitReady(t)
	w.AnnounceDraining(true)
	before := w.TotalRuns()
	sendUntil(t, n.Front, "told", func() bool { return w.TotalRuns() > before })
	return site, n, w
}

// TestRestartedEndpointIsUsedAgain guards against a draining signal that outlives the incarnation
// of its endpoint: an endpoint that restarts under its ID gets requests again.
func TestRestartedEndpointIsUsedAgain(t *testing.T) {
	_, n, w := startWithDrainingEndpoint(t)
	w.AnnounceDraining(false)
	w.Restart()
	before := w.TotalRuns()
	sendUntil(t, n.Front, "used again", func() bool { return w.TotalRuns() > before })
}

// TestRestoredListDoesNotEndDraining guards against a draining endpoint that gets requests again
// after the store was restored from a backup that lists it as ready.
func TestRestoredListDoesNotEndDraining(t *testing.T) {
	site, n, w := startWithDrainingEndpoint(t)
	older := site.Store.Snapshot()
	site.AddWorkers("desk", 1)
	site.Store.Restore(older)
	w.RepublishEntry()
	got := w.TotalRuns()
	for i := range 200 {
		do(n.Front, platformtest.Request{ID: fmt.Sprintf("after-%d", i), Path: "/read/x"})
		time.Sleep(10 * time.Millisecond)
	}
	if w.TotalRuns() != got {
		t.Errorf("%d requests reached the draining endpoint", w.TotalRuns()-got)
	}
}
