package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
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

// flood is how many lines of floodLine bytes are written: several times the bound.
const (
	flood     = 5000
	floodLine = 1000
)

// logToStuck returns a log whose stream takes nothing, with a write under way,
// and what ends that and returns all that was written.
func logToStuck(t *testing.T) (*zap.Logger, func() string) {
	t.Helper()
	s := &stuck{free: make(chan struct{})}
	log, out, err := NewTo(s, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Info("first")
	time.Sleep(2 * flushInterval)
	return log, func() string {
		close(s.free)
		out.Stop()
		return s.String()
	}
}

// checkBounded checks that no more waited than may, besides the line that was
// being written and the one that tells of the drop.
func checkBounded(t *testing.T, out string) {
	t.Helper()
	if len(out) > maxPending+floodLine {
		t.Errorf("%d bytes waited, the bound is %d", len(out), maxPending)
	}
}

// TestBoundedKeepsFailedRequests floods a stuck stream with ordinary lines: the
// line of a failed request that comes then is written, and only ordinary ones
// are told as dropped.
func TestBoundedKeepsFailedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, free := logToStuck(t)
		for range flood {
			log.Info(strings.Repeat("x", floodLine))
		}
		// Short lines take what room is left between the last long one and the bound.
		for range flood {
			log.Info("y")
		}
		log.Warn("request", zap.String("id", "failed"))
		log.With(zap.String("id", "with")).Error("request")
		out := free()
		for _, id := range []string{"id=failed", "id=with"} {
			if strings.Count(out, id) != 1 {
				t.Errorf("the line with %s was written %d times", id, strings.Count(out, id))
			}
		}
		lost := 2*flood - strings.Count(out, "xxx\n") - strings.Count(out, "msg=y\n")
		if want := fmt.Sprintf("msg=\"log lines dropped\" count=%d urgent=0\n", lost); lost == 0 || !strings.HasSuffix(out, want) {
			t.Errorf("%d ordinary lines were lost; no line ends the log with %q", lost, want)
		}
		checkBounded(t, out)
	})
}

// TestBoundedFailedRequestsFlood floods a stuck stream with lines of failed
// requests: what waits stays bounded, and a line tells how many of them were
// dropped.
func TestBoundedFailedRequestsFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, free := logToStuck(t)
		for range flood {
			log.Warn(strings.Repeat("x", floodLine))
		}
		log.Info("ordinary")
		out := free()
		lost := flood - strings.Count(out, "xxx\n")
		if want := fmt.Sprintf("msg=\"log lines dropped\" count=%d urgent=%d\n", lost+1, lost); lost == 0 || !strings.HasSuffix(out, want) {
			t.Errorf("%d lines of failed requests were lost; no line ends the log with %q", lost, want)
		}
		checkBounded(t, out)
	})
}
