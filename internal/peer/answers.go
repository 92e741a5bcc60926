package peer

import (
	"sync"

	"gradetiller.example/internal/wire"
)

// maxQueuedAnswers bounds the answers that are queued for one connection.
const maxQueuedAnswers = 1024

// answers sends answers on a connection, from a goroutine that runs only while there are any.
type answers struct {
	conn    *Conn
	mu      sync.Mutex
	queue   *queue
	sending bool
	stopped bool
}

// QueueAnswers returns an Answer that queues messages for the connection and never blocks, and a
// function that stops it. If the queue is full, an answer is dropped with an error.
func QueueAnswers(c *Conn) (Answer, func()) {
	a := &answers{conn: c, queue: newQueue(maxQueuedAnswers)}
	return a.send, a.stop
}

func (a *answers) send(m wire.Message) error {
	if !a.queue.push(m) {
		return errAnswerQueueFull
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.sending && !a.stopped {
		a.sending = true
		go a.run()
	}
	return nil
}

func (a *answers) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
}

// next returns the next answer to send, or ends the goroutine that sends.
func (a *answers) next() (wire.Message, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.queue.pop()
	if !ok || a.stopped {
		a.sending = false
		return nil, false
	}
	return m, true
}

func (a *answers) run() {
	for m, ok := a.next(); ok; m, ok = a.next() {
		if a.conn.Send(m) != nil {
			a.stop()
			_ = a.conn.Close()
		}
	}
}
