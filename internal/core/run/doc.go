// Package run implements the engine that executes requests stage by stage:
// admission, pool queues, endpoint selection, attempts, hedges, retries,
// deadlines and the final answer.
//
// The engine does no I/O. Its caller passes in events with the current time and
// carries out the returned actions in order.
// Every event is a method; every action is a type that implements Action.
//
// Invariants:
//
//   - A run ends with exactly one Finish.
//   - A Finish whose kind is "not run" is emitted only if no call of the run
//     was sent, or every call that was sent is proven not to have run.
//   - A call that is not repeatable is sent at most once per run, unless it is
//     proven not to have run, and only after the run's started record is
//     stored.
//   - The result of an attempt that was canceled is counted and dropped, never
//     delivered.
//
// # Usage
//
//	e := run.New(seed)
//	e.Configure(now, cfg, 1)
//	id, actions := e.Submit(now, run.Request{...})
//	actions = e.CallEnded(now, attemptID, run.CallResult{Event: attempt.Complete, Output: out})
package run
