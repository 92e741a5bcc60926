// Package socket provides TCP features that the standard library lacks: connections that end when
// their peer falls silent, that never read as ended what was reset, buffers of a fixed size, and a probe for refused
// connections.
//
// # Usage
//
//	dialer := socket.Dialer(timeout)
//	conn, err := socket.DialReporting(dialer)(ctx, "tcp", address)
//	listener, err := socket.Listen(address)
//	if socket.Probe(ctx, dial) == socket.Refused { ... }
package socket

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 0x12
	// UserTimeout is how long sent data may remain unacknowledged before the connection is closed. An
	// instance that lost power does not close its connections. Linux applies it to keep-alive probes
	// too and then ignores their count, so that a probe that is lost while the peer is silent for a
	// second would close the connection if fewer than three fell within the timeout.
	UserTimeout = 3200 * time.Millisecond
	// keepAliveInterval is the time between keep-alive probes, and before the first one. TCP counts
	// it in whole seconds.
	keepAliveInterval = time.Second
	// BufferBytes is the size of the buffers for what a process receives on connections that it opened and sends on
	// those that it accepted, in bytes. Linux reserves as much again for its own use. Left to itself it lets each
	// grow to several megabytes while an endpoint sends faster than the client reads.
	BufferBytes = 128 << 10
)

// Dialer returns a dialer of connections that end when their peer has been silent for about
// UserTimeout, whether or not data is sent, and that buffer BufferBytes of what they receive. The timeout
// bounds the opening.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: setDialOptions,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval},
	}
}

// Listen returns a TCP listener whose connections buffer BufferBytes of what is sent.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// Accepted connections inherit it. It is of no use to fail without it.
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, BufferBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// setDialOptions is a net.Dialer control function that sets UserTimeout and the size of the receive buffer.
func setDialOptions(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
		// A connection without it works as well.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, BufferBytes)
	})
	if err != nil {
		return err
	}
	return optErr
}
