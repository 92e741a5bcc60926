package assignment

import (
	"fmt"
	"slices"
	"testing"
)

func entries(n int) []Entry {
	list := make([]Entry, n)
	for i := range list {
		list[i] = Entry{Node: fmt.Sprintf("instance-%03d", i), Address: fmt.Sprint("a", i), Domain: fmt.Sprint("d", i%6), Region: fmt.Sprint("r", i%2)}
	}
	return list
}

func accounts(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("account-", i)
	}
	return list
}

func spread(t *Table, names []string, region string) (counts map[string]int, sum int) {
	counts = make(map[string]int)
	for _, a := range names {
		for _, e := range t.Entries(a, region, "") {
			counts[e.Node]++
			sum++
		}
	}
	return counts, sum
}

func inRegion(list []Entry, region string) int {
	n := 0
	for _, e := range list {
		if e.Region == region {
			n++
		}
	}
	return n
}

// TestEvenSpread guards against overloaded and unused entries: at several sizes,
// the most loaded entry has at most 1.25 times the mean number of accounts, and
// every entry is used.
func TestEvenSpread(t *testing.T) {
	for _, size := range []struct{ entries, accounts int }{{7, 5}, {6, 5}, {40, 400}, {380, 3900}} {
		table := NewTable(entries(size.entries), accounts(size.accounts), 3)
		for _, region := range []string{"", "r0", "r1"} {
			counts, sum := spread(table, accounts(size.accounts), region)
			used := size.entries
			if region != "" {
				used = inRegion(entries(size.entries), region)
			}
			highest := 0
			for _, n := range counts {
				highest = max(highest, n)
			}
			mean := float64(sum) / float64(used)
			if len(counts) != used || float64(highest) > 1.25*mean+1 {
				t.Errorf("%d entries, %d accounts, region %q: most accounts %d, mean %.1f, entries used %d", size.entries, size.accounts, region, highest, mean, len(counts))
			}
			if size.entries == 380 && float64(highest) > 1.25*mean {
				t.Errorf("380 entries, region %q: most accounts %d, mean %.1f", region, highest, mean)
			}
			t.Logf("%d entries, %d accounts, region %q: most loaded entry at %.2f of the mean", size.entries, size.accounts, region, float64(highest)/mean)
		}
	}
}

// TestFewAssignmentsMove guards against a reassignment of many accounts when one
// entry is removed: no more assignments move than twice the number that the
// removed entry had.
func TestFewAssignmentsMove(t *testing.T) {
	names := accounts(3900)
	all := entries(380)
	before := NewTable(all, names, 3)
	after := NewTable(slices.Delete(slices.Clone(all), 100, 101), names, 3)
	removed, moved := 0, 0
	for _, a := range names {
		kept := make(map[string]bool)
		for _, e := range after.Entries(a, "", "") {
			kept[e.Node] = true
		}
		for _, e := range before.Entries(a, "", "") {
			switch {
			case e.Node == all[100].Node:
				removed++
			case !kept[e.Node]:
				moved++
			}
		}
	}
	t.Logf("%d assignments to the removed entry, %d others moved", removed, moved)
	if moved > 2*removed {
		t.Errorf("%d assignments moved although the removed entry had only %d", moved, removed)
	}
}

// TestEntries checks that an account's entries are in different failure domains,
// that those in the caller's domain come first, and that unknown accounts and
// regions get entries too.
func TestEntries(t *testing.T) {
	table := NewTable(entries(12), accounts(20), 3)
	for _, a := range append(accounts(20), "unknown") {
		got := table.Entries(a, "nowhere", "")
		domains := make(map[string]bool)
		for _, e := range got {
			domains[e.Domain] = true
		}
		if len(got) < 3 || a != "unknown" && len(domains) < 3 {
			t.Errorf("%s: %v", a, got)
		}
		near := table.Entries(a, "", got[2].Domain)
		if near[0].Domain != got[2].Domain {
			t.Errorf("%s: %v does not begin with an entry in the caller's failure domain", a, near)
		}
	}
	if got := NewTable(nil, accounts(2), 3).Entries("account-0", "", ""); len(got) != 0 {
		t.Errorf("a table without entries returned %v", got)
	}
}

// BenchmarkNewTable measures the cost of a membership change.
func BenchmarkNewTable(b *testing.B) {
	for _, size := range []struct{ entries, accounts int }{{7, 5}, {40, 400}, {380, 3900}} {
		b.Run(fmt.Sprintf("%dx%d", size.entries, size.accounts), func(b *testing.B) {
			e, a := entries(size.entries), accounts(size.accounts)
			for b.Loop() {
				NewTable(e, a, 3)
			}
		})
	}
}
