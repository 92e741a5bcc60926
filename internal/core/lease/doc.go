// Package lease implements a lease for jobs that only one node may run.
//
// The lease is one row of the platform's table: holder, epoch and the id of the
// last write. The holder trusts it, by its own clock, until the time at which it
// sent its last renewal plus the term minus a margin, and checks this right before
// every action. A successor takes over after it has seen the row unchanged for the
// term plus the margin by its own clock. Clocks of different nodes are never
// compared. Each change of holder increments the epoch, which is the fencing token
// of every order. (The fencing token, the holder's self-imposed expiry and the
// successor's wait follow "Research: resource-provisioner", without its replicated
// controllers.)
//
// The package does no I/O.
//
// # Usage
//
//	l := lease.New("n1#1764668411000", lease.DefaultTerm)
//	switch step := l.Next(now, uniqueID); step.Kind { case lease.Read: ...; case lease.Write: ... }
//	if epoch, ok := l.Holds(time.Now()); ok { act(epoch) }
package lease
