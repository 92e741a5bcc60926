package node

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/platform/platformtest"
)

// TestEndpointRestartsUnderSameID guards against a restarted worker that is treated as its dead
// incarnation. The only worker of a service crashes, requests fail on it, and it restarts under its
// ID: it is used as soon as it is listed, and the old incarnation is no longer listed.
func TestEndpointRestartsUnderSameID(t *testing.T) {
	site, _ := newSite(t)
	worker := site.AddWorkers("desk", 1)[0]
	worker.Restart()
	n := startNode(t, site)
	n.awaitReady(t)
	endpoints := func() []catalog.Endpoint { return listedEndpoints(n.node) }
	eventually(t, "the worker is listed", func() bool { return len(endpoints()) == 1 })
	oldID := endpoints()[0].ID
	worker.Crash()
	for i := range 8 {
		do(n.Front, platformtest.Request{ID: fmt.Sprintf("dead-%d", i), Path: "/read/"})
	}
	worker.Restart()
	eventually(t, "only the new incarnation is listed", func() bool { return len(endpoints()) == 1 && endpoints()[0].ID != oldID })
	if a := do(n.Front, platformtest.Request{ID: "alive", Path: "/read/"}); a.Status != http.StatusOK {
		t.Errorf("first request to the new incarnation: %d %v", a.Status, a.Err)
	}
}

// TestInvalidEntriesAreSkipped guards against invalid entries of another writer that hide a valid
// one: the worker is the only endpoint listed, and serves.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	site, _ := newSite(t)
	worker := site.AddWorkers("desk", 1)[0]
	for i, text := range []string{"", "{", "[]", `{"service":"desk"}`, `{"service":"desk","addr":"10.0.0.1:80","zone":"a","slots":4,"state":"paused"}`} {
		site.Store.PutEntry(fmt.Sprintf("other-%d", i), []byte(text))
	}
	n := startNode(t, site)
	n.awaitReady(t)
	ids := func() (list []string) {
		for _, e := range listedEndpoints(n.node) {
			list = append(list, e.ID)
		}
		return list
	}
	eventually(t, "the worker is listed", func() bool { return slices.Equal(ids(), []string{worker.ID}) })
	if a := do(n.Front, platformtest.Request{ID: "beside", Path: "/read/"}); a.Status != http.StatusOK {
		t.Errorf("request to the worker: %d %v", a.Status, a.Err)
	}
}
