package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is a stream whose reader does not read until it is let go.
type stuck struct {
	bytes.Buffer
	free chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(p)
}

// TestNeverBlocks writes far more than the bound to a stream that is stuck:
// no write waits, the lost lines are counted, and a line tells it.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stuck{free: make(chan struct{})}
		b := NewBounded(s)
		line := []byte(strings.Repeat("x", 1000) + "\n")
		started := time.Now()
		for range 5000 {
			if _, err := b.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if waited := time.Since(started); waited != 0 {
			t.Errorf("writes took %v", waited)
		}
		if b.Dropped() == 0 {
			t.Error("nothing was dropped beyond the bound")
		}
		close(s.free)
		b.Stop()
		if want := fmt.Sprintf("count=%d", b.Dropped()); !strings.Contains(s.String(), want) {
			t.Errorf("no line says that %s lines were dropped", want)
		}
	})
}
