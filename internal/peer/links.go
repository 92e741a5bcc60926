package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"gradetiller.example/internal/wire"
)

const (
	// linkBuffer bounds the messages that wait for one peer; further ones are
	// dropped.
	linkBuffer  = 1024
	idleLink    = 30 * time.Second
	redialPause = 300 * time.Millisecond
)

// Links sends messages to other processes. Each process sends on connections
// that it opened itself; a message that can't be sent is dropped, so that no
// sender ever waits.
type Links struct {
	hello    wire.Hello
	security *Security
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	open     map[string]*outgoing
	wait     sync.WaitGroup
	receive  func(wire.Message, Answer)
	onLost   func(address string, err error)
}

// Answer sends a message back on the connection from which one came.
type Answer func(wire.Message) error

type outgoing struct {
	address string
	queue   chan wire.Message
	opened  time.Time
	// ctx ends when the connection is given up.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewLinks returns links without connections. receive takes what comes back
// on them; onLost is told of each connection that could not be opened or
// broke.
func NewLinks(hello wire.Hello, s *Security, receive func(wire.Message, Answer), onLost func(address string, err error)) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{hello: hello, security: s, ctx: ctx, cancel: cancel, open: make(map[string]*outgoing), receive: receive, onLost: onLost}
}

// Close ends all connections.
func (l *Links) Close() {
	l.cancel()
	l.wait.Wait()
}

// Send queues a message for the process at an address. It reports false when
// the message was dropped.
func (l *Links) Send(address string, m wire.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	o, ok := l.open[address]
	if !ok {
		o = &outgoing{address: address, queue: make(chan wire.Message, linkBuffer), opened: time.Now()}
		o.ctx, o.cancel = context.WithCancel(l.ctx)
		l.open[address] = o
		l.wait.Go(func() { l.run(o) })
	}
	select {
	case o.queue <- m:
		return true
	default:
		return false
	}
}

// CloseStale gives the connection to an address up if it was opened before a moment, and
// reports whether it did. The next message opens a new one. A connection may go
// silent for good, which the system tells only seconds later, while new ones work;
// onLost is not told.
func (l *Links) CloseStale(address string, before time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.open[address]
	if !ok || !o.opened.Before(before) {
		return false
	}
	delete(l.open, address)
	o.cancel()
	return true
}

func (l *Links) forget(o *outgoing) {
	o.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[o.address] == o {
		delete(l.open, o.address)
	}
}

func (l *Links) run(o *outgoing) {
	defer l.forget(o)
	conn, err := Dial(o.ctx, o.address, l.hello, l.security)
	if err != nil {
		l.lost(o, err)
		select {
		case <-o.ctx.Done():
		case <-time.After(redialPause):
		}
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	l.wait.Go(func() {
		defer close(ended)
		answer, stop := QueueAnswers(conn)
		defer stop()
		for m, err := conn.Receive(); err == nil; m, err = conn.Receive() {
			l.receive(m, answer)
		}
		_ = conn.Close()
	})
	idle := time.NewTimer(idleLink)
	defer idle.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-idle.C:
			return
		case <-ended:
			l.lost(o, context.Canceled)
			return
		case m := <-o.queue:
			if err := conn.Send(m); err != nil {
				l.lost(o, err)
				return
			}
			idle.Reset(idleLink)
		}
	}
}

func (l *Links) lost(o *outgoing, err error) {
	if l.onLost != nil && o.ctx.Err() == nil {
		l.onLost(o.address, err)
	}
}

var errAnswersFull = errors.New("too many answers wait for the connection")
