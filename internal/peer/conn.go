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
	// dialTimeout bounds the opening of a connection. Within it attempts follow
	// each other, each with attemptGrowth times the time of the one before: a
	// instance that is still without power drops the first packet, and TCP sends
	// it again only after a second.
	dialTimeout   = time.Second
	firstAttempt  = 120 * time.Millisecond
	attemptGrowth = 1.5

	helloTimeout = 2 * time.Second
	// writeTimeout bounds a write, so that a slow peer cannot hold the sender.
	writeTimeout = 2 * time.Second
)

// Conn is an open connection after its Hellos.
type Conn struct {
	conn  net.Conn
	in    *bufio.Reader
	hello wire.Hello
	mu    sync.Mutex
	buf   []byte
	sent  atomic.Uint64
}

// Dial opens a connection to an IP address and port.
func Dial(ctx context.Context, address string, self wire.Hello, s *Security) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := attemptDials(ctx, address, dialTCP)
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	return open(s.client(conn), self, s, nil)
}

// dialTCP opens a TCP connection within a time.
func dialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Control: socket.UserTimeout, Timeout: timeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// dialFunc opens a connection within a time.
type dialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// attemptDials dials until an attempt succeeds or fails for another reason than
// silence, or ctx ends.
func attemptDials(ctx context.Context, address string, dial dialFunc) (net.Conn, error) {
	for timeout := firstAttempt; ; timeout = time.Duration(attemptGrowth * float64(timeout)) {
		started := time.Now()
		conn, err := dial(ctx, address, timeout)
		if err == nil {
			return conn, nil
		}
		var silence net.Error
		silent := errors.As(err, &silence) && silence.Timeout()
		// An attempt that ended before its time failed for another reason, or
		// ctx is over although its timer has not fired yet; to dial on at once
		// would keep the processor busy.
		if !silent || ctx.Err() != nil || time.Since(started) < timeout {
			return nil, err
		}
	}
}

// open exchanges Hellos. roles lists the roles accepted; nil accepts all.
func open(conn net.Conn, self wire.Hello, s *Security, roles []wire.Role) (*Conn, error) {
	c := &Conn{conn: conn, in: bufio.NewReader(conn)}
	if err := c.greet(self, s, roles); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) greet(self wire.Hello, s *Security, roles []wire.Role) error {
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
		return fmt.Errorf("%w: expected a hello, got %T", wire.ErrFrame, m)
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
		return fmt.Errorf("%w: peer %q is of system %q, this process of %q", wire.ErrFrame, hello.Node, hello.System, self.System)
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

// Hello returns the other side's Hello.
func (c *Conn) Hello() wire.Hello { return c.hello }

// Send writes one message. It is safe for concurrent use.
func (c *Conn) Send(m wire.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	buf, err := wire.Append(c.buf[:0], m)
	if err != nil {
		return err
	}
	c.buf = buf
	if cap(c.buf) > maxKeptBuffer {
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

const maxKeptBuffer = 64 << 10

// Receive reads one message. Only one goroutine may receive.
func (c *Conn) Receive() (wire.Message, error) { return wire.Read(c.in) }

// SetReceiveTimeout bounds the wait of the next Receive; 0 means no bound.
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
