package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"gradetiller.example/client"
	"gradetiller.example/failure"
)

// longStop is a planned stop that no test waits out.
const longStop = time.Minute

// TestStopTakesWhatItCanEnd asks a node that has been told to stop.
//
// What a caller sees: its request is taken, and the connection is closed
// without an answer when the process ends.
// How it comes about: the stop has a last moment, and the request's deadline
// lies behind it.
// The cause: until the node closes it takes every request, although it knows
// when it ends.
// What proves it: of two requests alike, the node refuses as draining the one
// that it can't finish, runs no stage of it, and takes the other.
func TestStopTakesWhatItCanEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		stop   time.Duration
		refuse bool
	}{
		// Requests have 2 s.
		{"ends before the deadline", time.Second, true},
		{"ends after the deadline", longStop, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, 1)
			caller := s.client(0, client.WithRetries(0))
			if _, err := caller.Run(context.Background(), request("plan", "before")); err != nil {
				t.Fatal(err)
			}
			s.startStop(c.stop)
			_, err := caller.Run(context.Background(), request("plan", "late"))
			if !c.refuse {
				if err != nil {
					t.Fatalf("a request that ends in time: %v", err)
				}
				return
			}
			var f *failure.Error
			if !errors.As(err, &f) || f.Kind() != failure.Draining || f.RetryAfter() <= 0 {
				t.Fatalf("answer %v, want %v and a time to come back", err, failure.Draining)
			}
			if n := s.runs("prep", "late"); n != 0 {
				t.Fatalf("ran %d times although it was refused", n)
			}
		})
	}
}

// startStop has the first node begin a planned stop that lasts at most d, and
// ends it with the test.
func (s *system) startStop(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.nodes[0].Drain(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
	for !s.nodes[0].Leaving() {
		time.Sleep(time.Millisecond)
	}
}
