package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gradetiller.example/internal/socket"
	"gradetiller.example/internal/wire"
)

const (
	// dialTimeout bounds the opening of a connection. Within it, attempts that time out are
	// repeated, each with attemptTimeoutGrowth times the timeout of the previous one: an instance
	// that is still without power drops the first packet, and TCP retransmits it only after a
	// second.
	dialTimeout          = time.Second
	firstAttemptTimeout  = 120 * time.Millisecond
	attemptTimeoutGrowth = 1.5

	helloTimeout = 2 * time.Second
	// writeTimeout bounds a write, so that a slow peer cannot block the sender.
	writeTimeout = 2 * time.Second
)

// Conn is an open connection on which the Hellos have been exchanged.
type Conn struct {
	conn  net.Conn
	in    *bufio.Reader
	hello wire.Hello
	mu    sync.Mutex
	buf   []byte
	sent  atomic.Uint64
}

// Dial opens a connection to an address, which is an IP address and a port. If ctx ends before the
// handshake, the connection is closed.
func Dial(ctx context.Context, address string, self wire.Hello, s *Security) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dialWithRetries(dialCtx, address, dialTCP)
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return open(s.client(conn), self, s, nil)
}

// dialTCP is the dialFunc of TCP.
func dialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return socket.Dialer(timeout).DialContext(ctx, "tcp", address)
}

// dialFunc opens a connection within a timeout.
type dialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// dialWithRetries dials until an attempt succeeds or fails for another reason than a timeout, or
// until ctx is done.
func dialWithRetries(ctx context.Context, address string, dial dialFunc) (net.Conn, error) {
	for timeout := firstAttemptTimeout; ; timeout = time.Duration(attemptTimeoutGrowth * float64(timeout)) {
		started := time.Now()
		conn, err := dial(ctx, address, timeout)
		if err == nil {
			return conn, nil
		}
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		// An attempt that ended before its timeout failed for another reason, or the deadline
		// of ctx has passed although its timer has not fired yet. Retrying at once would be a
		// busy loop.
		if !timedOut || ctx.Err() != nil || time.Since(started) < timeout {
			return nil, err
		}
	}
}

// open exchanges Hellos. It accepts peers of the given roles, or of any role if roles is nil.
func open(conn net.Conn, self wire.Hello, s *Security, roles []wire.Role) (*Conn, error) {
	c := &Conn{conn: conn, in: bufio.NewReader(conn)}
	if err := c.handshake(self, s, roles); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) handshake(self wire.Hello, s *Security, roles []wire.Role) error {
	_ = c.conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := c.Send(self); err != nil {
		return err
	}
	m, err := wire.Read(c.in)
	if err != nil {
		return err
	}
	hello, ok := m.(*wire.Hello)
	if !ok {
		return fmt.Errorf("%w: expected a Hello, got %T", wire.ErrFrame, m)
	}
	if err := checkHello(*hello, self, roles); err != nil {
		return err
	}
	if err := s.checkRole(c.conn, hello.Role); err != nil {
		return err
	}
	c.hello = *hello
	return c.conn.SetDeadline(time.Time{})
}

func checkHello(hello, self wire.Hello, roles []wire.Role) error {
	if hello.Version != wire.Version {
		return fmt.Errorf("%w: peer %q has protocol version %d, this process has %d", wire.ErrFrame, hello.Node, hello.Version, wire.Version)
	}
	if hello.System != self.System {
		return fmt.Errorf("%w: peer %q belongs to system %q, this process to %q", wire.ErrFrame, hello.Node, hello.System, self.System)
	}
	if roles == nil {
		return nil
	}
	for _, r := range roles {
		if r == hello.Role {
			return nil
		}
	}
	return fmt.Errorf("%w: role %q is not accepted here", wire.ErrFrame, hello.Role)
}

// Hello returns the peer's Hello.
func (c *Conn) Hello() wire.Hello { return c.hello }

// Send writes one message. It writes nothing if the peer is of an earlier version that does not know
// the message. It is safe for concurrent use.
func (c *Conn) Send(m wire.Message) error {
	if !c.hello.Knows(m) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	buf, err := wire.Append(c.buf[:0], m)
	if err != nil {
		return err
	}
	c.buf = buf
	if cap(c.buf) > maxRetainedBuffer {
		c.buf = nil
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.conn.Write(buf)
	c.sent.Add(uint64(n))
	if err != nil {
		return fmt.Errorf("send to peer: %w", err)
	}
	return nil
}

const maxRetainedBuffer = 64 << 10

// Receive reads one message. Only one goroutine may receive.
func (c *Conn) Receive() (wire.Message, error) { return wire.Read(c.in) }

// SetReceiveTimeout sets the timeout of the next Receive; 0 means no timeout.
func (c *Conn) SetReceiveTimeout(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = c.conn.SetReadDeadline(at)
}

// Sent returns the number of bytes sent.
func (c *Conn) Sent() uint64 { return c.sent.Load() }

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }
