// Package node implements the server process of an instance. It serves client requests,
// maintains the view of the configuration and the endpoints, gossips with the other nodes and
// leads stage pools.
//
// The decisions are made in internal/core: this package passes events to it and executes the
// actions that it returns. The protocols and formats of the surrounding platform are known
// only to package platform.
//
// # Usage
//
//	n, err := node.New(settings, node.WithLog(log))
//	err = n.Run(ctx)
package node
