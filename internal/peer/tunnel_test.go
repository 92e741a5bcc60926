package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/wire"
)

// startRelay starts a process that relays each connection to one from dial, and returns a tunnel to it.
func startRelay(t *testing.T, dial func() net.Conn) *Tunnel {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	hello := wire.Hello{Version: wire.Version, System: "s", Role: wire.RoleNode, Kinds: wire.Kinds}
	server := NewServer(l, hello, &Security{}, []wire.Role{wire.RoleNode}, func(c *Conn) {
		c.SetReceiveTimeout(50 * time.Millisecond)
		NewTunnel(c).Relay(dial())
	}, func(err error) { t.Error(err) })
	go func() { _ = server.Serve(ctx) }()
	c, err := Dial(t.Context(), l.Addr().String(), hello, &Security{})
	if err != nil {
		t.Fatal(err)
	}
	tunnel := NewTunnel(c)
	t.Cleanup(func() { _ = tunnel.Close() })
	return tunnel
}

// endpointConn connects to an endpoint that serve implements.
func endpointConn(t *testing.T, serve func(*net.TCPConn)) func() net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		if c, err := l.Accept(); err == nil {
			serve(c.(*net.TCPConn))
		}
	}()
	return func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Error(err)
		}
		return c
	}
}

// TestBrokenTunnelIsNoEnd guards against responses that look complete although the endpoint, or the
// node that relays, was lost in their middle: a response without a length ends with its connection.
func TestBrokenTunnelIsNoEnd(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	for _, c := range []struct {
		name string
		end  func(*net.TCPConn)
		want error
	}{
		{"end", func(c *net.TCPConn) { _ = c.Close() }, nil},
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			tunnel := startRelay(t, endpointConn(t, func(conn *net.TCPConn) {
				_, _ = io.CopyN(conn, conn, int64(len(long)))
				// What was sent must arrive before a reset discards it.
				time.Sleep(200 * time.Millisecond)
				c.end(conn)
			}))
			if _, err := io.WriteString(tunnel, long); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(tunnel)
			if string(got) != long || !errors.Is(err, c.want) {
				t.Errorf("read %d bytes, %v; want %d bytes, %v", len(got), err, len(long), c.want)
			}
		})
	}
	t.Run("relay lost", func(t *testing.T) {
		client, relay := net.Pipe()
		go func() {
			_, _ = NewTunnel(&Conn{conn: relay}).Write([]byte("part"))
			_ = relay.Close()
		}()
		c := &Conn{conn: client}
		c.in = bufio.NewReader(client)
		if got, err := io.ReadAll(NewTunnel(c)); string(got) != "part" || !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("read %q, %v", got, err)
		}
	})
}

// TestTunnelClosesEndpoint guards against endpoints that go on working for a client that has gone: when
// the tunnel is closed, so is the connection to the endpoint.
func TestTunnelClosesEndpoint(t *testing.T) {
	closed := make(chan error, 1)
	tunnel := startRelay(t, endpointConn(t, func(c *net.TCPConn) {
		_, err := io.ReadAll(c)
		closed <- err
	}))
	if _, err := io.WriteString(tunnel, "request"); err != nil {
		t.Fatal(err)
	}
	_ = tunnel.Close()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection to the endpoint stays open")
	}
}

// TestTunnelRejectsFrames guards against a peer whose frames exceed the size of a buffer.
func TestTunnelRejectsFrames(t *testing.T) {
	client, relay := net.Pipe()
	go func() { _, _ = relay.Write([]byte{0xff, 0, 0, 0}) }()
	c := &Conn{conn: client}
	c.in = bufio.NewReader(client)
	if _, err := NewTunnel(c).Read(make([]byte, 10)); !errors.Is(err, errTunnelFrame) {
		t.Errorf("got %v, want %v", err, errTunnelFrame)
	}
}
