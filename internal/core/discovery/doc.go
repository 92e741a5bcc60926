// Package discovery maintains the list of endpoints that nodes replicate from each other,
// so that only a few of them read it from the platform's store.
//
// Every list has a store revision, and each endpoint carries the revision at which this
// node first saw its latest change. A node that holds all changes up to a revision can ask
// any other node for the later ones. It may receive a change twice, but misses none,
// whichever node it asks.
//
// The package also decides which nodes read the store, and which nodes the others poll, for
// the endpoint list and the configuration alike. A Ranking orders the nodes: the primary
// readers first, then the backup readers that replace them, then all others. Freshness
// records the time as of which the data of a node is known to match the store, and
// accompanies every answer to another node:
//
//   - Primaries and Candidates show whether the designated readers reach the store. Other nodes
//     read only while they do not.
//   - List and Config show whether the node receives updates. If it does not, it polls another
//     node.
//
// Endpoints whose entries lapsed while the store was unavailable keep serving, and remain
// in use until they have had time to register again. Each node infers from the list alone
// whether the store was unavailable, whoever read the list. Lapsed entries that a node
// retains are not replicated to others.
//
// # Usage
//
//	list := discovery.NewList(discovery.WithHeartbeat(beat))
//	list.ApplySnapshot(at, endpoints, revision) // at a reader of the store
//	delta := list.ChangesSince(revision)        // for a node that polls
//	list.ApplyDelta(at, delta)                  // at that node
//
//	ranking := discovery.Rank(large, small)
//	own.RecordList(at)                                // after a read of the store
//	fresh = fresh.Merge(own.Freshness(ranking, node))
//	fresh = fresh.Merge(received)                     // after a peer's answer
//	if ranking.Reads(node, now, fresh) { ... }        // read the store, or
//	discovery.ReaderFor(ranking.Readers(now.Sub(fresh.Primaries)), node, tries)
package discovery
