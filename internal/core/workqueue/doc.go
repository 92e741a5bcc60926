// Package workqueue implements the queue of stage calls that wait for a pool,
// ordered by a configurable policy.
//
// Every policy maps an item to a key that is fixed when the item is queued. This
// holds for slack too, the time until the deadline less the expected time of the
// remaining stages: the slack of all waiting items shrinks at the same rate, so
// their order never changes. A binary heap is therefore sufficient.
//
// # Usage
//
//	q, err := workqueue.New[int]("least_slack")
//	h := q.Push(7, workqueue.Item{Deadline: d, Remaining: est, Account: 3, Weight: 2})
//	v, ok := q.Pop()
package workqueue
