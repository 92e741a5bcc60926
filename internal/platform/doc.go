// Package platform reaches the platform's services: the transactional table,
// the object store and the instance list. Each is a narrow interface with one
// HTTP adapter; the firms' own protocols replace the adapters without a
// change elsewhere.
//
// # Usage
//
//	p, err := platform.NewHTTP("http://10.0.0.9:9000")
//	err = platform.Commit(ctx, p, puts, writeID)
package platform
