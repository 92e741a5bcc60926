package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// bandwidthLimiter is one direction of an instance's link: bytes go out at its rate, in turn.
type bandwidthLimiter struct {
	perByte  time.Duration
	mu       sync.Mutex
	nextFree time.Time
}

func newBandwidthLimiter(mbps float64) *bandwidthLimiter {
	const bits = 8
	return &bandwidthLimiter{perByte: time.Duration(bits * 1000 / mbps * float64(time.Nanosecond))}
}

// wait waits until bytes have gone out.
func (l *bandwidthLimiter) wait(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	l.nextFree = l.nextFree.Add(time.Duration(bytes) * l.perByte)
	until := l.nextFree
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// shapedChunk is how much of a connection's bytes goes out in one turn, shapedWindow
// what may be on its way: a sender notices a full link.
const (
	shapedChunk  = 8 << 10
	shapedWindow = 128 << 10
)

// startShapedProxy passes connections on to an address over an instance's link, and returns
// where they are taken. What comes in and what goes out share nothing but their rate.
func startShapedProxy(t testing.TB, target string, mbps float64) string {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	in, out := newBandwidthLimiter(mbps), newBandwidthLimiter(mbps)
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

func connectShaped(caller net.Conn, target string, in, out *bandwidthLimiter) {
	callee, err := net.Dial("tcp", target)
	if err != nil {
		_ = caller.Close()
		return
	}
	for _, c := range []net.Conn{caller, callee} {
		_ = c.(*net.TCPConn).SetReadBuffer(shapedWindow)
		_ = c.(*net.TCPConn).SetWriteBuffer(shapedWindow)
	}
	copyShaped := func(to, from net.Conn, l *bandwidthLimiter) {
		buffer := make([]byte, shapedChunk)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				l.wait(n)
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
