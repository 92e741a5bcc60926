// Package client is the Go library for callers.
//
// A Client asks the system which addresses to use, keeps that answer for the
// time it is given, spreads its requests over the addresses, and goes on to
// the next when one is gone. It asks again by itself only when the request is
// proven not to have run, or may be repeated; and it accepts a stream only
// with its explicit end, whose length and digest it checks. Its error holds for
// all tries of a request: "not run" means that none of them ran.
//
// # Usage
//
//	c, err := client.New(key, []string{"10.0.0.1:7100", "10.0.0.2:7100"})
//	answer, err := c.Run(ctx, client.Request{Pipeline: "roster", Input: text, Deadline: 2 * time.Second})
//	if failure.KindOf(err).Answer().Ran() == failure.RanNo { /* safe to ask again */ }
package client
