// Package socket provides TCP features that the standard library lacks: the user timeout of a
// connection, and a probe for refused connections.
//
// # Usage
//
//	dialer := net.Dialer{Control: socket.UserTimeout}
//	if socket.Probe(ctx, dial) == socket.Refused { ... }
package socket

import "syscall"

const (
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 0x12
	// userTimeoutMillis is how long sent data may remain unacknowledged before the connection is
	// closed. An instance that lost power does not close its connections.
	userTimeoutMillis = 2500
)

// UserTimeout is a net.Dialer control function that bounds how long a connection to an unresponsive
// peer stays open.
func UserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return optErr
}
