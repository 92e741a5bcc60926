package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxPending bounds the bytes of lines that wait to be written.
const maxPending = 1 << 20

// Bounded writes lines in the background. It never makes a caller wait: a
// line that finds too many bytes waiting is dropped and counted, and a line
// says how many were, once there is room again.
type Bounded struct {
	to      io.Writer
	mu      sync.Mutex
	pending bytes.Buffer
	dropped atomic.Uint64
	told    uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewBounded returns a writer to a stream; Stop writes what is left.
func NewBounded(to io.Writer) *Bounded {
	b := &Bounded{to: to, stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes one line.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending.Len()+len(line) > maxPending {
		b.dropped.Add(1)
		return len(line), nil
	}
	return b.pending.Write(line)
}

// Sync implements zapcore.WriteSyncer; it does not wait.
func (b *Bounded) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Stop writes what is left and ends the background work.
func (b *Bounded) Stop() {
	close(b.stop)
	<-b.done
}

func (b *Bounded) run() {
	defer close(b.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			b.flush()
			return
		case <-ticker.C:
			b.flush()
		}
	}
}

// flush writes the waiting lines, without the lock.
func (b *Bounded) flush() {
	b.mu.Lock()
	lines := append([]byte(nil), b.pending.Bytes()...)
	b.pending.Reset()
	b.mu.Unlock()
	if n := b.dropped.Load(); n != b.told {
		lines = fmt.Appendf(lines, "level=warn msg=\"log lines dropped\" count=%d\n", n-b.told)
		b.told = n
	}
	if len(lines) > 0 {
		_, _ = b.to.Write(lines)
	}
}
