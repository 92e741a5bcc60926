package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gradetiller.example/platform/platformtest"
)

// What is seen: an endpoint takes a number of connections from all callers together and resets
// those beyond it. How it comes about: each node keeps up to eight unused ones to each
// endpoint, whatever the number of nodes. Cause: as with requests, what an endpoint takes from
// all nodes together is held by nobody. Proof: the test below, on sixteen nodes with bursts of
// four one after the other; on the code before all of them keep four, 64 where 50 are taken.

// deskConnections is how many connections a worker of the plain service takes.
const maxConnections = 50

// TestConnectionsOfAllNodes has sixteen nodes send bursts of requests that may be repeated to one
// endpoint, one node after the other. What they keep of their connections is no more than the
// endpoint takes, and some are kept.
func TestConnectionLimitAcrossNodes(t *testing.T) {
	t.Parallel()
	site, _ := newSite(t)
	worker := site.AddWorkers("desk", 1)[0]
	nodes := []*testNode{startNode(t, site)}
	for range 15 {
		nodes = append(nodes, startNode(t, site, nodes[0].Peer))
	}
	for _, n := range nodes {
		n.awaitReady(t)
	}
	eventually(t, "all nodes know each other", func() bool {
		for _, n := range nodes {
			if len(*n.node.entries.Load()) < len(nodes) {
				return false
			}
		}
		return true
	})
	const burst = 4
	for i, n := range nodes {
		var sending sync.WaitGroup
		for k := range burst {
			sending.Go(func() {
				if a := do(n.Front, platformtest.Request{ID: fmt.Sprintf("b-%d-%d", i, k), Path: "/read/x"}); a.Status != http.StatusOK {
					t.Errorf("node %d: %d %v", i, a.Status, a.Err)
				}
			})
		}
		sending.Wait()
	}
	if open := worker.PeakOpenConnections(); open > maxConnections {
		t.Errorf("%d connections were open at once, the endpoint takes %d", open, maxConnections)
	}
	if worker.OpenConnections() == 0 {
		t.Error("no connection was kept")
	}
}
