package workqueue

import (
	"container/heap"
	"fmt"
)

// Handle identifies a queued item for Remove.
type Handle[T any] struct {
	value T
	key   Key
	seq   uint64
	index int
}

// Queue is a priority queue ordered by a policy. It is not safe for concurrent
// use.
type Queue[T any] struct {
	policy Policy
	clock  *VirtualTime
	seq    uint64
	items  handleHeap[T]
}

// New returns an empty queue with the named policy.
func New[T any](name string) (*Queue[T], error) {
	p, ok := policies.Lookup(name)
	if !ok {
		return nil, fmt.Errorf("unknown order policy %q", name)
	}
	return &Queue[T]{policy: p, clock: newVirtualTime()}, nil
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a value to the queue.
func (q *Queue[T]) Push(v T, it Item) *Handle[T] {
	q.seq++
	h := &Handle[T]{value: v, key: q.policy(it, q.clock), seq: q.seq}
	heap.Push(&q.items, h)
	return h
}

// Ahead returns the number of queued items that would be served before the given
// one if it were queued now.
func (q *Queue[T]) Ahead(it Item) int {
	q.clock.dryRun = true
	probe := &Handle[T]{key: q.policy(it, q.clock), seq: q.seq + 1}
	q.clock.dryRun = false
	ahead := 0
	for _, h := range q.items {
		if h.less(probe) {
			ahead++
		}
	}
	return ahead
}

// Pop removes and returns the first value, or reports false if the queue is empty.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.items) == 0 {
		var zero T
		return zero, false
	}
	h := heap.Pop(&q.items).(*Handle[T])
	q.clock.advance(h.key.startTag)
	q.resetIfEmpty()
	return h.value, true
}

// Peek returns the first value without removing it, or reports false if the queue is empty.
func (q *Queue[T]) Peek() (T, bool) {
	if len(q.items) == 0 {
		var zero T
		return zero, false
	}
	return q.items[0].value, true
}

// Remove removes an item and reports whether it was still queued.
func (q *Queue[T]) Remove(h *Handle[T]) bool {
	if h == nil || h.index < 0 || h.index >= len(q.items) || q.items[h.index] != h {
		return false
	}
	heap.Remove(&q.items, h.index)
	q.resetIfEmpty()
	return true
}

func (q *Queue[T]) resetIfEmpty() {
	if len(q.items) == 0 {
		q.clock.reset()
	}
}

// handleHeap implements heap.Interface.
type handleHeap[T any] []*Handle[T]

func (s handleHeap[T]) Len() int { return len(s) }

func (s handleHeap[T]) Less(i, j int) bool { return s[i].less(s[j]) }

func (h *Handle[T]) less(other *Handle[T]) bool {
	if h.key.First != other.key.First {
		return h.key.First < other.key.First
	}
	if h.key.Second != other.key.Second {
		return h.key.Second < other.key.Second
	}
	return h.seq < other.seq
}

func (s handleHeap[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

func (s *handleHeap[T]) Push(x any) {
	h := x.(*Handle[T])
	h.index = len(*s)
	*s = append(*s, h)
}

func (s *handleHeap[T]) Pop() any {
	old := *s
	h := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	h.index = -1
	return h
}
