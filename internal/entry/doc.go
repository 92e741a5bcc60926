// Package entry implements the data path of one instance: it executes the
// actions of the engine in internal/core/run with real sockets and timers,
// serves clients over HTTP, and applies the snapshots of a control process.
//
// # Usage
//
//	n := entry.NewNode(entry.Identity{...}, entry.WithLog(log))
//	http.Serve(listener, n.Handler())
package entry
