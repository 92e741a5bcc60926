package bounded

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"gradetiller.example/internal/core/membudget"
)

// LimitError is the error of a read of more than Limit bytes. It wraps ErrLimit.
type LimitError struct{ Limit int64 }

// Error implements error.
func (e *LimitError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// Unwrap returns ErrLimit.
func (e *LimitError) Unwrap() error { return ErrLimit }

type options struct{ reservation *membudget.Reservation }

// Option configures ReadAll.
type Option func(*options)

// WithReservation reserves the bytes before they are read. They stay reserved; the caller releases them when it no
// longer holds them.
func WithReservation(r *membudget.Reservation) Option {
	return func(o *options) { o.reservation = r }
}

// ReadAll reads until the end of r. It returns a *LimitError if that does not come within limit bytes, instead of a
// part that looks whole, and ErrNoRoom if they find no room in the reservation's budget.
func ReadAll(r io.Reader, limit int64, opts ...Option) ([]byte, error) {
	o := options{reservation: (*membudget.Budget)(nil).Reservation(membudget.Responses)}
	for _, opt := range opts {
		opt(&o)
	}
	b := NewBuffer(o.reservation, limit)
	err := b.Fill(r)
	if errors.Is(err, ErrLimit) {
		err = expectEnd(r, limit)
	}
	if err != nil {
		return nil, err
	}
	return b.join()
}

// expectEnd returns a *LimitError if r has further bytes.
func expectEnd(r io.Reader, limit int64) error {
	var next [1]byte
	switch _, err := io.ReadFull(r, next[:]); {
	case err == nil:
		return &LimitError{Limit: limit}
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// join returns the bytes of the buffer in one slice.
func (b *Buffer) join() ([]byte, error) {
	if len(b.chunks) == 1 {
		return b.chunks[0], nil
	}
	if !b.reservation.Extend(b.size) {
		return nil, ErrNoRoom
	}
	all := slices.Concat(b.chunks...)
	for _, c := range b.chunks {
		b.reservation.Shrink(int64(cap(c)))
	}
	return all, nil
}
