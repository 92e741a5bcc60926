package intake_test

import (
	"math/rand/v2"
	"testing"

	"gradetiller.example/internal/core/intake"
)

// TestConnections guards against nodes that together keep more connections open than an endpoint
// accepts, or none. All nodes open connections to one endpoint in a burst.
func TestConnections(t *testing.T) {
	const maxConns, burst = 50, 8
	draw := rand.New(rand.NewPCG(1, 2))
	for _, nodes := range []int{1, 7, 59, 295} {
		c := intake.NewConnections(maxConns, nodes)
		kept := 0
		for range nodes {
			for open := range burst {
				if c.MayKeep(open+1, draw.Float64()) {
					kept++
				}
			}
		}
		t.Logf("%d nodes keep %d", nodes, kept)
		if kept > maxConns || kept == 0 {
			t.Errorf("%d nodes keep %d connections, want between 1 and %d", nodes, kept, maxConns)
		}
	}
	if !intake.NewConnections(0, 3).MayKeep(1000, 1) {
		t.Error("connections are limited although the endpoint has no maximum")
	}
}
