// Package socket provides TCP features that the standard library lacks: connections that end when
// their peer falls silent, and a probe for refused connections.
//
// # Usage
//
//	dialer := socket.Dialer(timeout)
//	if socket.Probe(ctx, dial) == socket.Refused { ... }
package socket

import (
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
)

// Dialer returns a dialer of connections that end when their peer has been silent for about
// UserTimeout, whether or not data is sent. The timeout bounds the opening.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval},
	}
}

// setUserTimeout is a net.Dialer control function that sets UserTimeout.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
