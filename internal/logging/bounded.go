package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// maxPending bounds the bytes of lines that wait to be written.
	maxPending = 1 << 20
	// urgentReserve is the part of maxPending, in bytes, that ordinary lines
	// leave to urgent ones. A request's line takes some 300 bytes, so that it holds
	// 800 requests that fail at once, as when a stop cuts what is in flight, while
	// the stream takes nothing.
	urgentReserve = 256 << 10
)

// Kind is what a line is worth when not all find room.
type Kind int

const (
	// Ordinary lines may use what may wait but for the urgent ones' reserve.
	Ordinary Kind = iota
	// Urgent lines may use all of it: those of failed requests, warnings and
	// errors.
	Urgent
	kinds
)

// kindOf is the one place that decides of which kind a line is: by its level.
func kindOf(l zapcore.Level) Kind {
	if l >= zapcore.WarnLevel {
		return Urgent
	}
	return Ordinary
}

// limit is how many bytes may wait, of all kinds, once a line of this kind has
// been taken.
func (k Kind) limit() int {
	if k == Urgent {
		return maxPending
	}
	return maxPending - urgentReserve
}

// Bounded writes lines in the background. It never makes a caller wait: a
// line that finds too many bytes waiting is dropped and counted by its kind,
// and a line says how many were, once there is room again. Lines are written
// in the order in which they were taken, and no lock is held meanwhile.
type Bounded struct {
	to io.Writer
	mu sync.Mutex
	// pending never holds more than maxPending bytes.
	pending bytes.Buffer
	dropped [kinds]atomic.Uint64
	// told are the dropped lines that a line has told of.
	told [kinds]uint64
	stop chan struct{}
	done chan struct{}
}

// NewBounded returns a writer to a stream; Stop writes what is left.
func NewBounded(to io.Writer) *Bounded {
	b := &Bounded{to: to, stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes one ordinary line.
func (b *Bounded) Write(line []byte) (int, error) { return b.take(Ordinary, line) }

// Sync implements zapcore.WriteSyncer; it does not wait.
func (b *Bounded) Sync() error { return nil }

// WriterFor returns what takes lines of a kind.
func (b *Bounded) WriterFor(k Kind) zapcore.WriteSyncer { return taker{Bounded: b, kind: k} }

// taker takes lines of one kind.
type taker struct {
	*Bounded
	kind Kind
}

func (t taker) Write(line []byte) (int, error) { return t.take(t.kind, line) }

func (b *Bounded) take(k Kind, line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending.Len()+len(line) > k.limit() {
		b.dropped[k].Add(1)
		return len(line), nil
	}
	return b.pending.Write(line)
}

// Dropped returns the number of lines that were dropped.
func (b *Bounded) Dropped() uint64 { return b.DroppedOf(Ordinary) + b.DroppedOf(Urgent) }

// DroppedOf returns the number of lines of a kind that were dropped.
func (b *Bounded) DroppedOf(k Kind) uint64 { return b.dropped[k].Load() }

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
	lines = b.tellDropped(lines)
	if len(lines) > 0 {
		_, _ = b.to.Write(lines)
	}
}

// tellDropped appends a line about what was dropped since the last such line.
func (b *Bounded) tellDropped(lines []byte) []byte {
	var fresh [kinds]uint64
	for k := range kinds {
		now := b.DroppedOf(k)
		fresh[k] = now - b.told[k]
		b.told[k] = now
	}
	count := fresh[Ordinary] + fresh[Urgent]
	if count == 0 {
		return lines
	}
	return fmt.Appendf(lines, "level=warn msg=\"log lines dropped\" count=%d urgent=%d\n", count, fresh[Urgent])
}
