// Package entry is the shell of the data path: it carries out the actions of
// the engine in internal/core/run with real sockets and timers, serves
// callers over HTTP, and follows the snapshots of a control process.
//
// # Usage
//
//	n := entry.NewNode(entry.Options{...})
//	http.Serve(listener, n.Handler())
package entry
