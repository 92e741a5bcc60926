package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gradetiller.example/internal/socket"
)

// mode is what a proxy does with its connections.
type mode int

const (
	// pass forwards all bytes.
	pass mode = iota
	// delay forwards bytes after delayTime.
	delay
	// reset resets open and new connections.
	reset
	// cutForward drops what the caller sends, cutBack what it would receive.
	cutForward
	cutBack
	// cutBoth drops the bytes of both directions.
	cutBoth
)

// modes are the modes that disrupt connections.
var modes = []mode{delay, reset, cutForward, cutBack, cutBoth}

func (m mode) String() string {
	return [...]string{"pass", "delay", "reset", "cut forward", "cut back", "cut both"}[m]
}

const (
	delayTime = 250 * time.Millisecond
	chunkSize = 32 << 10
)

// proxy forwards connections to one address.
type proxy struct {
	address string
	target  string
	mu      sync.Mutex
	mode    mode
	open    map[*link]struct{}
}

// link is a connection through a proxy. A link that dropped bytes is aborted when its proxy
// returns to pass, because the bytes cannot be recovered.
type link struct {
	caller, callee net.Conn
	lost           bool
}

// proxies are all proxies of a run by target address.
type proxies struct {
	t    testing.TB
	mu   sync.Mutex
	list map[string]*proxy
}

// addressOf returns the address of the proxy to a target.
func (p *proxies) addressOf(target string) string { return p.proxyFor(target).address }

// proxyFor returns the proxy to a target, which it starts at the first use.
func (p *proxies) proxyFor(target string) *proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.list[target]; ok {
		return known
	}
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		p.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = listener.Close() })
	x := &proxy{address: listener.Addr().String(), target: target, open: make(map[*link]struct{})}
	p.list[target] = x
	go x.serve(listener)
	return x
}

// set changes the mode. It aborts links that dropped bytes if the new mode is pass, and all
// links if it is reset.
func (x *proxy) set(m mode) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mode = m
	for l := range x.open {
		if m == reset || m == pass && l.lost {
			l.abort()
		}
	}
}

func (x *proxy) current() mode {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.mode
}

func (x *proxy) serve(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		go x.connect(caller)
	}
}

func (x *proxy) connect(caller net.Conn) {
	if x.current() == reset {
		(&link{caller: caller}).abort()
		return
	}
	callee, err := net.Dial("tcp", x.target)
	if err != nil {
		(&link{caller: caller}).abort()
		return
	}
	l := &link{caller: caller, callee: callee}
	x.mu.Lock()
	x.open[l] = struct{}{}
	x.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	// Each is read while it is written: a reset must be passed on as one, not as an end.
	here, there := socket.ReportResets(caller), socket.ReportResets(callee)
	go func() { defer both.Done(); x.copy(l, there, here, cutForward) }()
	go func() { defer both.Done(); x.copy(l, here, there, cutBack) }()
	both.Wait()
	x.mu.Lock()
	delete(x.open, l)
	x.mu.Unlock()
	_ = caller.Close()
	_ = callee.Close()
}

// copy forwards bytes in one direction. The mode lost drops them.
func (x *proxy) copy(l *link, to, from net.Conn, lost mode) {
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		m := x.current()
		if m == delay {
			time.Sleep(delayTime)
		}
		if m == lost || m == cutBoth {
			x.mu.Lock()
			l.lost = l.lost || n > 0
			x.mu.Unlock()
			n = 0
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				l.abort()
				return
			}
		}
		switch {
		case err == io.EOF:
			if half, ok := to.(interface{ CloseWrite() error }); ok && m != lost && m != cutBoth {
				_ = half.CloseWrite()
			}
			return
		case err != nil:
			l.abort()
			return
		}
	}
}

// abort resets both connections.
func (l *link) abort() {
	for _, c := range []net.Conn{l.caller, l.callee} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}
