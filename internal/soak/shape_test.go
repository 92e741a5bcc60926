package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// line is one direction of an instance's link: bytes go out at its rate, in turn.
type line struct {
	perByte time.Duration
	mu      sync.Mutex
	free    time.Time
}

func newLine(mbps float64) *line {
	const bits = 8
	return &line{perByte: time.Duration(bits * 1000 / mbps * float64(time.Nanosecond))}
}

// pass waits until bytes have gone out.
func (l *line) pass(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * l.perByte)
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// shapedChunk is how much of a connection's bytes goes out in one turn, shapedWindow
// what may be on its way: a sender notices a full link.
const (
	shapedChunk  = 8 << 10
	shapedWindow = 128 << 10
)

// shaped passes connections on to an address over an instance's link, and returns
// where they are taken. What comes in and what goes out share nothing but their rate.
func shaped(t testing.TB, target string, mbps float64) string {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	in, out := newLine(mbps), newLine(mbps)
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go connectShaped(caller, target, in, out)
		}
	}()
	return listener.Addr().String()
}

func connectShaped(caller net.Conn, target string, in, out *line) {
	callee, err := net.Dial("tcp", target)
	if err != nil {
		_ = caller.Close()
		return
	}
	for _, c := range []net.Conn{caller, callee} {
		_ = c.(*net.TCPConn).SetReadBuffer(shapedWindow)
		_ = c.(*net.TCPConn).SetWriteBuffer(shapedWindow)
	}
	copyShaped := func(to, from net.Conn, l *line) {
		buffer := make([]byte, shapedChunk)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				l.pass(n)
				if _, failed := to.Write(buffer[:n]); failed != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					break
				}
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	var both sync.WaitGroup
	both.Go(func() { copyShaped(callee, caller, in) })
	both.Go(func() { copyShaped(caller, callee, out) })
	both.Wait()
	_ = caller.Close()
	_ = callee.Close()
}
