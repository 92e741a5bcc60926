package peer

import (
	"sync"

	"gradetiller.example/internal/wire"
)

// queue is a bounded queue of messages that takes memory only for those in it. A node of a large
// system has hundreds of connections while all nodes start, most of which never queue anything.
type queue struct {
	max      int
	mu       sync.Mutex
	messages []wire.Message
	// ready has an element while there may be messages.
	ready chan struct{}
}

func newQueue(limit int) *queue { return &queue{max: limit, ready: make(chan struct{}, 1)} }

// push adds a message, and returns false if the queue is full.
func (q *queue) push(m wire.Message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) >= q.max {
		return false
	}
	q.messages = append(q.messages, m)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// pop removes the first message, and returns false if there is none.
func (q *queue) pop() (wire.Message, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == 0 {
		return nil, false
	}
	m := q.messages[0]
	q.messages[0] = nil
	q.messages = q.messages[1:]
	if len(q.messages) == 0 {
		q.messages = nil
	}
	return m, true
}
