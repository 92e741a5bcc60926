// Package endpoints sends stage calls to model engines and plain services
// over HTTP.
//
// The standard library's client repeats some requests by itself. No call here
// can be repeated that way: the body has no GetBody, no idempotency header is
// set, redirects are not followed because the transport is used directly, and
// calls that may not be repeated open a connection of their own.
//
// # Usage
//
//	h := endpoints.NewHTTP()
//	ending := h.Call(ctx, call, sink)
package endpoints
