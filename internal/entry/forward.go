package entry

import (
	"context"
	"sync"
	"time"

	"gradetiller.example/internal/core/ledger"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

// forwardTimeout bounds the wait for a writer. It covers the writer's interval
// between transactions, one transaction and one read-back.
const forwardTimeout = time.Second

// forwarder sends records to other entries, which store them.
type forwarder struct {
	mu       sync.Mutex
	ctx      context.Context
	hello    wire.Hello
	security *peer.Security
	writers  map[string]*writer
}

// writer is the connection to another entry that writes records.
type writer struct {
	mu      sync.Mutex
	conn    *peer.Conn
	lastID  uint64
	pending map[uint64]chan ledger.Result
}

// enable allows forwarding until ctx is done.
func (f *forwarder) enable(ctx context.Context, hello wire.Hello, s *peer.Security) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ctx, f.hello, f.security, f.writers = ctx, hello, s, make(map[string]*writer)
}

// store asks the entry at an address to store a record. It reports false if
// there was no answer; the record may be stored nevertheless.
func (f *forwarder) store(address, key, token string) (ledger.Result, bool) {
	w, ctx := f.writerAt(address)
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

func (f *forwarder) writerAt(address string) (*writer, context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil {
		return nil, nil
	}
	w, ok := f.writers[address]
	if !ok {
		w = &writer{pending: make(map[uint64]chan ledger.Result)}
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
	w.lastID++
	answer := make(chan ledger.Result, 1)
	w.pending[w.lastID] = answer
	if err := w.conn.Send(wire.Start{ID: w.lastID, Key: key, Token: token}); err != nil {
		_ = w.conn.Close()
		return nil, false
	}
	return answer, true
}

// receive delivers answers until the connection ends, and then closes the
// channels of all pending requests.
func (w *writer) receive(conn *peer.Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			break
		}
		if s, ok := m.(*wire.Started); ok {
			w.deliver(s)
		}
	}
	_ = conn.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
	for id, answer := range w.pending {
		delete(w.pending, id)
		close(answer)
	}
}

func (w *writer) deliver(s *wire.Started) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, ok := w.pending[s.ID]; ok {
		delete(w.pending, s.ID)
		answer <- ledger.Result(s.Result)
	}
}
