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

// TestLargeInstancesRankFirst ranks ten small instances and two large ones: for
// every cell the large ones rank first, even if a small one claims the cell.
func TestLargeInstancesRankFirst(t *testing.T) {
	list := nodes(192, 192, 192, 800, 192, 192, 192, 192, 800, 192, 192, 192)
	for cell := range 40 {
		list[0].Leads |= CellBit(cell)
		rank := Rank(cell, list)
		if len(rank) != len(list) {
			t.Fatalf("%d of %d nodes ranked", len(rank), len(list))
		}
		for i, e := range rank[:2] {
			if e.Capacity != 800 {
				t.Errorf("cell %d: rank %d has %d thousandths of a core", cell, i, e.Capacity)
			}
		}
		if rank[2].Node != "node-0" {
			t.Errorf("cell %d: the small node that claims it ranks behind %s", cell, rank[2].Node)
		}
	}
}

// TestClaimingNodeRanksFirst lets each of several equal nodes claim a cell: the
// claiming node ranks first.
func TestClaimingNodeRanksFirst(t *testing.T) {
	for claims := range 7 {
		list := nodes(400, 400, 400, 400, 400, 400, 400)
		list[claims].Leads = CellBit(3)
		if first := Rank(3, list)[0].Node; first != list[claims].Node {
			t.Errorf("%s claims the cell, %s ranks first", list[claims].Node, first)
		}
	}
}

// TestCellsAreSpread checks that equal nodes that report no capacity share the
// cells about evenly.
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

// TestLeaderIsFirstOfRank checks Leader against Rank for nodes of several sizes, some of
// which claim cells, in random order.
func TestLeaderIsFirstOfRank(t *testing.T) {
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

// BenchmarkLeader compares Leader with Rank for 295 nodes of two sizes.
func BenchmarkLeader(b *testing.B) {
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

// TestPromptsOfOnePrefixShareLeader guards against prompts of one prefix that are placed by several
// leaders, none of which knows where the others placed them, so that engines prefill the prefix again.
// Many prefixes, and requests without one, are spread over all cells.
func TestPromptsOfOnePrefixShareLeader(t *testing.T) {
	const cells, requests = 21, 4200
	byPrefix, byID := make([]int, cells), make([]int, cells)
	for k := range requests {
		prefix := uint64(k%1613 + 1)
		if first, second := CellOf(prefix, "a", cells), CellOf(prefix, "b", cells); first != second {
			t.Errorf("prefix %d is led by cells %d and %d", prefix, first, second)
		}
		byPrefix[CellOf(prefix, fmt.Sprint("r", k), cells)]++
		byID[CellOf(0, fmt.Sprint("r", k), cells)]++
	}
	for cell := range cells {
		for _, got := range []int{byPrefix[cell], byID[cell]} {
			if mean := requests / cells; got < mean/2 || got > mean*3/2 {
				t.Errorf("cell %d leads %d requests, want about %d", cell, got, mean)
			}
		}
	}
	if got := CellOf(7, "a", 0); got != 0 {
		t.Errorf("cell %d without cells, want 0", got)
	}
}
