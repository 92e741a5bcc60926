// Package hash holds the one hash by which nodes agree without messages:
// which entry an account uses, which node writes a record, which arm or
// version a request gets. It must be the same on every node and never depend
// on a process's seed.
//
// # Usage
//
//	weight := hash.Pair(hash.Of(account), hash.Of(node))
package hash

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Of returns the hash of a text, with its bits well spread.
func Of(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return Mix(h.Sum64())
}

// Pair returns the weight of two hashes, for rendezvous hashing.
func Pair(a, b uint64) uint64 { return Mix(a ^ b) }

// Mix is the finalizer of MurmurHash3; it spreads the bits of FNV, whose high
// bits follow the last bytes of a text too weakly.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Rank orders names by rendezvous hashing for a key, the first choice first.
// All nodes that know the same names find the same order without messages.
// Each name is hashed once; hashed in each comparison, 295 names took 12 times
// as long (BenchmarkRank), and every node ranks them whenever it hears of one.
func Rank(key uint64, names []string) []string {
	type weighed struct {
		name   string
		weight uint64
	}
	list := make([]weighed, len(names))
	for i, name := range names {
		list[i] = weighed{name: name, weight: Pair(key, Of(name))}
	}
	slices.SortFunc(list, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, len(list))
	for i, w := range list {
		ranked[i] = w.name
	}
	return ranked
}
