package control

import "testing"

// TestEveryEndpointIsWatched checks that each endpoint has watchersPerEndpoint
// watchers and that no node has more than twice the mean share.
func TestEveryEndpointIsWatched(t *testing.T) {
	cfg := sizedConfig(t, 1, 600)
	nodes := make([]string, 40)
	for i := range nodes {
		nodes[i] = string(rune('a'+i%26)) + string(rune('a'+i/26))
	}
	watchers := make(map[string]int)
	for _, n := range nodes {
		share := shareOf(cfg, nodes, n)
		if len(share) > 2*watchersPerEndpoint*600/len(nodes) {
			t.Errorf("node %s watches %d endpoints", n, len(share))
		}
		for _, e := range share {
			watchers[e.address]++
		}
	}
	for i := range cfg.Pools()[0].Endpoints() {
		e := cfg.Pools()[0].Endpoints()[i]
		if watchers[e.Address()] != watchersPerEndpoint {
			t.Fatalf("endpoint %s has %d watchers", e.Name(), watchers[e.Address()])
		}
	}
}
