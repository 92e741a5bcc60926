package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Answer is what an address does with a connection.
type Answer int

// Answers. An address that does not respond within the context of the probe gives none.
const (
	NoAnswer Answer = iota
	Accepted
	Refused
)

// Probe opens a connection with dial and closes it at once. An address refuses it if nothing listens
// there.
func Probe(ctx context.Context, dial func(context.Context) (net.Conn, error)) Answer {
	conn, err := dial(ctx)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case err != nil:
		return NoAnswer
	}
	_ = conn.Close()
	return Accepted
}
