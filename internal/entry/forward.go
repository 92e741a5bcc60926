package entry

import (
	"context"
	"sync"
	"time"

	"gradetiller.example/internal/core/ledger"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

// forwardTimeout bounds the wait for a writer: its gap between transactions,
// one transaction and one read-back.
const forwardTimeout = time.Second

// forwarder asks other entries to store records.
type forwarder struct {
	mu       sync.Mutex
	ctx      context.Context
	hello    wire.Hello
	security *peer.Security
	writers  map[string]*writer
}

// writer is the connection to one other entry.
type writer struct {
	mu      sync.Mutex
	conn    *peer.Conn
	last    uint64
	waiting map[uint64]chan ledger.Result
}

// open allows forwarding until ctx ends.
func (f *forwarder) open(ctx context.Context, hello wire.Hello, s *peer.Security) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ctx, f.hello, f.security, f.writers = ctx, hello, s, make(map[string]*writer)
}

// start asks the entry at an address to store a record. It reports false when
// no answer came, which leaves open what happened.
func (f *forwarder) start(address, key, token string) (ledger.Result, bool) {
	w, ctx := f.writer(address)
	if w == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	answer, ok := w.send(ctx, f, address, key, token)
	if !ok {
		return 0, false
	}
	select {
	case result, ok := <-answer:
		return result, ok
	case <-ctx.Done():
		return 0, false
	}
}

func (f *forwarder) writer(address string) (*writer, context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil {
		return nil, nil
	}
	w, ok := f.writers[address]
	if !ok {
		w = &writer{waiting: make(map[uint64]chan ledger.Result)}
		f.writers[address] = w
	}
	return w, f.ctx
}

func (w *writer) send(ctx context.Context, f *forwarder, address, key, token string) (chan ledger.Result, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		conn, err := peer.Dial(ctx, address, f.hello, f.security)
		if err != nil {
			return nil, false
		}
		w.conn = conn
		context.AfterFunc(f.ctx, func() { _ = conn.Close() })
		go w.receive(conn)
	}
	w.last++
	answer := make(chan ledger.Result, 1)
	w.waiting[w.last] = answer
	if err := w.conn.Send(wire.Start{ID: w.last, Key: key, Token: token}); err != nil {
		_ = w.conn.Close()
		return nil, false
	}
	return answer, true
}

// receive passes answers on until the connection ends; whoever still waits
// then gets no answer.
func (w *writer) receive(conn *peer.Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			break
		}
		if s, ok := m.(*wire.Started); ok {
			w.answered(s)
		}
	}
	_ = conn.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
	for id, answer := range w.waiting {
		delete(w.waiting, id)
		close(answer)
	}
}

func (w *writer) answered(s *wire.Started) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, ok := w.waiting[s.ID]; ok {
		delete(w.waiting, s.ID)
		answer <- ledger.Result(s.Result)
	}
}
