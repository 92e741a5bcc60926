// Package simulated runs tests in simulated time: a queue of events, each at a moment, without
// waiting for it.
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

// Queue holds the events to come. The zero value is empty. It is not safe for concurrent use.
type Queue struct{ events events }

type event struct {
	at time.Time
	do func(now time.Time)
}

// At has a function called at a moment.
func (q *Queue) At(at time.Time, do func(now time.Time)) { heap.Push(&q.events, event{at, do}) }

// Run calls the functions in the order of their moments until the first one that isn't before the
// end.
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
