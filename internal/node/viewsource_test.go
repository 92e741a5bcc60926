package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform/platformtest"
)

// TestStartingNodesAskReaders guards against starting nodes that ask peers without the wanted data,
// or all ask the same one. 120 nodes that know only the membership each choose a peer to ask:
// always a reader of the store, and no reader is asked by more than three times its share. Nodes
// that already have a view ask all kinds of nodes.
func TestStartingNodesAskReaders(t *testing.T) {
	const nodes = 120
	n := newNode(t, platformtest.NewSite(t))
	var entries []wire.Entry
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		entries = append(entries, wire.Entry{Node: name, PeerAddress: name, Capacity: 192})
	}
	n.setEntries(entries)
	readers := n.ranking.Load().Readers(0)
	askCounts := make(map[string]int)
	for _, e := range entries {
		n.settings.Node, n.viewRequests = e.Node, 0
		address := n.viewSource(&view{})
		if !slices.Contains(readers, address) {
			t.Errorf("%s asks %s, which is not a reader of the store", e.Node, address)
		}
		askCounts[address]++
	}
	for address, count := range askCounts {
		if count > 3*nodes/len(readers) {
			t.Errorf("reader %s is asked by %d of %d nodes", address, count, nodes)
		}
	}
	clear(askCounts)
	for _, e := range entries {
		n.settings.Node, n.viewRequests = e.Node, 0
		askCounts[n.viewSource(&view{freshness: discovery.Freshness{List: time.Now()}})]++
	}
	if len(askCounts) < nodes/3 {
		t.Errorf("only %d different nodes are asked by %d nodes that have a view", len(askCounts), nodes)
	}
}
