// Package poison finds requests that crash the endpoints that run them (poison
// requests, also called queries of death), and keeps them from being sent on.
//
// A client's tries of one request carry ids of their own; what makes them the same
// request is their content, which ID stands for. A Guard is one node's part; it is made
// of three:
//
//   - Watch tells ends of endpoints from connections that were cut, reset or silenced
//     and from answers that were lost: a run that broke off says nothing by itself.
//   - Ledger counts the endpoints that ended under each request. All that ran at an
//     endpoint are suspects alike; the one that is there when the third ends is refused
//     from then on, for a time. A suspect that is served is none.
//   - Refusals are the refused requests. They spread over all nodes by their heartbeats,
//     and to nodes that begin or come back with the first ones.
//
// An end counts when two nodes agree on it, or the list of endpoints tells it: an address
// may refuse the connections of one node because their way is cut.
//
// Each node reports the ends that it saw to the few nodes that Owners names for the
// request, so ends that several nodes saw meet in one place, and a crash costs some
// messages for each request that ran there and not one for each node.
//
// What is remembered is bounded, and ends: of suspects the mostSuspects latest for
// endLife, of refusals the mostRefusals that last longest. A refusal ends after a time;
// the request is then let in again, and refused for twice as long when one more endpoint
// ends under it. Nodes that are all killed at once forget; the request then ends three
// endpoints more.
//
// # Usage
//
//	id := poison.Identify(poison.Content{Caller: "clinics", Method: "POST", Host: host, Target: path, Body: body})
//	if left, refused := guard.Refused(now, id); refused { ... }
//
//	out := guard.Broke(now, endpoint, id)
//	for _, e := range out.Ask { out = guard.Probed(now, e.ID, refuses(e.Address)) }
//	for _, r := range out.Tell { send(poison.Owners(r.Request, nodes), r) }
package poison
