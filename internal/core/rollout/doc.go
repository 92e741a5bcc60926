// Package rollout moves the traffic of a service to a new version of its endpoints, and back if
// that version is bad.
//
// The operator orders a rollout (Order). Until it ends, the endpoints of the service form two
// arms: those of the new version and all others. Each request is assigned to an arm by a hash of
// its ID (Stage.Arm), so that the share of the new version does not depend on the number of nodes
// or on how many requests each of them gets.
//
// Nodes count the answers of both arms (Recorder) and report these counts to one deciding node,
// which adds them up (Decider) and answers with the present Stage:
//
//   - Canary: the new version gets a small share of the requests.
//   - Shifted: it gets all new requests, while the other endpoints finish theirs.
//   - Reverted: it gets none, because its answers are worse than those of the others.
//   - Complete: the other endpoints are stopped.
//
// A version may turn bad at any time, so its requests must stay below a share of all requests
// until the deadline of the order (Limits). The decider therefore shifts as late as possible: when
// the requests expected until the deadline fit into what is left of that share.
//
// The counts are cumulative, and every node reports all of its own: a node that takes over as
// decider has all evidence after one round of reports. A node uses the new version only on the word
// of a decider that it heard from within StatementTTL; one that hears of none uses the others.
//
// # Usage
//
//	recorder.Record(rollout.Key{Route: route, Arm: arm}, rollout.Result{OK: true, Latency: d}) // at each node
//	decider := rollout.NewDecider(order, limits, start)
//	decider.Merge(now, node, incarnation, recorder.Report(), unfinished, known) // at the deciding node
//	stage := decider.Decide(now)
//	arm := stage.Arm(requestID)       // at each node
package rollout
