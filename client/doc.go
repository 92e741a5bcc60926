// Package client is the Go client library of gradetiller.
//
// A Client asks the system which addresses to use, caches the answer for the
// time that the system specifies, distributes its requests over the addresses,
// and fails over to the next address if one is unreachable. It retries a request
// only if the request is proven not to have run, or is repeatable. It accepts a
// streamed answer only with an explicit end event, whose length and digest it
// verifies. An error applies to all tries of a request: "not run" means that
// none of them ran.
//
// # Usage
//
//	c, err := client.New(key, []string{"10.0.0.1:7100", "10.0.0.2:7100"})
//	answer, err := c.Run(ctx, client.Request{Pipeline: "roster", Input: text, Deadline: 2 * time.Second})
//	if failure.KindOf(err).Answer().Ran() == failure.RanNo { /* safe to ask again */ }
package client
