package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Refuses reports whether an address refuses connections, because nothing listens there. An address
// that does not respond within ctx does not refuse. A connection that opens is closed at once.
func Refuses(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
