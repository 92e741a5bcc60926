// Package socket sets options of TCP connections that the standard library lacks.
//
// # Usage
//
//	dialer := net.Dialer{Control: socket.UserTimeout}
package socket

import "syscall"

const (
	// tcpUserTimeout is the Linux socket option of that name, which package
	// syscall lacks.
	tcpUserTimeout = 0x12
	// silentPeer is how long sent bytes may stay without acknowledgement, in
	// milliseconds: an instance without power says nothing.
	silentPeer = 2500
)

// UserTimeout is a net.Dialer control function; it bounds how long a silent peer holds a connection.
func UserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, silentPeer)
	})
	if err != nil {
		return err
	}
	return failed
}
