package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Refuses reports whether an address refuses a new connection: nothing listens there. An
// address that does not answer at all does not refuse. A connection that comes up is
// closed unused.
func Refuses(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
