package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// bandwidthLimiter limits the bandwidth of one direction of an instance's link, which all its
// connections share.
type bandwidthLimiter struct {
	perByte  time.Duration
	mu       sync.Mutex
	nextFree time.Time
}

func newBandwidthLimiter(mbps float64) *bandwidthLimiter {
	const bits = 8
	return &bandwidthLimiter{perByte: time.Duration(bits * 1000 / mbps * float64(time.Nanosecond))}
}

// wait waits until the given number of bytes has been sent.
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

// shapedChunk is the number of bytes of a connection that are sent at a time. shapedWindow is the
// size of the socket buffers, which is small so that a congested link blocks the sender.
const (
	shapedChunk  = 8 << 10
	shapedWindow = 128 << 10
)

// startShapedProxy starts a proxy that forwards connections to an address with the bandwidth of
// an instance's link, and returns its address. Both directions have the same bandwidth,
// independently of each other.
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
