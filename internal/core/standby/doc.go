// Package standby lets the node that ranks next for a cell take over at once when the cell's leader
// stops responding.
//
// A [Leader] tells its standby every 0.1 s that it leads and which tasks it has in flight, and every
// 0.25 s also what it would lose otherwise: served shares, open bookings and recent retries. A
// [Follower] at the standby pings the leader over a new connection after 0.35 s without a message, and
// takes over if the ping is not answered within 0.1 s.
//
// A takeover from a leader that is alive is expensive, since both use the same endpoints for a while.
// Therefore a follower doesn't count time during which its own process did not run, takes over only
// from a leader that sent it several messages, and at most once in 10 s. Two leaders cost time but
// never safety: neither a message nor a takeover is a lease.
//
// # Usage
//
//	l := standby.NewLeader(cell)
//	for _, send := range l.Tick(now, addressOfStandby, source) {
//		// send send.Message to send.Address
//	}
//
//	f := standby.NewFollower()
//	f.Receive(now, leader, message)
//	switch f.Tick(now) {
//	case standby.Ping:
//		// open a new connection to f.Leader() and call f.Answered when it responds
//	case standby.Claim:
//		state, ok := f.Take(now)
//	}
//
// Leaders and followers do no input or output and are not safe for concurrent use.
package standby
