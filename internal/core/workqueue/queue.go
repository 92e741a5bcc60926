package workqueue

import (
	"container/heap"
	"fmt"
)

// Handle names one waiting item, for Remove.
type Handle[T any] struct {
	value T
	key   Key
	seq   uint64
	index int
}

// Queue is a priority queue under one policy. It is not safe for concurrent
// use.
type Queue[T any] struct {
	policy Policy
	fair   *VirtualTime
	seq    uint64
	items  handles[T]
}

// New returns an empty queue under the named policy.
func New[T any](name string) (*Queue[T], error) {
	p, ok := policies.Lookup(name)
	if !ok {
		return nil, fmt.Errorf("unknown order policy %q", name)
	}
	return &Queue[T]{policy: p, fair: newFair()}, nil
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push queues a value.
func (q *Queue[T]) Push(v T, it Item) *Handle[T] {
	q.seq++
	h := &Handle[T]{value: v, key: q.policy(it, q.fair), seq: q.seq}
	heap.Push(&q.items, h)
	return h
}

// Ahead returns how many waiting items would go before the given one if it
// were queued now.
func (q *Queue[T]) Ahead(it Item) int {
	q.fair.peek = true
	probe := &Handle[T]{key: q.policy(it, q.fair), seq: q.seq + 1}
	q.fair.peek = false
	ahead := 0
	for _, h := range q.items {
		if h.before(probe) {
			ahead++
		}
	}
	return ahead
}

// Pop takes the first value, and reports false on an empty queue.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.items) == 0 {
		var zero T
		return zero, false
	}
	h := heap.Pop(&q.items).(*Handle[T])
	q.fair.served(h.key.tag)
	q.rest()
	return h.value, true
}

// Peek returns the first value without taking it.
func (q *Queue[T]) Peek() (T, bool) {
	if len(q.items) == 0 {
		var zero T
		return zero, false
	}
	return q.items[0].value, true
}

// Remove takes an item out, and reports false when it has left already.
func (q *Queue[T]) Remove(h *Handle[T]) bool {
	if h == nil || h.index < 0 || h.index >= len(q.items) || q.items[h.index] != h {
		return false
	}
	heap.Remove(&q.items, h.index)
	q.rest()
	return true
}

func (q *Queue[T]) rest() {
	if len(q.items) == 0 {
		q.fair.idle()
	}
}

// handles implements heap.Interface.
type handles[T any] []*Handle[T]

func (s handles[T]) Len() int { return len(s) }

func (s handles[T]) Less(i, j int) bool { return s[i].before(s[j]) }

func (h *Handle[T]) before(other *Handle[T]) bool {
	if h.key.First != other.key.First {
		return h.key.First < other.key.First
	}
	if h.key.Second != other.key.Second {
		return h.key.Second < other.key.Second
	}
	return h.seq < other.seq
}

func (s handles[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

func (s *handles[T]) Push(x any) {
	h := x.(*Handle[T])
	h.index = len(*s)
	*s = append(*s, h)
}

func (s *handles[T]) Pop() any {
	old := *s
	h := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	h.index = -1
	return h
}
