// Package intake bounds the requests that an endpoint gets from all nodes together, which no
// node sees by itself.
//
// Two causes bound them. A cold endpoint, one that has just begun, bears only so many
// requests a second; the list of endpoints and the configuration tell that (Cold). An
// endpoint in need names in its answers how many it takes, for as long as it says so; the
// node that passes such an answer on observes it, and heartbeats spread it (package signal). The
// lowest of them is in force (Bound).
//
// The nodes do not ask each other before they send. A bound is divided beforehand (Part): a
// large part belongs to the node that places for all others, where one does, the rest to all
// nodes evenly, each at turns of its own. What a node may send to one endpoint follows from
// both (Pace) and from what it has sent there of late (Sends). Together the parts leave room
// for a second leader, which may be at work for a moment when one was lost, and for requests
// that arrive closer together than they were sent.
//
// # Usage
//
//	rate, err := intake.RateOf(1.5)
//	bound := intake.NewBound(rate, 0, now).WithCold(intake.Cold{PerSecond: 10, Excess: 1.5, Slack: 5}, until)
//	pace := intake.NewPace(bound, intake.NodePart(intake.ByNodes, rank, nodes, endpoint))
//	var sends intake.Sends
//	if pace.Due(now, &sends) {
//		sends.Add(now, pace)
//		// send
//	}
package intake
