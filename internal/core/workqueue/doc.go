// Package workqueue keeps the queue of stage calls that wait for a pool and
// orders it by the policy in force.
//
// Every policy reduces to a key that is fixed when the item is queued: slack
// is the deadline less the time still needed, and both ends move together
// with the clock, so the order of two waiting items never changes. A binary
// heap is therefore enough.
//
// # Usage
//
//	q, err := workqueue.New[int]("least_slack")
//	h := q.Push(7, workqueue.Item{Deadline: d, Remaining: est, Account: 3, Weight: 2})
//	v, ok := q.Pop()
package workqueue
