// Package run is the engine that takes requests through the stages of their
// pipelines: admission, the queue of each pool, the choice of endpoint,
// attempts, hedges, retries, deadlines and the final answer.
//
// The engine does no input or output. The shell gives it events and the
// present time and carries out the actions that it returns, in their order.
// Every event is a method; every action is a type that implements Action.
//
// Invariants:
//
//   - A run ends by exactly one Finish.
//   - A Finish whose kind says "not run" is emitted only when no call of the
//     run was sent, or every call that was sent is proven not to have run.
//   - A call that may not be repeated is sent at most once per run, and only
//     after the run's started record is stored.
//   - The result of an attempt that is not live any more is dropped and
//     counted, never delivered.
//
// # Usage
//
//	e := run.New(now, seed)
//	e.Configure(now, cfg, 1)
//	id, actions := e.Submit(now, run.Request{...})
//	actions = e.Ended(now, attempt, run.Ending{Event: attempt.Complete, Output: out})
package run
