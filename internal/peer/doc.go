// Package peer transports wire messages between the system's own processes over TCP, with mutual
// TLS unless the settings allow plain text.
//
// A connection begins with a Hello in each direction. It is closed if the Hello has another protocol
// version or system, if the receiver does not accept the role, or if, with TLS, the role is not the
// one in the certificate.
//
// # Usage
//
//	c, err := peer.Dial(ctx, "10.0.0.1:7200", hello, security)
//	err = c.Send(wire.Gossip{...})
//	m, err := c.Receive()
package peer
