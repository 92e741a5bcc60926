// Package stagepool schedules the stages that run before a request proper, for the requests of all
// nodes, on the endpoints of stage services. One node, the leader, owns the pool; the other nodes
// submit their requests' stages to it.
//
// An endpoint runs few calls at once, each a batch of pieces, and holds the results in memory until
// they are freed. The pool therefore keeps one queue per service, forms a batch when an endpoint
// becomes available, accounts for the memory ("room") that results occupy, and frees them as soon
// as nothing needs them.
//
// A task is admitted by its estimated finish, or, after SetScheduled, by a schedule: all work that is
// due before it must fit before its latest start, and all work that is due later must still fit. The
// schedule may also ask tasks to leave room for groups of requests that were served less; see package
// share. Room tells what is free, and WithReservations makes the schedule count work that is expected.
//
// The package does no I/O: its methods take events and the current time, and return actions for the
// caller to carry out.
//
// # Usage
//
//	p := stagepool.New(stagepool.WithRetryBudget(b))
//	p.Configure(now, services, endpoints)
//	p.SetScheduled(now, patience.Short(now))
//	admission, actions := p.Submit(now, task)
//	actions = p.Done(now, call, outcome)
//	actions = p.Release(now, id)
//	actions = p.Tick(now)
package stagepool
