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

// blockedStream is a stream whose writes block until unblocked is closed.
type blockedStream struct {
	bytes.Buffer
	unblocked chan struct{}
}

func (s *blockedStream) Write(p []byte) (int, error) {
	<-s.unblocked
	return s.Buffer.Write(p)
}

// TestNeverBlocks checks that logging more than the buffer holds to a blocked stream does not block
// the caller, and that the dropped lines are counted and reported in the log.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &blockedStream{unblocked: make(chan struct{})}
		w := NewAsyncWriter(s)
		line := []byte(strings.Repeat("x", 1000) + "\n")
		started := time.Now()
		for range 5000 {
			if _, err := w.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if waited := time.Since(started); waited != 0 {
			t.Errorf("writes blocked for %v", waited)
		}
		if w.Dropped() == 0 {
			t.Error("no line was dropped although the buffer was full")
		}
		close(s.unblocked)
		w.Stop()
		if want := fmt.Sprintf("count=%d", w.Dropped()); !strings.Contains(s.String(), want) {
			t.Errorf("no line reports the dropped lines: %s", want)
		}
	})
}

// floodLines lines of floodLineSize bytes are several times the size of the buffer.
const (
	floodLines    = 5000
	floodLineSize = 1000
)

// newBlockedLog returns a logger to a blocked stream, with a write in progress, and a function that
// unblocks the stream, stops the writer and returns all that was written.
func newBlockedLog(t *testing.T) (*zap.Logger, func() string) {
	t.Helper()
	s := &blockedStream{unblocked: make(chan struct{})}
	log, out, err := NewTo(s, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Info("first")
	time.Sleep(2 * flushInterval)
	return log, func() string {
		close(s.unblocked)
		out.Stop()
		return s.String()
	}
}

// checkBounded checks that no more was buffered than allowed, apart from the line that was being
// written and the one that reports the dropped lines.
func checkBounded(t *testing.T, out string) {
	t.Helper()
	if len(out) > maxPending+floodLineSize {
		t.Errorf("%d bytes were buffered, the maximum is %d", len(out), maxPending)
	}
}

// TestAsyncWriterKeepsFailedRequests checks that the line of a failed request is kept when ordinary
// lines have filled their part of the buffer, and that only ordinary lines are reported as dropped.
func TestAsyncWriterKeepsFailedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, unblock := newBlockedLog(t)
		for range floodLines {
			log.Info(strings.Repeat("x", floodLineSize))
		}
		// Short lines fill the space that is left after the last long one.
		for range floodLines {
			log.Info("y")
		}
		log.Warn("request", zap.String("id", "failed"))
		log.With(zap.String("id", "with")).Error("request")
		out := unblock()
		for _, id := range []string{"id=failed", "id=with"} {
			if strings.Count(out, id) != 1 {
				t.Errorf("the line with %s was written %d times", id, strings.Count(out, id))
			}
		}
		dropped := 2*floodLines - strings.Count(out, "xxx\n") - strings.Count(out, "msg=y\n")
		if want := fmt.Sprintf("msg=\"log lines dropped\" count=%d urgent=0\n", dropped); dropped == 0 || !strings.HasSuffix(out, want) {
			t.Errorf("%d ordinary lines were dropped; the log does not end with %q", dropped, want)
		}
		checkBounded(t, out)
	})
}

// TestAsyncWriterFailedRequestsFlood checks that the buffer stays bounded when it is flooded with
// lines of failed requests, and that the number of dropped ones is reported.
func TestAsyncWriterFailedRequestsFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, unblock := newBlockedLog(t)
		for range floodLines {
			log.Warn(strings.Repeat("x", floodLineSize))
		}
		log.Info("ordinary")
		out := unblock()
		dropped := floodLines - strings.Count(out, "xxx\n")
		if want := fmt.Sprintf("msg=\"log lines dropped\" count=%d urgent=%d\n", dropped+1, dropped); dropped == 0 || !strings.HasSuffix(out, want) {
			t.Errorf("%d lines of failed requests were dropped; the log does not end with %q", dropped, want)
		}
		checkBounded(t, out)
	})
}
