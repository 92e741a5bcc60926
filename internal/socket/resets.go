package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a TCP connection that was reset, or has ended on both sides (TCP_CLOSE).
const tcpClosed = 7

// ReportResets wraps a TCP connection that may be read while it is written. Linux reports a lost connection once, to the
// first call that comes: if that is a write, a read beside it sees the end of the stream, as if the peer had ended it in order. The
// reads of the returned connection end with the error of that write instead.
func ReportResets(c net.Conn) net.Conn { return &resetConn{Conn: c} }

// DialReporting returns a function that opens connections with d and wraps them with ReportResets.
func DialReporting(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return ReportResets(c), nil
	}
}

// resetConn is a connection whose writes record that it is lost.
type resetConn struct {
	net.Conn
	// writes is held by each write until it has recorded its error.
	writes sync.Mutex
	lost   atomic.Pointer[error]
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writes.Lock()
	defer c.writes.Unlock()
	n, err := c.Conn.Write(p)
	if endsConnection(err) {
		c.lost.Store(&err)
	}
	return n, err
}

// endsConnection reports whether the error of a write means that the connection was lost. After a peer has ended its stream in
// order, writes that it doesn't read fail with EPIPE: what it sent before is whole.
func endsConnection(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if c.closed() {
		// A write in progress returns at once.
		c.writes.Lock()
		defer c.writes.Unlock()
	}
	if lost := c.lost.Load(); lost != nil {
		return n, *lost
	}
	return n, err
}

// closed reports whether nothing can be sent on the connection any more.
func (c *resetConn) closed() bool {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClosed
	})
	return err == nil && closed
}

// CloseWrite ends the stream of what is sent, if the connection supports that.
func (c *resetConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}
