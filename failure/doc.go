// Package failure defines the kinds of errors that gradetiller returns to
// clients, and the answer for each kind.
//
// Every kind states whether the request ran: no, yes, or unknown. "No" is a
// guarantee: no byte of any stage call was sent, or every call that was sent is
// proven not to have run, so that the client can safely send the request again.
//
// # Usage
//
//	err := failure.New(failure.RateLimited, "account is over its rate",
//		failure.WithRetryAfter(200*time.Millisecond))
//	answer := failure.KindOf(err).Answer()
//	w.WriteHeader(answer.Status())
package failure
