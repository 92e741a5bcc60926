// Package discovery keeps the list of endpoints that nodes pass on to each
// other, so that a few of them read it from the platform's store for all.
//
// Every list belongs to a revision of the store, and each endpoint carries
// the revision at which its change was first seen here. A node that holds all
// changes up to a revision asks any other for those above it; it may get a
// change twice, but misses none, whichever node it asks.
//
// It also decides which nodes read, and whom the others ask, for the list and the
// configuration alike. A Ranking has the usual readers first, then those that stand
// in for them first, then all others. Freshness tells as of when a node knows what, and
// goes with each answer to another node:
//
//   - Readers and StandIns tell whether those who should read do: others read only
//     when they don't, and until they do again.
//   - List and Config tell whether the node hears of it: it asks another one when it
//     does not.
//
// Endpoints whose entries lapsed while the store was away serve on, and are used until
// they had time to list themselves again. Whether the store was away each node judges by
// the list alone, whoever read it; what it keeps is no part of what it tells others.
//
// # Usage
//
//	list := discovery.NewList(discovery.WithHeartbeat(beat))
//	list.Read(at, endpoints, revision)  // at a reader of the store
//	delta := list.Above(revision)       // for a node that asks
//	list.Apply(at, delta)               // at that node
//
//	ranking := discovery.Rank(strong, weak)
//	own.ReadList(at)                                  // after a read of the store
//	fresh = fresh.Later(own.Freshness(ranking, node))
//	fresh = fresh.Later(told)                         // after a peer's answer
//	if ranking.Reads(node, now, fresh) { ... }        // read the store, or
//	discovery.ReaderFor(ranking.Readers(now.Sub(fresh.Readers)), node, tries)
package discovery
