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
	// maxPending bounds the buffered lines, in bytes.
	maxPending = 1 << 20
	// urgentReserve is the part of maxPending, in bytes, that is reserved for urgent lines. A
	// request's line has about 300 bytes, so the reserve holds 800 requests that fail at once,
	// for example in a shutdown that cancels them, while the stream is blocked.
	urgentReserve = 256 << 10
)

// Kind is the priority of a line when the buffer is short of space.
type Kind int

const (
	// Ordinary lines may use the buffer except for the reserve of urgent lines.
	Ordinary Kind = iota
	// Urgent lines may use the whole buffer. They are warnings and errors, which includes failed
	// requests.
	Urgent
	kindCount
)

// kindOf returns the kind of lines at a level.
func kindOf(l zapcore.Level) Kind {
	if l >= zapcore.WarnLevel {
		return Urgent
	}
	return Ordinary
}

// limit returns the maximum number of buffered bytes, of all kinds, after a line of this kind is
// added.
func (k Kind) limit() int {
	if k == Urgent {
		return maxPending
	}
	return maxPending - urgentReserve
}

// Bounded writes lines in the background, in the order of the calls. It never blocks a caller: a line
// for which the buffer has no space is dropped and counted by its kind, and the next flush appends a
// line with the number of dropped lines. No lock is held while the stream is written.
type Bounded struct {
	to io.Writer
	mu sync.Mutex
	// pending never holds more than maxPending bytes.
	pending bytes.Buffer
	dropped [kindCount]atomic.Uint64
	// reported counts the dropped lines that have been reported in the log.
	reported [kindCount]uint64
	stop     chan struct{}
	done     chan struct{}
}

// NewBounded returns a background writer to a stream. The caller must call Stop to write the lines
// that are still buffered.
func NewBounded(to io.Writer) *Bounded {
	b := &Bounded{to: to, stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write adds an ordinary line.
func (b *Bounded) Write(line []byte) (int, error) { return b.enqueue(Ordinary, line) }

// Sync implements zapcore.WriteSyncer. It does nothing.
func (b *Bounded) Sync() error { return nil }

// WriterFor returns a writer that adds lines of a kind.
func (b *Bounded) WriterFor(k Kind) zapcore.WriteSyncer { return kindWriter{Bounded: b, kind: k} }

// kindWriter adds lines of one kind to a Bounded.
type kindWriter struct {
	*Bounded
	kind Kind
}

func (w kindWriter) Write(line []byte) (int, error) { return w.enqueue(w.kind, line) }

func (b *Bounded) enqueue(k Kind, line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending.Len()+len(line) > k.limit() {
		b.dropped[k].Add(1)
		return len(line), nil
	}
	return b.pending.Write(line)
}

// Dropped returns the number of dropped lines.
func (b *Bounded) Dropped() uint64 { return b.DroppedOf(Ordinary) + b.DroppedOf(Urgent) }

// DroppedOf returns the number of dropped lines of a kind.
func (b *Bounded) DroppedOf(k Kind) uint64 { return b.dropped[k].Load() }

// Stop writes the buffered lines and stops the background writer.
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

// flush writes the buffered lines, without holding the lock.
func (b *Bounded) flush() {
	b.mu.Lock()
	lines := append([]byte(nil), b.pending.Bytes()...)
	b.pending.Reset()
	b.mu.Unlock()
	lines = b.appendDropReport(lines)
	if len(lines) > 0 {
		_, _ = b.to.Write(lines)
	}
}

// appendDropReport appends a line with the number of lines dropped since the last such line, if any.
func (b *Bounded) appendDropReport(lines []byte) []byte {
	var unreported [kindCount]uint64
	for k := range kindCount {
		total := b.DroppedOf(k)
		unreported[k] = total - b.reported[k]
		b.reported[k] = total
	}
	count := unreported[Ordinary] + unreported[Urgent]
	if count == 0 {
		return lines
	}
	return fmt.Appendf(lines, "level=warn msg=\"log lines dropped\" count=%d urgent=%d\n", count, unreported[Urgent])
}
