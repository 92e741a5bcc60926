// Package catalog holds the routes, services, client accounts and endpoints
// that a node serves by, as immutable values.
//
// # Usage
//
//	cfg.Index()
//	route := cfg.Match(host, path)
//	service := route.Choose(hash.Of(requestID))
package catalog
