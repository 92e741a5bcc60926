// Package attempt implements the state machine of one stage call and retry
// budgets.
//
// A call counts as "not run" only if no byte of it left the node or the
// endpoint said so explicitly.
//
// # Usage
//
//	var m attempt.Machine
//	err := m.Apply(attempt.Send)
//	if m.State().MayHaveRun() { ... }
package attempt
