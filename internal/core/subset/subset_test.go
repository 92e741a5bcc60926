package subset

import (
	"fmt"
	"slices"
	"testing"

	"gradetiller.example/internal/wire"
)

// site has some nodes in each failure domain.
func site(perDomain ...int) []wire.Entry {
	var list []wire.Entry
	for d, count := range perDomain {
		for i := range count {
			name := fmt.Sprintf("front-%c-%d", 'a'+d, i)
			list = append(list, wire.Entry{Node: name, Address: "address of " + name, Domain: string(rune('a' + d))})
		}
	}
	return list
}

// TestNoNodeIsNamedFarMoreOften has every node answer clients of its own failure
// domain, as many in each domain, who take any address by chance: no node gets more
// than twice its share, at any size.
func TestNoNodeIsNamedFarMoreOften(t *testing.T) {
	for _, perDomain := range [][]int{{2, 2, 2, 1}, {2, 2, 2}, {20, 21, 20, 19}, {54, 51, 54, 44, 49, 43}, {80, 60, 60, 60, 60, 60}} {
		entries := site(perDomain...)
		work := make(map[string]float64)
		for _, answering := range entries {
			clients := 1 / float64(perDomain[answering.Domain[0]-'a'])
			answer := Addresses(entries, answering.Node, answering.Domain)
			if len(answer) > 64 || len(answer) < min(8, len(entries)) {
				t.Fatalf("%v: an answer with %d addresses", perDomain, len(answer))
			}
			for _, a := range answer {
				work[a] += clients / float64(len(answer))
			}
		}
		share := float64(len(perDomain)) / float64(len(entries))
		for a, w := range work {
			if w > 2*share {
				t.Errorf("%v: %s gets %.1f of its share", perDomain, a, w/share)
			}
		}
	}
}

// TestOwnDomainFirst checks that clients hear of all nodes of their domain that
// stay, and of some others in case it is lost.
func TestOwnDomainFirst(t *testing.T) {
	entries := site(3, 40, 40)
	entries[1].Leaving = true
	for _, c := range []struct {
		domain    string
		near, far int
	}{{"a", 2, 6}, {"b", 40, 3}, {"elsewhere", 0, 8}} {
		answer := Addresses(entries, "front-b-1", c.domain)
		near := 0
		for _, e := range entries {
			if slices.Contains(answer, e.Address) {
				if e.Leaving {
					t.Errorf("%s: %s leaves", c.domain, e.Node)
				}
				if e.Domain == c.domain {
					near++
				}
			}
		}
		if near != c.near || len(answer)-near != c.far {
			t.Errorf("%s: %d near and %d others, want %d and %d", c.domain, near, len(answer)-near, c.near, c.far)
		}
	}
}
