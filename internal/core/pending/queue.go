package pending

import (
	"cmp"
	"slices"
	"time"
)

// minWait is the minimum time that a request whose stages have run may wait for a rate-limited
// endpoint. Its soft deadline may be sooner, and refusing it then would waste the stage work.
const minWait = 300 * time.Millisecond

// Until returns the time until which a request may wait, given when its response should begin.
func Until(now, softDeadline time.Time) time.Time {
	if earliest := now.Add(minWait); !softDeadline.After(earliest) {
		return earliest
	}
	return softDeadline
}

// Outcome is the outcome of an attempt to place a request.
type Outcome int

// The outcomes of an attempt.
const (
	// Waits means that no rate limit admits the request yet.
	Waits Outcome = iota
	// Placed means that the request has its endpoint.
	Placed
	// Gone means that the request is no longer wanted.
	Gone
)

// Queue holds the requests that wait for a rate limit. The zero value is an empty queue.
type Queue[T any] struct {
	list []waiting[T]
}

type waiting[T any] struct {
	request      T
	priority     int
	softDeadline time.Time
	until        time.Time
}

// Add adds a request. A lower priority number is placed first.
func (q *Queue[T]) Add(now time.Time, request T, priority int, softDeadline time.Time) {
	q.list = append(q.list, waiting[T]{request: request, priority: priority, softDeadline: softDeadline, until: Until(now, softDeadline)})
}

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.list) }

// Place attempts to place all requests, the most urgent first, and removes and returns those that
// have waited too long.
func (q *Queue[T]) Place(now time.Time, place func(T) Outcome) (ended []T) {
	slices.SortStableFunc(q.list, func(a, b waiting[T]) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.softDeadline.Compare(b.softDeadline))
	})
	kept := q.list[:0]
	for _, w := range q.list {
		switch {
		case place(w.request) != Waits:
		case now.Before(w.until):
			kept = append(kept, w)
		default:
			ended = append(ended, w.request)
		}
	}
	clear(q.list[len(kept):])
	q.list = kept
	return ended
}
