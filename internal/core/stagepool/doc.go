// Package stagepool runs the stages that come before a request, for the
// requests of all nodes, on the endpoints of stage services. One node, the
// leader of the pool, holds it; the others send it their requests' stages.
//
// An endpoint works on few calls at once, each a batch of pieces, and holds
// the results until they are freed. The pool therefore keeps one queue a
// service, forms a batch when an endpoint comes free, counts the room that
// results take, and frees them as soon as no one needs them.
//
// The package has no input or output: it takes events and the present time,
// and returns actions for the shell to carry out.
//
// # Usage
//
//	p := stagepool.New(stagepool.WithRetryBudget(b))
//	p.Configure(now, services, endpoints)
//	verdict, actions := p.Submit(now, task)
//	actions = p.Done(now, call, outcome)
//	actions = p.Release(now, id)
//	actions = p.Tick(now)
package stagepool
