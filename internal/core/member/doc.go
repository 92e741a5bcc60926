// Package member maintains the membership of the system's control processes, and of the
// entries that are linked to them, by gossip.
//
// The members form a ring, ordered by a hash of their names. Each sends a heartbeat a
// second to a few others at fixed distances on the ring, and monitors those, so the cost of
// a node does not grow with the number of members. Updates (member records, findings about
// endpoints, the version of the configuration) travel with the heartbeats and ahead of
// them: every node forwards each update once. Nodes whose views differ exchange listings
// and the missing records, so that lost updates are repaired.
//
// A monitor that hears nothing from a member suspects it. The suspicion spreads, and the
// member either refutes it with a higher sequence number or is declared dead a little
// later. A member that finds itself dead in another's view rejoins with a higher
// incarnation, so a paused process is never taken for its earlier self. A partitioned
// region is found again by probing dead members.
//
// The package does no input or output.
//
// # Usage
//
//	n := member.New(now, self, seed)
//	messages := n.Tick(now)                 // every FlushInterval
//	messages = n.Receive(now, gossip)       // for every message
package member
