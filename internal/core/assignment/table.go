// Package assignment assigns client accounts to the entries that they use.
//
// Every node computes the same assignment from the same entries and accounts,
// without coordination: each account ranks the entries by rendezvous hashing and
// is assigned the first ones that have capacity left (rendezvous hashing with
// bounded loads). The bound limits how far the most loaded entry exceeds the
// mean, and a change of one entry moves few accounts.
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

// Entry is an entry process to which accounts can be assigned.
type Entry struct {
	Node    string
	Address string
	Domain  string
	Region  string
}

const (
	// maxTopRanked is the number of top-ranked entries that are considered for an
	// account before all of them are ranked.
	maxTopRanked = 24
	// balanceBelow is the number of accounts per entry below which hashing alone
	// would leave entries idle, so that the least loaded entries are preferred.
	balanceBelow = 4
)

// maxLoadFactor bounds the number of accounts of an entry relative to the mean.
const maxLoadFactor = 1.15

// Table is an immutable assignment of accounts to entries.
type Table struct {
	all     *entrySet
	regions map[string]*entrySet
}

// entrySet is the assignment of the accounts to the entries of one region, or of
// all regions.
type entrySet struct {
	entries    []Entry
	byAccount  map[string][]int // indexes of entries
	perAccount int
}

// NewTable assigns every account to at least perAccount entries of every region,
// or to all entries of a smaller region.
func NewTable(entries []Entry, accounts []string, perAccount int) *Table {
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
	accounts = slices.Sorted(slices.Values(accounts))
	byRegion := make(map[string][]Entry)
	for _, e := range entries {
		byRegion[e.Region] = append(byRegion[e.Region], e)
	}
	t := &Table{regions: make(map[string]*entrySet)}
	for region, list := range byRegion {
		t.regions[region] = assign(list, accounts, perAccount)
	}
	if len(byRegion) == 1 {
		for _, only := range t.regions {
			t.all = only
		}
		return t
	}
	t.all = assign(entries, accounts, perAccount)
	return t
}

// Entries returns the entries assigned to an account, those in the caller's
// failure domain first. For an unknown region it uses the assignment across all
// regions, for an unknown account the top-ranked entries regardless of load.
func (t *Table) Entries(account, region, domain string) []Entry {
	set, ok := t.regions[region]
	if !ok {
		set = t.all
	}
	chosen, ok := set.byAccount[account]
	if !ok {
		chosen = set.rank(account)[:set.perAccount]
	}
	out := make([]Entry, len(chosen))
	for i, c := range chosen {
		out[i] = set.entries[c]
	}
	slices.SortStableFunc(out, func(x, y Entry) int { return cmp.Compare(domainRank(x, domain), domainRank(y, domain)) })
	return out
}

// unassignedShare is the fraction of an account's rate limit that the nodes that
// are not assigned to it admit together, for callers with a stale assignment.
const unassignedShare = 0.25

// RateShare returns the fraction of the account's rate limit that a node may admit.
// Callers use the entries assigned to their account, so these share the rate evenly,
// and the other nodes of the region share unassignedShare. The sum over a region is
// at most 1+unassignedShare. Accounts with callers in several regions have their
// full rate in each.
func (t *Table) RateShare(account, region, node string) float64 {
	set, ok := t.regions[region]
	if !ok {
		set = t.all
	}
	chosen := set.byAccount[account]
	for _, i := range chosen {
		if set.entries[i].Node == node {
			return 1 / float64(len(chosen))
		}
	}
	if others := len(set.entries) - len(chosen); others > 0 {
		return unassignedShare / float64(others)
	}
	return 1
}

func domainRank(e Entry, domain string) int {
	if domain != "" && e.Domain == domain {
		return 0
	}
	return 1
}

func assign(entries []Entry, accounts []string, perAccount int) *entrySet {
	set := &entrySet{entries: entries, byAccount: make(map[string][]int, len(accounts))}
	n := len(entries)
	if n == 0 {
		return set
	}
	if len(accounts) > 0 {
		// With few accounts, each is assigned more entries, so that every entry is used.
		perAccount = max(perAccount, (perAccount*n+len(accounts)-1)/len(accounts))
	}
	set.perAccount = min(perAccount, n)
	total := set.perAccount * max(len(accounts), 1)
	remaining := make([]int, n)
	for i := range remaining {
		remaining[i] = max(1, int(maxLoadFactor*float64(total)/float64(n)+0.999))
	}
	hashes := make([]uint64, n)
	for i, e := range entries {
		hashes[i] = hash.Of(e.Node)
	}
	even := len(accounts) < balanceBelow*n
	for _, account := range accounts {
		rank := set.rankBest(account, hashes)
		if even {
			// Too few accounts for hashing to balance: prefer the least loaded entries.
			rank = set.rank(account)
			slices.SortStableFunc(rank, func(x, y int) int { return cmp.Compare(remaining[y], remaining[x]) })
		}
		chosen := set.pick(rank, remaining)
		if len(chosen) < set.perAccount {
			chosen = set.pick(set.rank(account), remaining)
		}
		for _, i := range chosen {
			remaining[i]--
		}
		set.byAccount[account] = chosen
	}
	return set
}

// rankBest returns only the maxTopRanked best entries for an account. They nearly
// always have enough capacity left, and ranking all entries costs far more.
func (set *entrySet) rankBest(account string, hashes []uint64) []int {
	if len(hashes) <= maxTopRanked {
		return set.rank(account)
	}
	var best [maxTopRanked]uint64
	var index [maxTopRanked]int
	count := 0
	base := hash.Of(account)
	for i, h := range hashes {
		w := hash.Pair(base, h)
		if count == maxTopRanked && w <= best[count-1] {
			continue
		}
		if count < maxTopRanked {
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

// pick selects the best-ranked entries with capacity left, first from failure
// domains that the account does not use yet, then from any domain. If the ranking
// is complete, it fills up with entries regardless of their capacity.
func (set *entrySet) pick(rank, remaining []int) []int {
	chosen := make([]int, 0, set.perAccount)
	usedDomains := make(map[string]bool)
	picked := make(map[int]bool)
	fill := func(allowed func(i int) bool) {
		for _, i := range rank {
			if len(chosen) == set.perAccount {
				return
			}
			if !picked[i] && allowed(i) {
				picked[i] = true
				usedDomains[set.entries[i].Domain] = true
				chosen = append(chosen, i)
			}
		}
	}
	fill(func(i int) bool { return remaining[i] > 0 && !usedDomains[set.entries[i].Domain] })
	fill(func(i int) bool { return remaining[i] > 0 })
	if len(rank) == len(set.entries) {
		fill(func(int) bool { return true })
	}
	return chosen
}

// rank returns the indexes of all entries in the account's rendezvous order.
func (set *entrySet) rank(account string) []int {
	type scored struct {
		weight uint64
		index  int
	}
	list := make([]scored, len(set.entries))
	for i, e := range set.entries {
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
