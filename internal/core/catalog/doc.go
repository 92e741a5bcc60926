// Package catalog defines the routes, services, client accounts and endpoints of a
// node's configuration.
//
// # Usage
//
//	cfg.BuildIndex()
//	route := cfg.Match(host, path)
//	service := route.PickBackend(hash.Of(requestID))
package catalog
