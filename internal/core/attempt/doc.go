// Package attempt holds the state machine of one stage call and the retry
// budget of a pool.
//
// The machine decides what may be said of a call: "not run" only while no
// byte has left the node, or on the endpoint's own word.
//
// # Usage
//
//	var m attempt.Machine
//	err := m.On(attempt.Send)
//	if m.State().MayHaveRun() { ... }
package attempt
