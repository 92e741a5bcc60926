package entry

import (
	"testing"

	"gradetiller.example/internal/core/run"
)

// TestTokensComeOnceAndInOrder has three attempts of one stage, and one of an
// earlier stage, add tokens: only the owner's next token is taken.
func TestTokensComeOnceAndInOrder(t *testing.T) {
	s := newStream("a")
	add := func(id run.AttemptID, index int, text string, want bool) {
		t.Helper()
		if got := s.add(id, index, text); got != want {
			t.Errorf("attempt %d, token %d: taken %v, want %v", id, index, got, want)
		}
	}
	s.own(run.Call{Attempt: 1, Stage: "draft"})
	add(1, 0, "draft ", true)
	s.own(run.Call{Attempt: 2, Stage: "final", LastStage: true})
	add(1, 1, "late ", false)
	add(2, 0, "a ", true)
	add(2, 0, "a ", false)
	add(2, 2, "c ", false)
	s.own(run.Call{Attempt: 3, Stage: "final", LastStage: true})
	add(2, 1, "b ", false)
	add(3, 1, "b ", true)
	s.finish(run.Finish{})
	add(3, 2, "c ", false)
	if text, end := s.take(); string(text) != "a b " || end == nil {
		t.Fatalf("text %q, end %v", text, end)
	}
}
