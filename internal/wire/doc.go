// Package wire defines the messages between the system's own processes and their frame codec.
//
// A frame consists of a length (4 bytes, big endian, excluding itself), a type (1 byte) and a
// msgpack body. Structs are encoded as arrays. New fields are added at the end only, and messages
// with fewer or more fields than their type has here are accepted; any other change of fields
// raises Version. Lengths are bounded: a longer frame is an error before memory is allocated for
// it.
//
// # Usage
//
//	err := wire.Write(w, wire.Gossip{...})
//	m, err := wire.Read(r)
//	switch m := m.(type) { case *wire.Gossip: ... }
package wire
