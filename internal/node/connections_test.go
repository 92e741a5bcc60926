package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gradetiller.example/platform/platformtest"
)

// maxConnections is how many connections a worker of the plain service accepts.
const maxConnections = 50

// TestConnectionLimitAcrossNodes guards against nodes that together keep more idle connections than
// an endpoint accepts, which then resets the excess. This happens when each node keeps up to eight
// idle connections per endpoint regardless of the number of nodes. Sixteen nodes send bursts of
// four repeatable requests to one endpoint, one node after the other: with per-node limits alone
// they keep 64 connections where 50 are accepted. Some connections must still be kept.
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
		t.Errorf("%d connections were open at once, the endpoint accepts %d", open, maxConnections)
	}
	if worker.OpenConnections() == 0 {
		t.Error("no idle connection was kept")
	}
}
