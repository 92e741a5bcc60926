package socket

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// TestSilentSecondKeepsConnection guards against connections that end because a sound peer was silent
// for a second: Linux gives up keep-alive probes at the user timeout whatever their count, so that two
// must be left when one is lost. Without probes, a connection on which nothing is sent never ends.
func TestSilentSecondKeepsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) (value int) {
		if err := raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }); err != nil {
			t.Fatal(err)
		}
		return value
	}
	if option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) == 0 {
		t.Error("no keep-alive probes are sent")
	}
	idle := time.Duration(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)) * time.Second
	timeout := time.Duration(option(syscall.IPPROTO_TCP, tcpUserTimeout)) * time.Millisecond
	if probes := 1 + (timeout-idle)/interval; probes < 3 {
		t.Errorf("%d probes fall within the user timeout of %v (first after %v, then every %v), want 3", probes, timeout, idle, interval)
	}
}

// TestBuffersDoNotGrow guards against socket buffers that the kernel enlarges while the other end of a forwarded
// response reads slowly: what has arrived and is not read counts as memory of its process.
func TestBuffersDoNotGrow(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	server := <-accepted
	defer server.Close()
	for _, c := range []struct {
		name   string
		conn   net.Conn
		option int
	}{{"receive buffer of a connection that was opened", dialed, syscall.SO_RCVBUF}, {"send buffer of one that was accepted", server, syscall.SO_SNDBUF}} {
		raw, err := c.conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var size int
		if err := raw.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, c.option) }); err != nil {
			t.Fatal(err)
		}
		// Linux doubles what is set.
		if size != 2*BufferBytes {
			t.Errorf("%s: %d bytes, want %d", c.name, size, 2*BufferBytes)
		}
	}
}
