package poison

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
)

// idSize is the length of an ID in bytes. With 128 bits of SHA-256 no client can construct
// a request with the ID of another one's.
const idSize = 16

// loggedBytes is the number of bytes of an ID in log lines.
const loggedBytes = 6

// ID identifies a request by its content: retries of a request have the same ID. Since it
// decides whose requests are refused, it is a hash that clients cannot steer, and it covers
// the caller.
type ID [idSize]byte

// Content holds the parts that are equal in all retries of a request.
type Content struct {
	// Caller is the client account, or the API key of a caller without one.
	Caller string
	Method string
	Host   string
	// Target is the path and query as sent.
	Target string
	Body   []byte
}

// Identify returns the ID of a content. It takes 0.9 µs for a request of 800 bytes and
// 3.3 ms for one of 4 MB (BenchmarkIdentify).
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

// maxParts bounds the parts of a prompt that are tracked. Those after the first maxParts are not, so that
// a request with very many of them costs as little as others.
const maxParts = 32

// The lengths of the digests of a part and of its service in a part's ID.
const (
	partDigest    = 12
	serviceDigest = idSize - partDigest
)

// IdentifyPart returns the ID of a part of prompts for a service. What a part does at one service says
// little about another one, whose endpoints run another model.
func IdentifyPart(service, part string) ID {
	var id ID
	p, s := sha256.Sum256([]byte("part "+part)), sha256.Sum256([]byte("service "+service))
	copy(id[:], p[:partDigest])
	copy(id[partDigest:], s[:serviceDigest])
	return id
}

// SamePart reports whether two IDs are those of one prompt part, perhaps at two services.
func SamePart(a, b ID) bool { return bytes.Equal(a[:partDigest], b[:partDigest]) }

// Request holds the IDs of what a request has in common with other requests.
type Request struct {
	// Content is the ID of the content, which the retries of the request have too.
	Content ID
	// Parts are the IDs of the parts of its prompt, which any request may have. The last part of a
	// prompt, which belongs to the request itself, is not among them.
	Parts []ID
}

// Subject is what crashes are counted for: a content, or a part of prompts.
type Subject struct {
	ID   ID
	Part bool
}

// subjects returns the content and the parts of a request.
func (r Request) subjects() []Subject {
	list := make([]Subject, 0, 1+len(r.Parts))
	list = append(list, Subject{ID: r.Content})
	for _, part := range r.Parts {
		list = append(list, Subject{ID: part, Part: true})
	}
	return list
}

// has reports whether an ID is that of the request's content or of one of its parts.
func (r Request) has(id ID) bool { return r.Content == id || slices.Contains(r.Parts, id) }

// NewRequest returns the request with a content and the parts of a prompt for a service, in order.
func NewRequest(content ID, service string, prompt []string) Request {
	r := Request{Content: content}
	if len(prompt) < 2 {
		return r
	}
	shared := prompt[:len(prompt)-1]
	for _, part := range shared[:min(len(shared), maxParts)] {
		if id := IdentifyPart(service, part); !slices.Contains(r.Parts, id) {
			r.Parts = append(r.Parts, id)
		}
	}
	return r
}

func (r Request) equal(o Request) bool {
	return r.Content == o.Content && slices.Equal(r.Parts, o.Parts)
}

// ParseID returns the ID that another node sent as bytes.
func ParseID(b []byte) (ID, error) {
	var id ID
	if len(b) != idSize {
		return id, fmt.Errorf("request identity has %d bytes, want %d", len(b), idSize)
	}
	copy(id[:], b)
	return id, nil
}

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

// Key returns the ID as a key for rendezvous hashing.
func (id ID) Key() uint64 { return binary.LittleEndian.Uint64(id[:8]) }

// String returns the prefix of the ID that is written to log lines.
func (id ID) String() string { return hex.EncodeToString(id[:loggedBytes]) }
