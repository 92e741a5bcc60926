package place

import (
	"math/rand/v2"
	"testing"
)

// TestKeyIsTheFirstPartThatFits draws prompts of three parts, the last one unique.
// With 80 different first parts, the first part is the key; with three, each of
// them would overload its endpoint, so the second part is.
func TestKeyIsTheFirstPartThatFits(t *testing.T) {
	const endpoints = 18
	for _, c := range []struct {
		name  string
		first uint64 // number of different first parts
		want  int    // expected position of the key
	}{
		{"three first parts", 3, 1},
		{"eighty first parts", 80, 0},
	} {
		s := NewKeySelector()
		r := rand.New(rand.NewPCG(1, 2))
		right, total := 0, 0
		for i := range 400 {
			first := 1 + r.Uint64N(c.first)
			parts := []uint64{first, 1000*first + r.Uint64N(40), 1_000_000 + uint64(i)}
			key := s.Key(c.name, parts, endpoints)
			if i < 50 {
				continue
			}
			total++
			if key == parts[c.want] {
				right++
			}
		}
		if right < total*9/10 {
			t.Errorf("%s: the part at position %d was the key for %d of %d prompts", c.name, c.want, right, total)
		}
	}
}

// TestKeyOfShortPrompts covers prompts with at most one shared part.
func TestKeyOfShortPrompts(t *testing.T) {
	s := NewKeySelector()
	if key := s.Key("none", nil, 4); key != 0 {
		t.Errorf("key %d for a prompt without parts", key)
	}
	if key := s.Key("one", []uint64{7}, 4); key != 7 {
		t.Errorf("key %d for a prompt of one part, want 7", key)
	}
	if key := s.Key("two", []uint64{5, 9}, 4); key != 5 {
		t.Errorf("key %d without samples, want 5, the last shared part", key)
	}
}
