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
func Rank(key uint64, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Pair(key, Of(b)), Pair(key, Of(a))), cmp.Compare(a, b))
	})
	return ranked
}
