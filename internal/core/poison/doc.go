// Package poison detects requests that crash the endpoints that run them (poison requests,
// also called queries of death), and stops sending them.
//
// Each retry by a client has a request id of its own. Retries are recognized by their
// content, and requests that share a part of their prompt by that part. Both are subjects for
// which crashes are counted (Subject, Request). A Guard is the part of one node, and consists of
// three:
//
//   - Detector distinguishes crashes of endpoints from connections that were cut, reset or
//     silently dropped and from lost answers. A broken run alone proves nothing, and neither does
//     an answer that ended with its connection because it has neither a length nor chunks.
//   - Ledger counts the endpoints that crashed under each subject. All subjects of all requests
//     that ran at a crashed endpoint are equally suspect. The one that is present at the third
//     crash is refused from then on, for a time. A suspect that is served successfully is cleared.
//   - Refusals is the set of refused subjects, and of parts under which two endpoints crashed. It
//     spreads to all nodes with their heartbeats, and to nodes that start or rejoin with the first
//     ones. A node that served such a subject since its first crash tells the owners.
//
// A crash counts only if two nodes agree on it, or if the list of endpoints shows it: an
// address may refuse one node's connections because of a network partition. If one of the nodes that
// count a crash can connect to the endpoint right after it was reported, it doesn't count.
//
// Each node reports the crashes that it saw to the few nodes that Owners returns for the
// subject. Crashes seen by several nodes thus meet in one place, and a crash costs a few
// messages for each node that had requests there. Successes cost a message only while their
// subject is a suspect.
//
// Many requests have the same parts, so parts differ from contents in five ways. Crashes at
// nearly the same time count as one, and half if many other endpoints crashed then. Subjects that
// were present at all crashes of a part and were not served are its companions, and its refusal
// applies only to requests that have these too. A part that is refused at one service is refused at
// another one after one crash. When its refusal ends, one node admits one request at a time. A part that
// was served before is refused after maxPartCrashes: at a service with few endpoints, parts of other
// requests are present at all crashes too.
//
// All state is bounded and expires: at most maxSuspects subjects with one crash and maxRepeated
// with several are kept, the latest ones, with crashes no older than crashTTL, and the maxRefusals
// refusals that last longest. When a refusal ends the subject is admitted again, and is refused for
// twice as long if one more endpoint crashes under it. Nodes that are all killed at once lose this
// state; the subject can then crash three more endpoints.
//
// # Usage
//
//	content := poison.Identify(poison.Content{Caller: "clinics", Method: "POST", Host: host, Target: path, Body: body})
//	q := poison.NewRequest(content, service, promptParts)
//	if r, refused := guard.Admit(now, q); refused { ... }
//
//	out := guard.RecordBrokenRuns(now, endpoint, poison.LongRun, q)
//	for _, e := range out.Probe { out = guard.RecordProbe(now, e.ID, refuses(e.Address)) }
//	for _, r := range out.Reports { send(poison.Owners(r.Subject.ID, nodes), r) }
package poison
