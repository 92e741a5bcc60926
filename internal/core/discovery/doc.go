// Package discovery keeps the list of endpoints that nodes pass on to each
// other, so that a few of them read it from the platform's store for all.
//
// Every list belongs to a revision of the store, and each endpoint carries
// the revision at which its change was first seen here. A node that holds all
// changes up to a revision asks any other for those above it; it may get a
// change twice, but misses none, whichever node it asks.
//
// # Usage
//
//	list.Read(at, endpoints, revision)  // at a reader of the store
//	delta := list.Above(revision)       // for a node that asks
//	list.Apply(at, delta)               // at that node
package discovery
