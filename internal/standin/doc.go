// Package standin holds small stand-ins for what is outside the system: model
// engines, plain services, the platform's table, objects and instance list.
// They have fault switches and count what each request id really caused, so
// that lost, doubled and crossed results are seen from outside. It is test
// scaffolding and no part of the product.
//
// # Usage
//
//	w := standin.NewWorld(seed, cfg)
//	http.Handle("/", w.Platform().Handler())
//	w.Endpoint("enc-1").Handler()
package standin
