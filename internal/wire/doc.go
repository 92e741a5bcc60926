// Package wire holds the messages between the system's own processes and
// their frame codec.
//
// A frame is a length (4 bytes, big endian, of what follows), a type (1 byte)
// and a msgpack body. Structs are encoded as arrays, so a new field goes to
// the end. Bodies are bounded; a larger length closes the connection before
// anything is allocated for it.
//
// # Usage
//
//	err := wire.Write(w, wire.Gossip{...})
//	m, err := wire.Read(r)
//	switch m := m.(type) { case *wire.Gossip: ... }
package wire
