// Package lead tells which nodes lead a cell of stage endpoints and which ones
// read the platform's store for the others. All nodes with the same view agree
// on both without messages.
//
// Instances are of unlike size. Leading and reading cost processor time and
// bytes for every node's sake, so the strong instances come first: those of at
// least half of the largest one's processor share.
//
// # Usage
//
//	order := lead.Rank(cell, entries)
//	leader, ok := lead.First(cell, entries)
//	strong, weak := lead.Split(entries)
package lead

import (
	"cmp"
	"slices"

	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/wire"
)

// mostCells bounds the cells that a node can claim.
const mostCells = 64

// CellBit returns the bit of wire.Entry.Leads that stands for a cell.
func CellBit(cell int) uint64 { return 1 << (cell % mostCells) }

// strongShare of the largest capacity makes an instance a strong one.
const strongShare = 0.5

// SplitBySize separates the strong instances from the weak ones, in the order given.
// Instances that tell no capacity are all alike.
func SplitBySize(entries []wire.Entry) (strong, weak []wire.Entry) {
	most := mostCapacity(entries)
	for _, e := range entries {
		if isStrong(e, most) {
			strong = append(strong, e)
		} else {
			weak = append(weak, e)
		}
	}
	return strong, weak
}

// Rank orders nodes by who leads a cell: strong instances first, among equals
// those that claim the cell, then by rendezvous hashing. A node that comes back
// therefore doesn't take its cell from the one that leads it by then, since
// each change leaves two leaders at the same endpoints for a while.
func Rank(cell int, entries []wire.Entry) []wire.Entry {
	strong, weak := SplitBySize(entries)
	return append(rankAlike(cell, strong), rankAlike(cell, weak)...)
}

// Leader returns the first of Rank without ordering the others, and false if there
// is none. Every request with stages asks for it.
func Leader(cell int, entries []wire.Entry) (wire.Entry, bool) {
	most := mostCapacity(entries)
	key, bit := cellKey(cell), CellBit(cell)
	first, found, highest := wire.Entry{}, false, uint64(0)
	for _, e := range entries {
		if !isStrong(e, most) {
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

func mostCapacity(entries []wire.Entry) int {
	most := 0
	for _, e := range entries {
		most = max(most, e.Capacity)
	}
	return most
}

func isStrong(e wire.Entry, most int) bool { return IsLarge(e.Capacity, most) }

// IsLarge reports whether an instance of a capacity is a strong one where the largest
// has most.
func IsLarge(capacity, most int) bool { return float64(capacity) >= strongShare*float64(most) }

// CandidatesHash is one number for the set of nodes that may lead and read: the strong ones
// that stay. Nodes that know the same ones have the same number.
func CandidatesHash(entries []wire.Entry) uint64 {
	strong, _ := SplitBySize(entries)
	set := uint64(0)
	for _, e := range strong {
		if !e.Leaving {
			set ^= hash.Of(e.Node)
		}
	}
	return set
}

// rankAlike orders instances of about one size.
func rankAlike(cell int, entries []wire.Entry) []wire.Entry {
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
