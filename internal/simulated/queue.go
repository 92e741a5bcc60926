// Package simulated provides an event queue for tests in simulated time.
//
// # Usage
//
//	var q simulated.Queue
//	q.At(start.Add(time.Second), func(now time.Time) { q.At(now.Add(gap), next) })
//	q.Run(start.Add(time.Minute))
package simulated

import (
	"container/heap"
	"time"
)

// Queue is a queue of pending events. The zero value is an empty queue. It is not safe for
// concurrent use.
type Queue struct{ events events }

type event struct {
	at time.Time
	do func(now time.Time)
}

// At schedules a function call at a point in simulated time.
func (q *Queue) At(at time.Time, do func(now time.Time)) { heap.Push(&q.events, event{at, do}) }

// Run calls the scheduled functions in the order of their times, including those scheduled by other
// calls, up to but not including the end.
func (q *Queue) Run(end time.Time) {
	for len(q.events) > 0 && q.events[0].at.Before(end) {
		e := heap.Pop(&q.events).(event)
		e.do(e.at)
	}
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
