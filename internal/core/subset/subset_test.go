package subset

import (
	"fmt"
	"slices"
	"testing"

	"gradetiller.example/internal/wire"
)

// nodesIn returns the given number of nodes in each failure domain.
func nodesIn(perDomain ...int) []wire.Entry {
	var list []wire.Entry
	for d, count := range perDomain {
		for i := range count {
			name := fmt.Sprintf("front-%c-%d", 'a'+d, i)
			list = append(list, wire.Entry{Node: name, Address: "address of " + name, Domain: string(rune('a' + d))})
		}
	}
	return list
}

// TestLoadIsBalanced guards against nodes that are in far more subsets than others.
// Every node answers clients of its own failure domain, each domain has as many
// clients, and clients pick an address at random: at no size does a node receive
// more than twice the mean load.
func TestLoadIsBalanced(t *testing.T) {
	for _, perDomain := range [][]int{{2, 2, 2, 1}, {2, 2, 2}, {20, 21, 20, 19}, {54, 51, 54, 44, 49, 43}, {80, 60, 60, 60, 60, 60}} {
		entries := nodesIn(perDomain...)
		work := make(map[string]float64)
		for _, answering := range entries {
			clients := 1 / float64(perDomain[answering.Domain[0]-'a'])
			answer := Addresses(entries, answering.Node, answering.Domain)
			if len(answer) > 64 || len(answer) < min(8, len(entries)) {
				t.Fatalf("%v: a subset of %d addresses", perDomain, len(answer))
			}
			for _, a := range answer {
				work[a] += clients / float64(len(answer))
			}
		}
		share := float64(len(perDomain)) / float64(len(entries))
		for a, w := range work {
			if w > 2*share {
				t.Errorf("%v: %s receives %.1f times the mean load", perDomain, a, w/share)
			}
		}
	}
}

// TestLocalDomainIsComplete checks that a subset has all nodes of the client's
// failure domain that are not leaving, and some remote ones in case that domain
// fails.
func TestLocalDomainIsComplete(t *testing.T) {
	entries := nodesIn(3, 40, 40)
	entries[1].Leaving = true
	for _, c := range []struct {
		domain        string
		local, remote int
	}{{"a", 2, 6}, {"b", 40, 3}, {"elsewhere", 0, 8}} {
		answer := Addresses(entries, "front-b-1", c.domain)
		local := 0
		for _, e := range entries {
			if slices.Contains(answer, e.Address) {
				if e.Leaving {
					t.Errorf("%s: subset contains %s, which is leaving", c.domain, e.Node)
				}
				if e.Domain == c.domain {
					local++
				}
			}
		}
		if local != c.local || len(answer)-local != c.remote {
			t.Errorf("%s: %d local and %d remote nodes, want %d and %d", c.domain, local, len(answer)-local, c.local, c.remote)
		}
	}
}
