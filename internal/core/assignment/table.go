// Package assignment decides which entries a client account is told to use.
//
// Every node computes the same assignment from the same entries and accounts,
// without messages: each account ranks the entries by a hash of both names
// (rendezvous hashing) and takes the first ones that still have room. The
// room bounds how far the fullest entry exceeds the mean, and a change of one
// entry moves few accounts.
//
// # Usage
//
//	t := assignment.NewTable(entries, accounts, 3)
//	addresses := t.Entries("barbers", "region-1", "kgn-1")
package assignment

import (
	"cmp"
	"slices"

	"gradetiller.example/internal/core/hash"
)

// Entry is an entry process that may be named in an answer.
type Entry struct {
	Node    string
	Address string
	Domain  string
	Region  string
}

const (
	// topRanked is how many entries are looked at first for an account.
	topRanked = 24
	// evenBelow is the number of accounts for each entry below which chance
	// alone would leave entries idle.
	evenBelow = 4
)

// headroom is how far an entry may exceed the mean number of accounts.
const headroom = 1.15

// Table is the assignment of accounts to entries. It never changes.
type Table struct {
	all     *assignment
	regions map[string]*assignment
}

type assignment struct {
	entries []Entry
	chosen  map[string][]int
	want    int
}

// NewTable assigns every account to at least want entries of every region, or
// to all entries of a smaller region.
func NewTable(entries []Entry, accounts []string, want int) *Table {
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
	accounts = slices.Sorted(slices.Values(accounts))
	byRegion := make(map[string][]Entry)
	for _, e := range entries {
		byRegion[e.Region] = append(byRegion[e.Region], e)
	}
	t := &Table{regions: make(map[string]*assignment)}
	for region, list := range byRegion {
		t.regions[region] = assign(list, accounts, want)
	}
	if len(byRegion) == 1 {
		for _, only := range t.regions {
			t.all = only
		}
		return t
	}
	t.all = assign(entries, accounts, want)
	return t
}

// Entries returns the entries for an account, those in the caller's failure
// domain first. An unknown region is served from all entries, an unknown
// account by its hash alone.
func (t *Table) Entries(account, region, domain string) []Entry {
	a, ok := t.regions[region]
	if !ok {
		a = t.all
	}
	chosen, ok := a.chosen[account]
	if !ok {
		chosen = a.rank(account)[:a.want]
	}
	out := make([]Entry, len(chosen))
	for i, c := range chosen {
		out[i] = a.entries[c]
	}
	slices.SortStableFunc(out, func(x, y Entry) int { return cmp.Compare(near(x, domain), near(y, domain)) })
	return out
}

// strayShare is the part of an account's rate that all nodes together admit
// that are not among its entries, for callers with old answers.
const strayShare = 0.25

// RateShare returns the part of the account's rate that a node may admit. Callers
// follow locate answers, so the entries that an account is told share its rate
// evenly, and every other node of the region holds a small part of strayShare.
// The sum over a region is at most 1+strayShare; accounts whose callers are in
// several regions have their rate in each.
func (t *Table) RateShare(account, region, node string) float64 {
	a, ok := t.regions[region]
	if !ok {
		a = t.all
	}
	chosen := a.chosen[account]
	for _, i := range chosen {
		if a.entries[i].Node == node {
			return 1 / float64(len(chosen))
		}
	}
	if others := len(a.entries) - len(chosen); others > 0 {
		return strayShare / float64(others)
	}
	return 1
}

func near(e Entry, domain string) int {
	if domain != "" && e.Domain == domain {
		return 0
	}
	return 1
}

func assign(entries []Entry, accounts []string, want int) *assignment {
	a := &assignment{entries: entries, chosen: make(map[string][]int, len(accounts))}
	n := len(entries)
	if n == 0 {
		return a
	}
	if len(accounts) > 0 {
		// With few accounts, more entries for each keep every entry in use.
		want = max(want, (want*n+len(accounts)-1)/len(accounts))
	}
	a.want = min(want, n)
	total := a.want * max(len(accounts), 1)
	room := make([]int, n)
	for i := range room {
		room[i] = max(1, int(headroom*float64(total)/float64(n)+0.999))
	}
	hashes := make([]uint64, n)
	for i, e := range entries {
		hashes[i] = hash.Of(e.Node)
	}
	even := len(accounts) < evenBelow*n
	for _, account := range accounts {
		rank := a.rankTop(account, hashes)
		if even {
			// Too few accounts to even out by chance: the emptiest go first.
			rank = a.rank(account)
			slices.SortStableFunc(rank, func(x, y int) int { return cmp.Compare(room[y], room[x]) })
		}
		chosen := a.choose(rank, room)
		if len(chosen) < a.want {
			chosen = a.choose(a.rank(account), room)
		}
		for _, i := range chosen {
			room[i]--
		}
		a.chosen[account] = chosen
	}
	return a
}

// rankTop returns the best-ranked entries only; nearly always some of them
// have room, and a whole ranking costs far more.
func (a *assignment) rankTop(account string, hashes []uint64) []int {
	if len(hashes) <= topRanked {
		return a.rank(account)
	}
	var best [topRanked]uint64
	var index [topRanked]int
	count := 0
	base := hash.Of(account)
	for i, h := range hashes {
		w := hash.Pair(base, h)
		if count == topRanked && w <= best[count-1] {
			continue
		}
		if count < topRanked {
			count++
		}
		k := count - 1
		for ; k > 0 && best[k-1] < w; k-- {
			best[k], index[k] = best[k-1], index[k-1]
		}
		best[k], index[k] = w, i
	}
	return index[:count]
}

// choose takes the best-ranked entries with room, first from failure domains
// that the account does not use yet, then from any, then, in a whole ranking,
// without regard to room.
func (a *assignment) choose(rank, room []int) []int {
	chosen := make([]int, 0, a.want)
	used := make(map[string]bool)
	taken := make(map[int]bool)
	take := func(allowed func(i int) bool) {
		for _, i := range rank {
			if len(chosen) == a.want {
				return
			}
			if !taken[i] && allowed(i) {
				taken[i] = true
				used[a.entries[i].Domain] = true
				chosen = append(chosen, i)
			}
		}
	}
	take(func(i int) bool { return room[i] > 0 && !used[a.entries[i].Domain] })
	take(func(i int) bool { return room[i] > 0 })
	if len(rank) == len(a.entries) {
		take(func(int) bool { return true })
	}
	return chosen
}

func (a *assignment) rank(account string) []int {
	type scored struct {
		weight uint64
		index  int
	}
	list := make([]scored, len(a.entries))
	for i, e := range a.entries {
		list[i] = scored{hash.Pair(hash.Of(account), hash.Of(e.Node)), i}
	}
	slices.SortFunc(list, func(x, y scored) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.index, y.index))
	})
	rank := make([]int, len(list))
	for i, s := range list {
		rank[i] = s.index
	}
	return rank
}
