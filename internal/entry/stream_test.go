package entry

import (
	"testing"

	"gradetiller.example/internal/core/run"
)

// TestTokensAreDeliveredOnceInOrder checks that a stream accepts only the next
// token of its owner: not a repeated or skipped one, nor one of a superseded
// attempt of the same stage or of an earlier stage.
func TestTokensAreDeliveredOnceInOrder(t *testing.T) {
	s := newStream("a")
	add := func(id run.AttemptID, index int, text string, want bool) {
		t.Helper()
		if got := s.appendToken(id, index, text); got != want {
			t.Errorf("attempt %d, token %d: taken %v, want %v", id, index, got, want)
		}
	}
	s.setOwner(run.Call{Attempt: 1, Stage: "draft"})
	add(1, 0, "draft ", true)
	s.setOwner(run.Call{Attempt: 2, Stage: "final", LastStage: true})
	add(1, 1, "late ", false)
	add(2, 0, "a ", true)
	add(2, 0, "a ", false)
	add(2, 2, "c ", false)
	s.setOwner(run.Call{Attempt: 3, Stage: "final", LastStage: true})
	add(2, 1, "b ", false)
	add(3, 1, "b ", true)
	s.finish(run.Finish{})
	add(3, 2, "c ", false)
	if text, end := s.take(); string(text) != "a b " || end == nil {
		t.Fatalf("text %q, end %v", text, end)
	}
}
