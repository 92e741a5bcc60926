// Package failure holds the closed list of error kinds that gradetiller gives
// to callers, and the one table from a kind to its answer.
//
// Every kind states whether the request ran: no, yes, or unknown. "No" is a
// promise: no byte of any stage call left the node, or every call that left is
// proven not to have run, so the caller may safely ask again.
//
// # Usage
//
//	err := failure.New(failure.RateLimited, "account is over its rate",
//		failure.WithRetryAfter(200*time.Millisecond))
//	answer := failure.KindOf(err).Answer()
//	w.WriteHeader(answer.Status())
package failure
