package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// idSize is the length of an ID in bytes. 128 bits of SHA-256 are enough that no client
// finds a request with the ID of another's.
const idSize = 16

// shownBytes of an ID are written in log lines.
const shownBytes = 6

// ID stands for the content of a request: tries of the same request have the same ID.
// It decides whose requests are refused, so it is a hash that clients can't steer, and
// the caller is part of it.
type ID [idSize]byte

// Content is what makes two tries the same request.
type Content struct {
	// Caller is the client account, or the key of a caller without one.
	Caller string
	Method string
	Host   string
	// Target is the path and the query as sent.
	Target string
	Body   []byte
}

// Identify returns the ID of a content. A request of 800 bytes takes 0.9 µs, one of 4 MB
// 3.3 ms (BenchmarkIdentify).
func Identify(c Content) ID {
	h := sha256.New()
	for _, part := range []string{c.Caller, c.Method, c.Host, c.Target} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(c.Body)
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

// ParseID returns the ID of some bytes, as a node tells it another one.
func ParseID(b []byte) (ID, error) {
	var id ID
	if len(b) != idSize {
		return id, fmt.Errorf("a request's identity has %d bytes, not %d", len(b), idSize)
	}
	copy(id[:], b)
	return id, nil
}

// IsZero reports whether the ID stands for no request.
func (id ID) IsZero() bool { return id == ID{} }

// Key is the ID as a key for rendezvous hashing.
func (id ID) Key() uint64 { return binary.LittleEndian.Uint64(id[:8]) }

// String returns the beginning of the ID, as it stands in log lines.
func (id ID) String() string { return hex.EncodeToString(id[:shownBytes]) }
