package condwrite

import (
	"testing"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"
)

// store is a row with its history, and delayed writes.
type store struct {
	version int64
	history []int // writer of each version
	delayed []func()
}

func (s *store) write(base int64, writer int) bool {
	if s.version != base {
		return false
	}
	s.version++
	s.history = append(s.history, writer)
	return true
}

func (s *store) holds(writer int) bool {
	for _, w := range s.history {
		if w == writer {
			return true
		}
	}
	return false
}

// TestOutcomeMatchesHistory runs two writers on one base version against a store
// that refuses writes, loses responses before or after the effect, and delays
// writes. The outcome of each writer must match the row's history, also after
// every delayed write has arrived.
func TestOutcomeMatchesHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		writers := []*Write{New(0), New(0)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(s.delayed) > 0 && rapid.Bool().Draw(t, "deliver") {
				s.delayed[0]()
				s.delayed = s.delayed[1:]
			}
			me := rapid.IntRange(0, 1).Draw(t, "writer")
			step(t, s, writers[me], me)
		}
		outcomes := make([]Outcome, len(writers))
		for i, w := range writers {
			outcomes[i] = w.Outcome()
		}
		for _, deliver := range s.delayed {
			deliver()
		}
		for i, o := range outcomes {
			if o == Applied && !s.holds(i) {
				t.Fatalf("writer %d has outcome done, history %v", i, s.history)
			}
			if (o == Superseded || o == NotApplied) && s.holds(i) {
				t.Fatalf("writer %d has outcome %v, history %v", i, o, s.history)
			}
		}
		if len(s.history) > 1 {
			t.Fatalf("two writers on one base both took effect: %v", s.history)
		}
	})
}

func step(t *rapid.T, s *store, w *Write, me int) {
	switch w.Next() {
	case Send:
		switch rapid.IntRange(0, 4).Draw(t, "fate") {
		case 0:
			w.WriteDone(Refused)
		case 1:
			w.WriteDone(ResponseLost)
		case 2:
			s.write(0, me)
			w.WriteDone(ResponseLost)
		case 3:
			s.delayed = append(s.delayed, func() { s.write(0, me) })
			w.WriteDone(ResponseLost)
		case 4:
			if s.write(0, me) {
				w.WriteDone(Accepted)
			} else {
				w.WriteDone(Conflict)
			}
		}
	case ReadBack:
		if rapid.Bool().Draw(t, "readable") {
			w.ReadDone(s.version, s.holds(me))
		}
	}
}
