// Package member keeps the view of the system's control processes and of the
// entries that are linked to them.
//
// The members form a ring by a hash of their names. Each sends a heartbeat a
// second to a few others at fixed distances on the ring, and watches those; so
// the cost of a node does not grow with the number of members. News (records
// of members, findings about endpoints, the version of the configuration)
// travels with the heartbeats and sooner: every node passes each piece of
// news on once. Nodes whose views differ compare listings and send each other
// what is missing, so that lost news heals.
//
// A watcher that hears nothing suspects the member; the suspicion travels, and
// the member refutes it with a higher sequence number, or is dead a little
// later. A member that finds itself dead in another's view comes back with a
// higher incarnation, so a paused process is never taken for its earlier
// self, and a region that was cut off is found again by probing the dead.
//
// The package does no input or output.
//
// # Usage
//
//	n := member.New(now, self, seed)
//	sends := n.Tick(now)                 // every FlushInterval
//	sends = n.Receive(now, gossip)       // for every message
package member
