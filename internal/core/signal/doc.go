// Package signal keeps what endpoints announce about themselves in their answers, by incarnation.
//
// An answer may carry several signals beside its content (Signals). A rate limit bounds the
// requests of all nodes together, so nodes exchange it (Limits); package intake divides it.
// Draining concerns all nodes too and lasts until the end of the incarnation (Draining). A backoff
// is between one node and one endpoint and is not exchanged (Backoffs). The Registry holds all of
// them, and its Check is asked before anything is sent to an endpoint.
//
// # Usage
//
//	registry := signal.NewRegistry(seed)
//	if err := registry.Check(now, endpoint); err != nil {
//		// a *BlockedError: send it elsewhere
//	}
//	changes := registry.Observe(now, endpoint, signals)
//
//	// once a heartbeat
//	limits := registry.Limits().Updates(now, peer, n)
//	draining := registry.Draining().Updates(now, peer, n)
//	added := registry.Draining().Merge(now, received)
package signal
