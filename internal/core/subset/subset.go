// Package subset decides which nodes a client is told to use.
//
// A client takes one of the nodes of its answer by chance, so whoever is in more
// answers gets more of the work. Clients are told all nodes of their own failure
// domain, and a few of the others in case that domain is lost. The others differ
// from one answering node to the next, so that each of them is named about as
// often: when all answers were filled up with the same 13 of 295 nodes, these got
// five times the work of the rest.
//
// # Usage
//
//	addresses := subset.Answer(entries, self, domain)
package subset

import (
	"cmp"
	"slices"

	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/wire"
)

const (
	// mostAddresses bounds an answer.
	mostAddresses = 64
	// fewest is how many nodes an answer names where there are as many, and
	// nearPerFar how many nodes of the client's domain it names for each other
	// one beyond that.
	fewest     = 8
	nearPerFar = 16
)

// Addresses returns the addresses for a client in a failure domain, sorted. self is
// the node that answers. Nodes that leave are named to nobody.
func Addresses(entries []wire.Entry, self, domain string) []string {
	var near, far []wire.Entry
	for _, e := range entries {
		switch {
		case e.Leaving:
		case e.Domain == domain:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	near = first(near, self, mostAddresses)
	others := max(fewest-len(near), (len(near)+nearPerFar-1)/nearPerFar)
	chosen := append(near, first(far, self, min(others, mostAddresses-len(near)))...)
	addresses := make([]string, len(chosen))
	for i, e := range chosen {
		addresses[i] = e.Address
	}
	slices.Sort(addresses)
	return addresses
}

// first returns the first of some entries in an order of the answering node's own.
func first(entries []wire.Entry, self string, count int) []wire.Entry {
	if len(entries) <= count {
		return entries
	}
	key := hash.Of(self)
	weights := make(map[string]uint64, len(entries))
	for _, e := range entries {
		weights[e.Node] = hash.Pair(key, hash.Of(e.Node))
	}
	slices.SortFunc(entries, func(a, b wire.Entry) int {
		return cmp.Or(cmp.Compare(weights[b.Node], weights[a.Node]), cmp.Compare(a.Node, b.Node))
	})
	return entries[:max(count, 0)]
}
