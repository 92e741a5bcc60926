package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gradetiller.example/platform/platformtest"
)

// restoreWindow is how long after a restore the tests check that nothing acknowledged before it is
// reverted. Nodes detect the restore well within it.
const restoreWindow = 2500 * time.Millisecond

// repeatFor calls a function repeatedly for a duration.
func repeatFor(d time.Duration, f func(turn int)) {
	for end, turn := time.Now().Add(d), 0; time.Now().Before(end); turn++ {
		f(turn)
		time.Sleep(50 * time.Millisecond)
	}
}

// writeUnrelatedRows writes rows without meaning to the nodes, to raise the store version.
func writeUnrelatedRows(site *platformtest.Site, writes int) {
	for i := range writes {
		site.Store.PutOperatorRow("note", fmt.Appendf(nil, "%d", i))
	}
}

// TestReusedStoreVersions guards against a node that misses changes because a restored store reuses
// version numbers. The store is restored while the node cannot reach it, and an evacuation and many
// other rows are written before it can: the store's version is then beyond the last one the node
// has read, although the node has not seen all changes up to there.
func TestReusedStoreVersions(t *testing.T) {
	site, _ := newSite(t)
	other := addWorkersInBothZones(site)
	before := site.Store.Snapshot()
	writeUnrelatedRows(site, 10)
	proxy := site.AddStoreProxy()
	n := startNodeOnInstance(t, site, platformtest.Instance{Zone: platformtest.DefaultZone, MemoryMB: 284, Store: proxy.Address})
	n.awaitReady(t)
	awaitStoreRead(t, n, site)
	proxy.Disrupt(platformtest.AllCalls, platformtest.Unavailable)
	time.Sleep(time.Second)
	site.Store.Restore(before)
	site.Store.Evacuate(otherZone)
	writeUnrelatedRows(site, 60)
	proxy.Restore()
	awaitStoreRead(t, n, site)
	checkNoCalls(t, n, other)
}

// TestRestoredStoreRevertsNothing guards against a restore that reverts acknowledged changes. The
// backup predates the removal of an API key, an evacuation, and two endpoints that left, one of
// them draining first. None of these is reverted before it is written again, and new changes come
// into force.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	site, c := newSite(t)
	c.Keys["key-2"] = "clinics"
	c.Version = 2
	site.Publish(c)
	other := addWorkersInBothZones(site)
	left, leaves := site.AddWorkers("desk", 1)[0], site.AddWorkers("desk", 1)[0]
	n := startNode(t, site)
	n.awaitReady(t)
	sendEachKind(n.Front, "before")
	before := site.Store.Snapshot()

	delete(c.Keys, "key-2")
	c.Version = 3
	site.Publish(c)
	site.Store.Evacuate(otherZone)
	left.Unlist()
	leaves.Drain()
	eventually(t, "the removed key is refused", func() bool {
		return do(n.Front, platformtest.Request{ID: "gone", Path: "/read/", Key: "key-2"}).Status == http.StatusUnauthorized
	})
	writeUnrelatedRows(site, 40)
	awaitStoreRead(t, n, site)
	checkNoCalls(t, n, append([]*platformtest.Worker{left, leaves}, other...))
	reachedBefore := countCalls(other) + left.TotalRuns() + leaves.TotalRuns()
	site.Store.Restore(before)
	repeatFor(restoreWindow, func(turn int) {
		if a := do(n.Front, platformtest.Request{ID: fmt.Sprintf("key-%d", turn), Path: "/read/", Key: "key-2"}); a.Status != http.StatusUnauthorized {
			t.Fatalf("request with a removed key got %d", a.Status)
		}
		sendEachKind(n.Front, fmt.Sprintf("during-%d", turn))
	})
	if now := countCalls(other) + left.TotalRuns() + leaves.TotalRuns(); now != reachedBefore {
		t.Errorf("%d requests or calls reached endpoints that had left or are evacuated", now-reachedBefore)
	}

	site.Publish(c)
	site.Store.Evacuate(otherZone)
	leaves.Drain()
	left.RemoveEntry()
	fresh := site.AddWorkers("desk", 1)[0]
	eventually(t, "an endpoint added after the restore is used", func() bool {
		sendEachKind(n.Front, "after")
		return fresh.TotalRuns() > 0
	})
	site.Store.EndEvacuation(otherZone)
	eventually(t, "the end of the evacuation is in force", func() bool {
		sendEachKind(n.Front, "ended")
		return countCalls(other) > reachedBefore
	})
	c.Keys["key-3"] = "clinics"
	c.Version = 4
	site.Publish(c)
	eventually(t, "a version written after the restore is in force", func() bool {
		return do(n.Front, platformtest.Request{ID: "new", Path: "/read/", Key: "key-3"}).Status == http.StatusOK
	})
}

// TestStartAfterRestore guards against a node that starts with an outdated configuration. It starts
// after the store was restored from a backup and before anything was written again: it does not
// become ready with the older configuration while another node has the newer one.
func TestStartAfterRestore(t *testing.T) {
	site, c := newSite(t)
	c.Keys["key-2"] = "clinics"
	c.Version = 2
	site.Publish(c)
	site.AddWorkers("desk", 1)
	before := site.Store.Snapshot()
	delete(c.Keys, "key-2")
	c.Version = 3
	site.Publish(c)
	first := startNode(t, site)
	first.awaitReady(t)
	site.Store.Restore(before)
	late := startNode(t, site, first.Peer)
	refused := 0
	eventually(t, "the node serves", func() bool {
		a := do(late.Front, platformtest.Request{ID: "gone", Path: "/read/", Key: "key-2"})
		if a.Status == http.StatusOK {
			t.Fatal("a removed key is accepted")
		}
		if a.Status == http.StatusUnauthorized {
			refused++
		}
		return refused > 0
	})
}

// TestStoreRestoredTwice guards against reverted changes when the store is restored twice within a
// second, the second time from an older backup.
func TestStoreRestoredTwice(t *testing.T) {
	site, c := newSite(t)
	site.AddWorkers("desk", 1)
	left := site.AddWorkers("desk", 1)[0]
	oldest := site.Store.Snapshot()
	c.Version = 2
	site.Publish(c)
	older := site.Store.Snapshot()
	n := startNode(t, site)
	n.awaitReady(t)
	sendEachKind(n.Front, "before")
	left.Unlist()
	awaitStoreRead(t, n, site)
	ran := left.TotalRuns()
	site.Store.Restore(older)
	time.Sleep(900 * time.Millisecond)
	site.Store.Restore(oldest)
	repeatFor(restoreWindow, func(turn int) { sendEachKind(n.Front, fmt.Sprintf("during-%d", turn)) })
	if left.TotalRuns() != ran {
		t.Errorf("%d requests reached an endpoint that had left", left.TotalRuns()-ran)
	}
	c.Version = 3
	site.Publish(c)
	eventually(t, "a version written after the restore is in force", func() bool { return n.node.view.Load().version() == 3 })
}
