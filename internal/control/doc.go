// Package control runs the control path of one instance. It holds the
// configuration in force, the membership view and the state of endpoints,
// sends full snapshots to the entry processes connected to it, and serves
// operators over HTTP.
//
// Durable state is in the platform's table and object store; a control process
// persists nothing itself. While the store is unavailable, it continues with
// the state it has and fetches newer configurations from its peers.
//
// # Usage
//
//	c := control.New(identity, control.WithPlatform(table, objects, instances), ...)
//	err := c.Run(ctx, peerListener)
//	http.Serve(operatorListener, c.Handler(token))
package control
