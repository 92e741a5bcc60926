package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxTunnelFrame bounds the bytes in a frame of a tunnel.
	maxTunnelFrame = 16 << 10
	tunnelHeader   = 4
)

// errTunnelFrame reports a frame of a tunnel with an invalid length.
var errTunnelFrame = errors.New("invalid frame length in a tunnel")

// Tunnel is a net.Conn that carries a stream of bytes over a Conn, which carries no messages
// afterwards. The end of the stream is sent explicitly (CloseWrite): a tunnel that breaks, because
// a process or its connection is lost, is read with an error and never looks like a stream that
// ended.
type Tunnel struct {
	conn *Conn
	// left is the number of bytes to read of the present frame, and ended is true after the last.
	left  int
	ended bool

	mu  sync.Mutex
	buf []byte
}

// NewTunnel returns a tunnel over a connection on which no message is in flight. Timeouts that were
// set for messages don't apply to it.
func NewTunnel(c *Conn) *Tunnel {
	_ = c.conn.SetDeadline(time.Time{})
	return &Tunnel{conn: c}
}

// Read implements net.Conn. It returns io.EOF only after the peer's CloseWrite.
func (t *Tunnel) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	for t.left == 0 {
		if t.ended {
			return 0, io.EOF
		}
		var header [tunnelHeader]byte
		if _, err := io.ReadFull(t.conn.in, header[:]); err != nil {
			return 0, unexpected(err)
		}
		size := binary.BigEndian.Uint32(header[:])
		if size > maxTunnelFrame {
			return 0, fmt.Errorf("%w: %d bytes, the maximum is %d", errTunnelFrame, size, maxTunnelFrame)
		}
		t.left, t.ended = int(size), size == 0
	}
	n, err := t.conn.in.Read(b[:min(len(b), t.left)])
	t.left -= n
	return n, unexpected(err)
}

// unexpected returns io.ErrUnexpectedEOF for an end of the connection, which is not that of the
// stream.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write implements net.Conn.
func (t *Tunnel) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	written := 0
	for len(b) > 0 {
		n := min(len(b), maxTunnelFrame)
		if err := t.writeFrame(b[:n]); err != nil {
			return written, err
		}
		written += n
		b = b[n:]
	}
	return written, nil
}

// writeFrame writes a frame in a single call. The caller must hold the lock.
func (t *Tunnel) writeFrame(b []byte) error {
	t.buf = binary.BigEndian.AppendUint32(t.buf[:0], uint32(len(b)))
	t.buf = append(t.buf, b...)
	_, err := t.conn.conn.Write(t.buf)
	return err
}

// CloseWrite tells the peer that the stream has ended.
func (t *Tunnel) CloseWrite() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writeFrame(nil)
}

// Close implements net.Conn. It does not end the stream: the peer reads an error.
func (t *Tunnel) Close() error { return t.conn.Close() }

// LocalAddr implements net.Conn.
func (t *Tunnel) LocalAddr() net.Addr { return t.conn.conn.LocalAddr() }

// RemoteAddr implements net.Conn. It returns the address of the relay.
func (t *Tunnel) RemoteAddr() net.Addr { return t.conn.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (t *Tunnel) SetDeadline(at time.Time) error { return t.conn.conn.SetDeadline(at) }

// SetReadDeadline implements net.Conn.
func (t *Tunnel) SetReadDeadline(at time.Time) error { return t.conn.conn.SetReadDeadline(at) }

// SetWriteDeadline implements net.Conn.
func (t *Tunnel) SetWriteDeadline(at time.Time) error { return t.conn.conn.SetWriteDeadline(at) }

// Relay copies between the tunnel and a connection to an endpoint until either ends, and closes
// both. An end of the endpoint's stream is passed on as such, an error as a broken tunnel. When the
// peer ends the tunnel, it has given up what it sent, so the endpoint's connection is closed at once.
func (t *Tunnel) Relay(endpoint net.Conn) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.CopyBuffer(endpoint, struct{ io.Reader }{t}, make([]byte, maxTunnelFrame))
		_ = endpoint.Close()
	}()
	_, err := io.CopyBuffer(struct{ io.Writer }{t}, endpoint, make([]byte, maxTunnelFrame))
	if err == nil {
		// The peer closes the tunnel once it has read the end.
		if t.CloseWrite() == nil {
			_ = t.SetReadDeadline(time.Now().Add(tunnelLinger))
			<-done
		}
	}
	_ = t.Close()
	_ = endpoint.Close()
	<-done
}

// tunnelLinger is how long a peer may take to close a tunnel whose stream has ended.
const tunnelLinger = 5 * time.Second
