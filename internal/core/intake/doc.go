// Package intake limits the rate of requests that an endpoint gets from all nodes together, which
// no single node can observe.
//
// There are two causes of a limit. A cold endpoint, one that has just started, handles only a
// limited rate; the configuration gives that rate (ColdLimit), and the endpoint list says which
// endpoints are cold. An overloaded endpoint advertises a rate limit in its answers; the node that
// receives such an answer records it, and heartbeats spread it to the other nodes (package signal).
// The lowest limit applies (Bound).
//
// Nodes do not coordinate before they send. Instead, a bound is divided in advance (Share): if one
// node places requests for all others, it gets a large share, and the rest is divided evenly among
// all nodes, each with time slots of its own. The rate at which a node may send to one
// endpoint follows from the bound and the share (Pace), and from what it has recently sent there
// (Sends). The shares add up to less than the bound. This leaves room for a second leader, which
// may be active for a moment after one was lost, and for requests that arrive closer together than
// they were sent.
//
// # Usage
//
//	rate, err := intake.NewRate(1.5)
//	bound := intake.NewBound(rate, 0, now).WithCold(intake.ColdLimit{PerSecond: 10, Excess: 1.5, Slack: 5}, until)
//	pace := intake.NewPace(bound, intake.NodeShare(intake.ByNodes, mix.Leaders(), rank, nodes, endpoint))
//	var sends intake.Sends
//	if pace.Due(now, &sends) {
//		sends.Add(now, pace)
//		// send
//	}
package intake
