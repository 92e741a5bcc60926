// Package lease decides when a node holds a job that only one node may do.
//
// The lease is one row of the platform's table: holder, epoch and the id of
// the last write. The holder trusts it until the time at which it sent its
// last renewal, plus the term, less a margin, on its own clock; it checks that
// again right before every act. A successor waits the term plus the margin on
// its own clock since it first saw the row unchanged. No clocks are compared.
// Each change of holder raises the epoch, which goes with every order. (Epoch
// as a fencing token, self-stop on the holder's clock and the wait at a change
// of holder are those of "Research: resource-provisioner", without its
// replicated controllers.)
//
// The package does no input or output.
//
// # Usage
//
//	l := lease.New("n1#1764668411000", lease.DefaultTerm)
//	switch step := l.Next(now, freshID); step.Kind { case lease.Read: ...; case lease.Write: ... }
//	if epoch, ok := l.Holds(time.Now()); ok { act(epoch) }
package lease
