package lead

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gradetiller.example/internal/wire"
)

func nodes(capacities ...int) []wire.Entry {
	var list []wire.Entry
	for i, c := range capacities {
		list = append(list, wire.Entry{Node: fmt.Sprintf("node-%d", i), Capacity: c})
	}
	return list
}

// TestStrongInstancesLead ranks ten small instances and two large ones: for
// every cell the large ones come first, also before a small one that claims
// the cell.
func TestStrongInstancesLead(t *testing.T) {
	list := nodes(192, 192, 192, 800, 192, 192, 192, 192, 800, 192, 192, 192)
	for cell := range 40 {
		list[0].Leads |= CellBit(cell)
		rank := Rank(cell, list)
		if len(rank) != len(list) {
			t.Fatalf("%d of %d nodes ranked", len(rank), len(list))
		}
		for i, e := range rank[:2] {
			if e.Capacity != 800 {
				t.Errorf("cell %d: place %d has %d thousandths of a core", cell, i, e.Capacity)
			}
		}
		if rank[2].Node != "node-0" {
			t.Errorf("cell %d: the weak node that claims it comes behind %s", cell, rank[2].Node)
		}
	}
}

// TestClaimStays has each node of one size claim a cell: it comes first.
func TestClaimStays(t *testing.T) {
	for claims := range 7 {
		list := nodes(400, 400, 400, 400, 400, 400, 400)
		list[claims].Leads = CellBit(3)
		if first := Rank(3, list)[0].Node; first != list[claims].Node {
			t.Errorf("%s claims the cell, %s comes first", list[claims].Node, first)
		}
	}
}

// TestCellsAreSpread checks that equal nodes share the cells about evenly, also
// when none tells its capacity.
func TestCellsAreSpread(t *testing.T) {
	led := make(map[string]int)
	list := nodes(0, 0, 0, 0, 0, 0, 0, 0)
	for cell := range 64 {
		led[Rank(cell, list)[0].Node]++
	}
	for _, e := range list {
		if n := led[e.Node]; n == 0 || n > 24 {
			t.Errorf("%s leads %d of 64 cells", e.Node, n)
		}
	}
}

// TestFirstIsFirstOfRank checks First against Rank: nodes of two sizes, some of
// which claim the cell, in all orders.
func TestFirstIsFirstOfRank(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var list []wire.Entry
		for i := range rapid.IntRange(0, 12).Draw(rt, "nodes") {
			list = append(list, wire.Entry{
				Node:     fmt.Sprintf("node-%d", i),
				Capacity: rapid.SampledFrom([]int{0, 192, 400, 800}).Draw(rt, "capacity"),
				Leads:    rapid.SampledFrom([]uint64{0, 1, 2, 3}).Draw(rt, "leads"),
			})
		}
		list = rapid.Permutation(list).Draw(rt, "order")
		for cell := range 3 {
			rank := Rank(cell, list)
			first, ok := Leader(cell, list)
			if ok != (len(rank) > 0) || ok && first != rank[0] {
				rt.Fatalf("cell %d: first is %v, the rank %v", cell, first, rank)
			}
		}
	})
}

// BenchmarkFirst finds the leader among 295 nodes of two sizes, and ranks them all.
func BenchmarkFirst(b *testing.B) {
	list := nodes()
	for i := range 295 {
		capacity := 192
		if i%16 == 0 {
			capacity = 800
		}
		list = append(list, wire.Entry{Node: fmt.Sprintf("front-hall-%d", i), Capacity: capacity})
	}
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			Leader(0, list)
		}
	})
	b.Run("rank", func(b *testing.B) {
		for b.Loop() {
			Rank(0, list)
		}
	})
}
