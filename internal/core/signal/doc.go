// Package signal keeps what endpoints announce about themselves in their answers.
//
// An answer may carry several signals beside its content (Signals). A rate limit bounds the
// requests of all nodes together, so nodes exchange it (Limits); package intake divides it.
//
// # Usage
//
//	limits := signal.NewLimits()
//	change, changed := limits.Observe(now, endpoint, rate)
//	bound := limits.Bound(endpoint)
//
//	// once a heartbeat
//	updates := limits.Updates(now, peer, maxUpdates)
//	changes := limits.Merge(now, received)
package signal
