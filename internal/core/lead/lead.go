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

// Bit returns the bit of wire.Entry.Leads that stands for a cell.
func Bit(cell int) uint64 { return 1 << (cell % mostCells) }

// strongShare of the largest capacity makes an instance a strong one.
const strongShare = 0.5

// Split separates the strong instances from the weak ones, in the order given.
// Instances that tell no capacity are all alike.
func Split(entries []wire.Entry) (strong, weak []wire.Entry) {
	most := 0
	for _, e := range entries {
		most = max(most, e.Capacity)
	}
	for _, e := range entries {
		if float64(e.Capacity) >= strongShare*float64(most) {
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
	strong, weak := Split(entries)
	return append(rankAlike(cell, strong), rankAlike(cell, weak)...)
}

// rankAlike orders instances of about one size.
func rankAlike(cell int, entries []wire.Entry) []wire.Entry {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Node
	}
	position := make(map[string]int, len(names))
	for i, name := range hash.Rank(hash.Mix(uint64(cell)+1), names) {
		position[name] = i
	}
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b wire.Entry) int {
		return cmp.Or(-cmp.Compare(a.Leads&Bit(cell), b.Leads&Bit(cell)), cmp.Compare(position[a.Node], position[b.Node]))
	})
	return ranked
}
