// Package subset chooses the subset of nodes that a client uses (client
// subsetting).
//
// A client picks a node of its subset at random, so a node in more subsets
// receives more load. A subset consists of all nodes in the client's failure
// domain and a few remote nodes in case that domain fails. Each answering node
// chooses different remote nodes, so that all of them are in about as many
// subsets: when every subset was filled up with the same 13 of 295 nodes, these
// received five times the load of the rest.
//
// # Usage
//
//	addresses := subset.Addresses(entries, self, domain)
package subset

import (
	"cmp"
	"slices"

	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/wire"
)

const (
	// maxAddresses is the maximum size of a subset.
	maxAddresses = 64
	// minAddresses is the minimum size of a subset if there are that many nodes.
	// Beyond it, a subset has one remote node for every localPerRemote nodes of
	// the client's failure domain.
	minAddresses   = 8
	localPerRemote = 16
)

// Addresses returns the sorted addresses of the subset for a client in the given failure
// domain, as chosen by the answering node self. Nodes that are leaving are excluded.
func Addresses(entries []wire.Entry, self, domain string) []string {
	var local, remote []wire.Entry
	for _, e := range entries {
		switch {
		case e.Leaving:
		case e.Domain == domain:
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	local = topRanked(local, self, maxAddresses)
	remoteCount := max(minAddresses-len(local), (len(local)+localPerRemote-1)/localPerRemote)
	chosen := append(local, topRanked(remote, self, min(remoteCount, maxAddresses-len(local)))...)
	addresses := make([]string, len(chosen))
	for i, e := range chosen {
		addresses[i] = e.Address
	}
	slices.Sort(addresses)
	return addresses
}

// topRanked returns up to count entries, those ranked first by rendezvous hashing with self as
// the key. It sorts entries in place if there are more than count.
func topRanked(entries []wire.Entry, self string, count int) []wire.Entry {
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
