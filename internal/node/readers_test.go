package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// The incident that these tests tell: on 61 separate processes, changes of the
// configuration were in force on nodes in touch only after more than the 3 s that
// their operators allow. Few nodes read the platform's store there, the others ask
// these. All decisions about that went by the age of the list of endpoints; the
// configuration is read by another call and had no age. Two ways led out of the
// bound, shown by the nodes' lines "reads the store" and "reads the store no more"
// beside the version that each served:
//
//   - The readers' calls for configurations hung or failed while their lists were
//     read: nobody took their place, however long it lasted.
//   - All readers were away from the store: those that stood in for them ceased to
//     as soon as they had read a list, most of them before they had read the
//     configuration, and began anew only when that list had grown old.

// TestReadersWithoutConfigurations has the store not answer the readers' calls for
// configurations, while it serves their lists and all other nodes: a new version
// comes into force on every node all the same.
func TestReadersWithoutConfigurations(t *testing.T) {
	const nodes = 12
	site, c := desk(t)
	site.AddWorkers("desk", 1)
	doors := make(map[string]*platformtest.StoreProxy)
	var all []*running
	for range nodes {
		door := site.AddStoreProxy()
		var seeds []string
		for _, r := range all[:min(len(all), 3)] {
			seeds = append(seeds, r.Peer)
		}
		r := startNodeOn(t, site, platformtest.Instance{Zone: "zone-a", MemoryMB: 284, Store: door.Address}, seeds...)
		doors[r.node.settings.Node] = door
		all = append(all, r)
	}
	t.Cleanup(func() {
		// They stop side by side.
		for _, r := range all {
			r.stop()
		}
	})
	eventually(t, "all nodes know each other", func() bool {
		return !slices.ContainsFunc(all, func(r *running) bool { return r.node.liveNodes.Load() != nodes || !r.node.hasCompleteView() })
	})
	for _, name := range all[0].node.ranking.Load().Readers(0) {
		doors[name].Disrupt(platformtest.ConfigCalls, platformtest.Hang)
	}
	c.Version = 2
	site.Publish(c)
	for _, r := range all {
		eventually(t, r.node.settings.Node+" has the new version", func() bool { return r.node.view.Load().version() == 2 })
	}
}

// TestStandInStays has a node read the store in place of readers that are away: that
// it has read something is no sign that they are back.
func TestStandInStays(t *testing.T) {
	const nodes = 40
	site, _ := desk(t)
	text, _ := site.Settings("127.0.0.1:9")
	s, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	var others []string
	var entries []wire.Entry
	for i := 1; i < nodes; i++ {
		others = append(others, fmt.Sprintf("other-%d", i))
		entries = append(entries, wire.Entry{Node: others[i-1]})
	}
	s.Node = standInAmong(others)
	n := New(s)
	n.setEntries(append(entries, n.entry(false)))
	start := time.Now()
	n.applyStoreEndpoints(nil, 1, start)
	at := start.Add(3 * time.Second)
	if !n.shouldReadStore(at) {
		t.Fatal("the node does not stand in for readers of which it has not heard for 3 s")
	}
	n.applyStoreEndpoints(nil, 2, at)
	if !n.shouldReadStore(at.Add(time.Millisecond)) {
		t.Error("the node ceases to stand in as soon as it has read a list itself")
	}
}

// standInAmong returns a name that makes a node the first to stand in for the readers
// among others.
func standInAmong(others []string) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("self-%d", i)
		r := discovery.Rank(append([]string{name}, others...), nil)
		if usual := r.Readers(0); slices.Index(r.Readers(time.Hour), name) == len(usual) {
			return name
		}
	}
}
