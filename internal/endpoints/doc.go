// Package endpoints sends stage calls to model engines and services over HTTP,
// reads their state and sends load orders to engines.
//
// net/http retries some requests by itself. It never does so for a call of this
// package: the request has no GetBody and no idempotency header, redirects are
// not followed because the transport is used directly, and calls that are not
// repeatable use a new connection each.
//
// # Usage
//
//	h := endpoints.NewHTTP()
//	result := h.Call(ctx, call, sink)
package endpoints
