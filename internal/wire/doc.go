// Package wire holds the messages between the system's own processes and
// their frame codec.
//
// A frame is a length (4 bytes, big endian, of what follows), a type (1 byte)
// and a msgpack body. Structs are encoded as arrays, so a change of fields
// raises Version. Lengths are bounded; a larger one closes the connection before
// anything is allocated for it.
//
// # Usage
//
//	err := wire.Write(w, wire.Gossip{...})
//	m, err := wire.Read(r)
//	switch m := m.(type) { case *wire.Gossip: ... }
package wire
