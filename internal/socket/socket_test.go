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
