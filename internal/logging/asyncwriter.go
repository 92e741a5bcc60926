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

// Priority is the priority of a line when the buffer is short of space.
type Priority int

const (
	// Ordinary lines may use the buffer except for the reserve of urgent lines.
	Ordinary Priority = iota
	// Urgent lines may use the whole buffer. They are warnings and errors, which includes failed
	// requests.
	Urgent
	priorityCount
)

// priorityOf returns the priority of lines at a level.
func priorityOf(l zapcore.Level) Priority {
	if l >= zapcore.WarnLevel {
		return Urgent
	}
	return Ordinary
}

// limit returns the maximum number of buffered bytes, of all priorities, after a line of this
// priority is added.
func (p Priority) limit() int {
	if p == Urgent {
		return maxPending
	}
	return maxPending - urgentReserve
}

// AsyncWriter writes lines in the background, in the order of the calls. It never blocks a caller:
// a line for which the buffer has no space is dropped and counted by its priority, and the next
// flush appends a line with the number of dropped lines. No lock is held while the stream is
// written.
type AsyncWriter struct {
	to io.Writer
	mu sync.Mutex
	// pending never holds more than maxPending bytes.
	pending bytes.Buffer
	dropped [priorityCount]atomic.Uint64
	// reported counts the dropped lines that have been reported in the log.
	reported [priorityCount]uint64
	stop     chan struct{}
	done     chan struct{}
}

// NewAsyncWriter returns a background writer to a stream. The caller must call Stop to write the
// lines that are still buffered.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{to: to, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write adds an ordinary line.
func (w *AsyncWriter) Write(line []byte) (int, error) { return w.enqueue(Ordinary, line) }

// Sync implements zapcore.WriteSyncer. It does nothing.
func (w *AsyncWriter) Sync() error { return nil }

// WriterFor returns a writer that adds lines of a priority.
func (w *AsyncWriter) WriterFor(p Priority) zapcore.WriteSyncer {
	return priorityWriter{AsyncWriter: w, priority: p}
}

// priorityWriter adds lines of one priority to an AsyncWriter.
type priorityWriter struct {
	*AsyncWriter
	priority Priority
}

func (w priorityWriter) Write(line []byte) (int, error) { return w.enqueue(w.priority, line) }

func (w *AsyncWriter) enqueue(p Priority, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending.Len()+len(line) > p.limit() {
		w.dropped[p].Add(1)
		return len(line), nil
	}
	return w.pending.Write(line)
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.DroppedOf(Ordinary) + w.DroppedOf(Urgent) }

// DroppedOf returns the number of dropped lines of a priority.
func (w *AsyncWriter) DroppedOf(p Priority) uint64 { return w.dropped[p].Load() }

// Stop writes the buffered lines and stops the background writer.
func (w *AsyncWriter) Stop() {
	close(w.stop)
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

// flush writes the buffered lines, without holding the lock.
func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines := append([]byte(nil), w.pending.Bytes()...)
	w.pending.Reset()
	w.mu.Unlock()
	lines = w.appendDropReport(lines)
	if len(lines) > 0 {
		_, _ = w.to.Write(lines)
	}
}

// appendDropReport appends a line with the number of lines dropped since the last such line, if any.
func (w *AsyncWriter) appendDropReport(lines []byte) []byte {
	var unreported [priorityCount]uint64
	for p := range priorityCount {
		total := w.DroppedOf(p)
		unreported[p] = total - w.reported[p]
		w.reported[p] = total
	}
	count := unreported[Ordinary] + unreported[Urgent]
	if count == 0 {
		return lines
	}
	return fmt.Appendf(lines, "level=warn msg=\"log lines dropped\" count=%d urgent=%d\n", count, unreported[Urgent])
}
