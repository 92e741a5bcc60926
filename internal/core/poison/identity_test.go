package poison

import (
	"fmt"
	"testing"
)

// TestIdentify checks that each part of a content changes the identity. It guards against
// collisions where the end of one part is the beginning of the next.
func TestIdentify(t *testing.T) {
	contents := []Content{
		{},
		{Caller: "a"},
		{Method: "a"},
		{Host: "a"},
		{Target: "a"},
		{Body: []byte("a")},
		{Caller: "a", Method: "b"},
		{Caller: "ab"},
		{Host: "a", Target: "b"},
		{Target: "ab"},
		{Target: "a", Body: []byte("b")},
	}
	seen := make(map[ID]int)
	for i, c := range contents {
		id := Identify(c)
		if id != Identify(c) || id.IsZero() {
			t.Errorf("content %d has the identities %v and %v", i, id, Identify(c))
		}
		if other, ok := seen[id]; ok {
			t.Errorf("contents %d and %d have the same identity", i, other)
		}
		seen[id] = i
	}
}

// TestParseID checks that an identity survives encoding, and that other lengths are
// rejected.
func TestParseID(t *testing.T) {
	id := Identify(Content{Caller: "clinics"})
	if got, err := ParseID(id[:]); err != nil || got != id {
		t.Errorf("got %v, %v", got, err)
	}
	if _, err := ParseID(id[:5]); err == nil {
		t.Error("five bytes were accepted as an identity")
	}
}

func BenchmarkIdentify(b *testing.B) {
	for _, size := range []int{800, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := Content{Caller: "clinics", Method: "POST", Host: "host", Target: "/book/", Body: make([]byte, size)}
			b.SetBytes(int64(size))
			for b.Loop() {
				Identify(c)
			}
		})
	}
}
