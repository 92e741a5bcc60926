// Package signal keeps the signals that endpoints send in their answers, by incarnation of the
// endpoint.
//
// An answer may carry several signals besides its content (Signals). A rate limit applies to the
// requests of all nodes together, so nodes exchange it (Limits), and package intake divides it
// among them. Draining also concerns all nodes and lasts until the end of the incarnation
// (Draining). A backoff is between one node and one endpoint and is not exchanged (Backoffs). A slowdown
// changes many times per second and is only kept for metrics (Slowdowns); package place keeps what
// choices need. The Registry holds all of them; its Check must be called before anything is sent to an endpoint.
//
// # Usage
//
//	registry := signal.NewRegistry(seed)
//	if err := registry.Check(now, endpoint); err != nil {
//		// a *BlockedError: choose another endpoint
//	}
//	changes := registry.Observe(now, endpoint, signals)
//
//	// with each heartbeat
//	limits := registry.Limits().NextUpdates(now, peer, n)
//	draining := registry.Draining().NextUpdates(now, peer, n)
//	added := registry.Draining().Merge(now, received)
package signal
