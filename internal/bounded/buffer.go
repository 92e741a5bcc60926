package bounded

import (
	"errors"
	"io"

	"gradetiller.example/internal/core/membudget"
)

var (
	// ErrLimit means that a buffer holds as many bytes as it may, and that there may be more.
	ErrLimit = errors.New("more bytes than may be held of one")
	// ErrNoRoom means that the memory for all that is held is used up.
	ErrNoRoom = errors.New("no memory for further bytes")
)

const (
	// minChunk and maxChunk bound the size of a buffer's chunks in bytes, each of which has twice the size of
	// the one before.
	minChunk = 4 << 10
	maxChunk = 32 << 10
)

// Buffer holds bytes in chunks that are reserved before they are allocated. It grows without copies, so that it
// never takes more memory than it has reserved. It is not safe for concurrent use.
type Buffer struct {
	reservation *membudget.Reservation
	limit       int64
	chunks      [][]byte
	size        int64
	// next is the size of the next chunk.
	next int
}

// NewBuffer returns an empty buffer for at most limit bytes. It reserves nothing yet.
func NewBuffer(r *membudget.Reservation, limit int64) *Buffer {
	return &Buffer{reservation: r, limit: limit, next: minChunk}
}

// Expect sizes the first chunk for a stated number of bytes, or leaves it as it is if the number is negative. A
// wrong statement costs no more than a chunk.
func (b *Buffer) Expect(size int64) {
	if size >= 0 && len(b.chunks) == 0 {
		// One more than stated leaves room for the read that finds the end.
		b.next = int(min(size, maxChunk-1)) + 1
	}
}

// Len returns the number of bytes that the buffer holds.
func (b *Buffer) Len() int64 { return b.size }

// Write implements io.Writer. The error is ErrLimit or ErrNoRoom if only a part of p was appended.
func (b *Buffer) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		free, err := b.free()
		if err != nil {
			return written, err
		}
		n := copy(free, p)
		b.advance(n)
		written += n
		p = p[n:]
	}
	return written, nil
}

// Fill reads until the end of r. If that does not come within the limit or the memory, the error is ErrLimit or
// ErrNoRoom; the buffer holds what was read so far, and the rest is still to be read.
func (b *Buffer) Fill(r io.Reader) error {
	for {
		free, err := b.free()
		if err != nil {
			return err
		}
		n, err := r.Read(free)
		b.advance(n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// free returns the unused part of the last chunk, which is a new one if the one before is full.
func (b *Buffer) free() ([]byte, error) {
	if b.size >= b.limit {
		return nil, ErrLimit
	}
	last := len(b.chunks) - 1
	if last < 0 || len(b.chunks[last]) == cap(b.chunks[last]) {
		size := int(min(int64(b.next), b.limit-b.size))
		if !b.reservation.Extend(int64(size)) {
			return nil, ErrNoRoom
		}
		b.chunks = append(b.chunks, make([]byte, 0, size))
		b.next = min(max(2*b.next, minChunk), maxChunk)
		last++
	}
	c := b.chunks[last]
	return c[len(c):min(int64(cap(c)), int64(len(c))+b.limit-b.size)], nil
}

// advance counts n bytes that were written to the slice that free returned.
func (b *Buffer) advance(n int) {
	last := len(b.chunks) - 1
	b.chunks[last] = b.chunks[last][:len(b.chunks[last])+n]
	b.size += int64(n)
}

// WriteTo implements io.WriterTo. The buffer keeps its bytes.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, c := range b.chunks {
		n, err := w.Write(c)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Pass copies the rest of r to w through one chunk of the buffer, in place of what it held, and returns the number of
// bytes that were written.
func (b *Buffer) Pass(w io.Writer, r io.Reader) (int64, error) {
	b.keepLargest()
	free, err := b.free()
	if err != nil {
		return 0, err
	}
	var passed int64
	for {
		n, readErr := r.Read(free)
		if n > 0 {
			k, err := w.Write(free[:n])
			passed += int64(k)
			if err != nil {
				return passed, err
			}
		}
		if readErr == io.EOF {
			return passed, nil
		}
		if readErr != nil {
			return passed, readErr
		}
	}
}

// keepLargest empties the buffer except for the capacity of its largest chunk.
func (b *Buffer) keepLargest() {
	for i := range b.chunks {
		if cap(b.chunks[i]) > cap(b.chunks[0]) {
			b.chunks[0], b.chunks[i] = b.chunks[i], b.chunks[0]
		}
	}
	b.Reset()
}

// Reset empties the buffer. It keeps the first chunk and its reservation for what comes next.
func (b *Buffer) Reset() {
	if len(b.chunks) == 0 {
		return
	}
	for _, c := range b.chunks[1:] {
		b.reservation.Shrink(int64(cap(c)))
	}
	clear(b.chunks[1:])
	b.chunks = append(b.chunks[:0], b.chunks[0][:0])
	b.next = min(2*cap(b.chunks[0]), maxChunk)
	b.size = 0
}

// Release empties the buffer and returns its reservation.
func (b *Buffer) Release() {
	b.reservation.Release()
	b.chunks, b.size, b.next = nil, 0, minChunk
}
