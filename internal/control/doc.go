// Package control is the shell of the control path: it keeps the
// configuration in force, the view of the other nodes and what is known of
// endpoints, hands whole snapshots to the entry processes linked to it, and
// serves operators over HTTP.
//
// All that must last is in the platform's table and object store; a control
// process keeps nothing of its own. While the store is away it goes on with
// what it has and takes newer configurations from its peers.
//
// # Usage
//
//	c := control.New(identity, control.WithTable(t), ...)
//	err := c.Run(ctx, peerListener)
//	http.Serve(operatorListener, c.Handler(token))
package control
