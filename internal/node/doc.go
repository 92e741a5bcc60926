// Package node is a process that carries an instance's whole part of the
// system: it takes clients' requests, keeps the view of the configuration and
// the endpoints, meets the other nodes, and leads stage pools.
//
// Decisions are made in internal/core; this package feeds them events and
// carries their actions out. What the outside looks like is known to package
// platform only.
//
// # Usage
//
//	n, err := node.New(settings, node.WithLog(log))
//	err = n.Run(ctx)
package node
