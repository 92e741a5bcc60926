// Package platform provides access to the platform's services: the transactional
// table, the object store and the instance list. Each is a narrow interface with an
// HTTP adapter, which can be replaced by an adapter for another protocol without
// changes elsewhere.
//
// # Usage
//
//	p, err := platform.NewHTTP("http://10.0.0.9:9000")
//	outcome, row := platform.Commit(ctx, p, puts, isOwn)
package platform
