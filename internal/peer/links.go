package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"gradetiller.example/internal/wire"
)

const (
	// maxQueuedMessages bounds the messages that are queued for one peer. Further messages are
	// dropped.
	maxQueuedMessages = 1024
	// idleTimeout is the time after which a connection that sends nothing is closed. Neighbors and
	// readers are sent something every second. While all nodes start, each of them opens connections
	// to many that it never sends to again.
	idleTimeout = 8 * time.Second
	redialDelay = 300 * time.Millisecond
)

// Links sends messages to other processes. Each process sends on connections that it opened
// itself. A message that cannot be sent is dropped, so senders never block.
type Links struct {
	hello       wire.Hello
	security    *Security
	ctx         context.Context
	cancel      context.CancelFunc
	mu          sync.Mutex
	connections map[string]*outgoing
	wg          sync.WaitGroup
	onMessage   func(wire.Message, Answer)
	onLost      func(address string, err error)
}

// Answer sends a message on the connection on which another one arrived.
type Answer func(wire.Message) error

type outgoing struct {
	address string
	queue   *queue
	opened  time.Time
	// ctx is done when the connection is to be closed.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewLinks returns Links without connections. It calls receive for each message that arrives on a
// connection, and onLost for each connection that broke or could not be opened.
func NewLinks(hello wire.Hello, s *Security, receive func(wire.Message, Answer), onLost func(address string, err error)) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{hello: hello, security: s, ctx: ctx, cancel: cancel, connections: make(map[string]*outgoing), onMessage: receive, onLost: onLost}
}

// Close closes all connections and waits for their goroutines.
func (l *Links) Close() {
	l.cancel()
	l.wg.Wait()
}

// Send queues a message for the process at an address and opens a connection if there is none. It
// returns false if the message was dropped.
func (l *Links) Send(address string, m wire.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	o, ok := l.connections[address]
	if !ok {
		o = &outgoing{address: address, queue: newQueue(maxQueuedMessages), opened: time.Now()}
		o.ctx, o.cancel = context.WithCancel(l.ctx)
		l.connections[address] = o
		l.wg.Go(func() { l.run(o) })
	}
	return o.queue.push(m)
}

// CloseStale closes the connection to an address if it was opened before the given time, and
// reports whether it did so. The next message opens a new one. A connection may stop delivering
// while new ones work, and the operating system reports that only seconds later. onLost is not
// called.
func (l *Links) CloseStale(address string, before time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.connections[address]
	if !ok || !o.opened.Before(before) {
		return false
	}
	delete(l.connections, address)
	o.cancel()
	return true
}

func (l *Links) remove(o *outgoing) {
	o.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections[o.address] == o {
		delete(l.connections, o.address)
	}
}

func (l *Links) run(o *outgoing) {
	defer l.remove(o)
	conn, err := Dial(o.ctx, o.address, l.hello, l.security)
	if err != nil {
		l.reportLost(o, err)
		select {
		case <-o.ctx.Done():
		case <-time.After(redialDelay):
		}
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	l.wg.Go(func() {
		defer close(ended)
		answer, stop := QueueAnswers(conn)
		defer stop()
		for m, err := conn.Receive(); err == nil; m, err = conn.Receive() {
			l.onMessage(m, answer)
		}
		_ = conn.Close()
	})
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-idle.C:
			return
		case <-ended:
			l.reportLost(o, context.Canceled)
			return
		case <-o.queue.ready:
			if err := o.sendQueued(conn); err != nil {
				l.reportLost(o, err)
				return
			}
			idle.Reset(idleTimeout)
		}
	}
}

// sendQueued sends the queued messages.
func (o *outgoing) sendQueued(conn *Conn) error {
	for m, ok := o.queue.pop(); ok; m, ok = o.queue.pop() {
		if err := conn.Send(m); err != nil {
			return err
		}
	}
	return nil
}

func (l *Links) reportLost(o *outgoing, err error) {
	if l.onLost != nil && o.ctx.Err() == nil {
		l.onLost(o.address, err)
	}
}

var errAnswerQueueFull = errors.New("too many answers queued for the connection")
