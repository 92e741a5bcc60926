// Package peer carries wire messages between the system's own processes over
// TCP, with mutual TLS unless the settings allow plain text.
//
// A connection opens with a Hello in each direction. A Hello of another
// protocol version or another system, a role that the receiver does not
// accept, or with TLS a role that differs from the one in the certificate,
// closes the connection.
//
// # Usage
//
//	c, err := peer.Dial(ctx, "10.0.0.1:7200", hello, security)
//	err = c.Send(wire.Gossip{...})
//	m, err := c.Receive()
package peer
