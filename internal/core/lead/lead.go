// Package lead determines which nodes lead a cell of stage endpoints and which ones
// read the platform's store on behalf of all nodes. Nodes with the same view agree
// on both without messages.
//
// Instances differ in size. Leading and reading cost CPU time and bandwidth on
// behalf of all nodes, so large instances are preferred: those with at least half
// of the largest instance's CPU share.
//
// # Usage
//
//	order := lead.Rank(cell, entries)
//	leader, ok := lead.Leader(cell, entries)
//	large, small := lead.SplitBySize(entries)
package lead

import (
	"cmp"
	"slices"

	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/wire"
)

// maxCells is the number of cells that a node can claim.
const maxCells = 64

// CellBit returns the bit of wire.Entry.Leads for a cell.
func CellBit(cell int) uint64 { return 1 << (cell % maxCells) }

// CellOf returns the cell of a request: prompts with the same prefix go to the same cell, so that one
// leader knows which endpoint has the prefix cached. Requests without a prefix are spread by their ID.
func CellOf(prefix uint64, requestID string, cells int) int {
	key := hash.Mix(prefix)
	if prefix == 0 {
		key = hash.Of(requestID)
	}
	return int(key % uint64(max(cells, 1)))
}

// largeShare is the minimum capacity of a large instance, as a share of the largest
// capacity.
const largeShare = 0.5

// SplitBySize separates large from small instances and preserves their order. If no
// instance reports a capacity, all are large.
func SplitBySize(entries []wire.Entry) (large, small []wire.Entry) {
	largest := maxCapacity(entries)
	for _, e := range entries {
		if isLarge(e, largest) {
			large = append(large, e)
		} else {
			small = append(small, e)
		}
	}
	return large, small
}

// SplitNames is like SplitBySize for those entries that keep returns true for, and returns only the
// names of the nodes.
func SplitNames(entries []wire.Entry, keep func(*wire.Entry) bool) (large, small []string) {
	largest := 0
	for i := range entries {
		if keep(&entries[i]) {
			largest = max(largest, entries[i].Capacity)
		}
	}
	for i := range entries {
		switch e := &entries[i]; {
		case !keep(e):
		case isLarge(*e, largest):
			large = append(large, e.Node)
		default:
			small = append(small, e.Node)
		}
	}
	return large, small
}

// Rank orders nodes by precedence as leader of a cell: large instances first, then
// those that claim the cell, then by rendezvous hashing. A node that returns
// therefore doesn't take its cell back from the current leader, since each change
// leaves two leaders at the same endpoints for a while.
func Rank(cell int, entries []wire.Entry) []wire.Entry {
	large, small := SplitBySize(entries)
	return append(rankSameSize(cell, large), rankSameSize(cell, small)...)
}

// Leader returns the first node of Rank without ordering the others, or false if there
// is none. It is called for every request with stages.
func Leader(cell int, entries []wire.Entry) (wire.Entry, bool) {
	largest := maxCapacity(entries)
	key, bit := cellKey(cell), CellBit(cell)
	first, found, highest := wire.Entry{}, false, uint64(0)
	for _, e := range entries {
		if !isLarge(e, largest) {
			continue
		}
		weight := hash.Pair(key, hash.Of(e.Node))
		claims, claimed := e.Leads&bit, first.Leads&bit
		ahead := claims > claimed || claims == claimed && (weight > highest || weight == highest && e.Node < first.Node)
		if !found || ahead {
			first, found, highest = e, true, weight
		}
	}
	return first, found
}

func cellKey(cell int) uint64 { return hash.Mix(uint64(cell) + 1) }

func maxCapacity(entries []wire.Entry) int {
	largest := 0
	for _, e := range entries {
		largest = max(largest, e.Capacity)
	}
	return largest
}

func isLarge(e wire.Entry, largest int) bool { return IsLarge(e.Capacity, largest) }

// IsLarge reports whether an instance of the given capacity is large if the largest
// capacity is largest.
func IsLarge(capacity, largest int) bool { return float64(capacity) >= largeShare*float64(largest) }

// CandidatesHash returns a hash of the set of nodes that may lead and read: the large
// instances that are not leaving. Nodes that know the same set return the same hash.
func CandidatesHash(entries []wire.Entry) uint64 {
	largest := maxCapacity(entries)
	set := uint64(0)
	for i := range entries {
		if e := &entries[i]; isLarge(*e, largest) && !e.Leaving {
			set ^= hash.Of(e.Node)
		}
	}
	return set
}

// rankSameSize orders instances of the same size class.
func rankSameSize(cell int, entries []wire.Entry) []wire.Entry {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Node
	}
	position := make(map[string]int, len(names))
	for i, name := range hash.Rank(cellKey(cell), names) {
		position[name] = i
	}
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b wire.Entry) int {
		return cmp.Or(-cmp.Compare(a.Leads&CellBit(cell), b.Leads&CellBit(cell)), cmp.Compare(position[a.Node], position[b.Node]))
	})
	return ranked
}
