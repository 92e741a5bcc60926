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

// The tests of this file guard against configuration changes that take longer than the allowed 3 s
// to reach nodes that are in touch with each other. Few nodes read the platform's store, and the
// others ask these. With 61 separate processes the bound was exceeded in two ways, because all
// decisions about who reads the store went by the age of the list of endpoints, while the
// configuration is read by a separate call:
//
//   - The readers' calls for configurations hung or failed while their lists were read: no other
//     node stood in for them, however long it lasted.
//   - All readers were cut off from the store: the nodes that stood in stopped as soon as they had
//     read a list, mostly before they had read the configuration, and resumed only when that list
//     had grown old.

// TestReadersWithoutConfig guards against changes that no node reads because the readers'
// configuration calls hang. The store serves the readers' lists and all other nodes: a new version
// still comes into force on every node.
func TestReadersWithoutConfig(t *testing.T) {
	const nodes = 12
	site, c := newSite(t)
	site.AddWorkers("desk", 1)
	proxies := make(map[string]*platformtest.StoreProxy)
	var all []*testNode
	for range nodes {
		proxy := site.AddStoreProxy()
		var seeds []string
		for _, r := range all[:min(len(all), 3)] {
			seeds = append(seeds, r.Peer)
		}
		r := startNodeOnInstance(t, site, platformtest.Instance{Zone: "zone-a", MemoryMB: 284, Store: proxy.Address}, seeds...)
		proxies[r.node.settings.Node] = proxy
		all = append(all, r)
	}
	t.Cleanup(func() {
		// Stop them concurrently.
		for _, r := range all {
			r.stop()
		}
	})
	eventually(t, "all nodes know each other", func() bool {
		return !slices.ContainsFunc(all, func(r *testNode) bool { return r.node.liveNodes.Load() != nodes || !r.node.hasCompleteView() })
	})
	for _, name := range all[0].node.ranking.Load().Readers(0) {
		proxies[name].Disrupt(platformtest.ConfigCalls, platformtest.Hang)
	}
	c.Version = 2
	site.Publish(c)
	for _, r := range all {
		eventually(t, r.node.settings.Node+" has the new version", func() bool { return r.node.view.Load().version() == 2 })
	}
}

// TestStandInReaderStays guards against a stand-in reader that stops as soon as it has read the
// store itself, which does not show that the regular readers are back.
func TestStandInReaderStays(t *testing.T) {
	const nodes = 40
	site, _ := newSite(t)
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
	s.Node = firstStandInName(others)
	n := New(s)
	n.setEntries(append(entries, n.entry(false)))
	n.hasJoined.Store(true)
	start := time.Now()
	n.applyStoreEndpoints(platform.EndpointUpdate{Full: true, Revision: 1}, start)
	at := start.Add(3 * time.Second)
	if !n.shouldReadStore(at) {
		t.Fatal("the node does not stand in for readers that did not respond for 3 s")
	}
	n.applyStoreEndpoints(platform.EndpointUpdate{Full: true, Revision: 2}, at)
	if !n.shouldReadStore(at.Add(time.Millisecond)) {
		t.Error("the node stops standing in once it has read a list itself")
	}
}

// firstStandInName returns a name with which a node is the first to stand in for the readers among
// the others.
func firstStandInName(others []string) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("self-%d", i)
		r := discovery.Rank(append([]string{name}, others...), nil)
		if usual := r.Readers(0); slices.Index(r.Readers(time.Hour), name) == len(usual) {
			return name
		}
	}
}
