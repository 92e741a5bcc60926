// Package standin simulates what is outside the system: model engines, plain
// services, and the platform's table, object store and instance list. The
// stand-ins inject faults on request and count the runs of each request ID, so
// that lost, doubled and misdelivered results can be detected independently of
// the system. It is used for tests and trials only.
//
// # Usage
//
//	w := standin.NewWorld(seed, cfg, instances, standin.DefaultLatency)
//	http.Handle("/", w.Admin())
//	for address, e := range w.Endpoints() {
//		// serve e.Handler() at the address
//	}
package standin
