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

// TestStartersAskReaders has 120 nodes that know each other, and nothing else, choose
// whom they ask for what they lack: a reader, and no reader by more than three times
// its share of them. Once they know something they ask all kinds of nodes.
func TestStartersAskReaders(t *testing.T) {
	const nodes = 120
	n := newNode(t, platformtest.NewSite(t))
	var entries []wire.Entry
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		entries = append(entries, wire.Entry{Node: name, PeerAddress: name, Capacity: 192})
	}
	n.setEntries(entries)
	readers := n.ranking.Load().Readers(0)
	asked := make(map[string]int)
	for _, e := range entries {
		n.settings.Node, n.viewRequests = e.Node, 0
		address := n.viewSource(&view{})
		if !slices.Contains(readers, address) {
			t.Errorf("%s asks %s, which does not read", e.Node, address)
		}
		asked[address]++
	}
	for address, count := range asked {
		if count > 3*nodes/len(readers) {
			t.Errorf("%s is asked by %d of %d nodes", address, count, nodes)
		}
	}
	clear(asked)
	for _, e := range entries {
		n.settings.Node, n.viewRequests = e.Node, 0
		asked[n.viewSource(&view{fresh: discovery.Freshness{List: time.Now()}})]++
	}
	if len(asked) < nodes/3 {
		t.Errorf("%d nodes are asked by %d", len(asked), nodes)
	}
}
