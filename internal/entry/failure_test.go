package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gradetiller.example/client"
	"gradetiller.example/failure"
	"gradetiller.example/internal/standin"
)

var closeFaults = []standin.Fault{
	standin.FaultCloseHeaders, standin.FaultCloseBody, standin.FaultCloseWork, standin.FaultCloseAnswer,
}

// TestNonRepeatableCallIsNeverRepeated closes the connection at every point of
// a call that is not repeatable, on a new and on a reused connection. The
// endpoint must run the call at most once, and the client must never be told
// "not run".
func TestNonRepeatableCallIsNeverRepeated(t *testing.T) {
	for _, warm := range []bool{false, true} {
		for _, point := range closeFaults {
			id := fmt.Sprintf("%s-%v", point, warm)
			t.Run(id, func(t *testing.T) {
				s := newSystem(t, 1)
				c := s.client(0)
				if warm {
					if _, err := c.Run(context.Background(), request("look", id+"-warm")); err != nil {
						t.Fatal(err)
					}
				}
				s.fault("desk1", point, 1)
				_, err := c.Run(context.Background(), request("sell", id))
				if got := failure.KindOf(err); got != failure.StageUnknown {
					t.Errorf("answer %v, want %v", err, failure.StageUnknown)
				}
				if n := s.runs("desk", id); n > 1 {
					t.Errorf("the endpoint ran it %d times", n)
				}
			})
		}
	}
}

// TestRepeatableCallIsRetried closes the connection at every point of a
// repeatable call. The client must get the complete answer.
func TestRepeatableCallIsRetried(t *testing.T) {
	for i, point := range closeFaults {
		s := newSystem(t, 1)
		c := s.client(0, client.WithRetries(0))
		id := fmt.Sprint("p", i)
		s.fault("prep", point, 1)
		answer, err := c.Run(context.Background(), request("plan", id))
		if err != nil {
			t.Fatalf("%s: %v", point, err)
		}
		if answer.Output() != fullText(id) {
			t.Errorf("%s: answer %q", point, answer.Output())
		}
	}
}

// TestUnreachableEndpointIsNotRun checks that an at-most-once request whose only
// endpoint accepts no connections is refused as not run, and that a retry with
// the same id runs once the endpoint is back.
func TestUnreachableEndpointIsNotRun(t *testing.T) {
	s := newSystem(t, 1)
	s.fault("desk1", standin.FaultRefuse, 0)
	c := s.client(0, client.WithRetries(0))
	_, err := c.Run(context.Background(), request("sell", "x"))
	if got := failure.KindOf(err); got.Answer().Ran() != failure.RanNo {
		t.Fatalf("answer %v, want one that says not run", err)
	}
	s.fault("desk1", standin.FaultNone, 0)
	deadline := time.Now().Add(5 * time.Second)
	for {
		if _, err = c.Run(context.Background(), request("sell", "x")); err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("retry: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := s.runs("desk", "x"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestStreamResumes checks that the client gets every token exactly once if
// the endpoint's stream breaks midway.
func TestStreamResumes(t *testing.T) {
	s := newSystem(t, 1)
	c := s.client(0, client.WithRetries(0))
	s.fault("lm", standin.FaultCloseAnswer, 1)
	answer, err := c.Stream(context.Background(), request("plan", "st"), func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	if answer.Output() != fullText("st") {
		t.Fatalf("answer %q", answer.Output())
	}
	// Each of the two engines broke its first stream.
	if n := s.nodes[0].Counters().Resumes; n != 2 {
		t.Fatalf("%d resumes", n)
	}
}

// TestStoreAwayIsNotRun checks that without the store an at-most-once request is
// refused as not run without delay, and that other requests are served.
func TestStoreAwayIsNotRun(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultOutage, standin.FaultHang, standin.FaultLoseAnswer} {
		t.Run(string(fault), func(t *testing.T) {
			s := newSystem(t, 1)
			c := s.client(0, client.WithRetries(0))
			s.fault("platform", fault, 0)
			_, err := c.Run(context.Background(), request("sell", "x"))
			if fault == standin.FaultLoseAnswer {
				// The row is read back, so the request runs nevertheless.
				if err != nil || s.runs("desk", "x") != 1 {
					t.Fatalf("answer %v, ran %d times", err, s.runs("desk", "x"))
				}
				return
			}
			if got := failure.KindOf(err); got != failure.StoreAway {
				t.Fatalf("answer %v, want %v", err, failure.StoreAway)
			}
			if n := s.runs("desk", "x"); n != 0 {
				t.Fatalf("ran %d times although the answer was not run", n)
			}
			if _, err := c.Run(context.Background(), request("plan", "y")); err != nil {
				t.Fatalf("a request that needs no store: %v", err)
			}
		})
	}
}

// TestAtMostOnceAcrossNodes checks that an at-most-once request sent to several
// nodes concurrently runs on one of them.
func TestAtMostOnceAcrossNodes(t *testing.T) {
	s := newSystem(t, 3)
	results := make(chan error, len(s.nodes))
	for i := range s.nodes {
		c := s.client(i, client.WithRetries(0))
		go func() {
			_, err := c.Run(context.Background(), request("sell", "same"))
			results <- err
		}()
	}
	complete := 0
	for range s.nodes {
		err := <-results
		switch {
		case err == nil:
			complete++
		case failure.KindOf(err) != failure.AlreadyStarted:
			t.Errorf("answer %v, want %v", err, failure.AlreadyStarted)
		}
	}
	if n := s.runs("desk", "same"); n != 1 || complete != 1 {
		t.Fatalf("ran %d times, %d complete answers", n, complete)
	}
}

// TestDrainingEndpointGetsNoCalls checks that an endpoint gets no new calls
// after it has refused one because it is draining.
func TestDrainingEndpointGetsNoCalls(t *testing.T) {
	s := newSystem(t, 1)
	c := s.client(0)
	s.fault("s1", standin.FaultLeaving, 0)
	for i := range 30 {
		if _, err := c.Run(context.Background(), request("plan", fmt.Sprint("l", i))); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.nodes[0].Counters().Retries; n > 1 {
		t.Fatalf("%d calls were sent to a draining endpoint and retried, want at most 1", n)
	}
}

// TestHangingEndpointIsHedged checks that calls to a hanging endpoint are
// hedged, so that no request fails.
func TestHangingEndpointIsHedged(t *testing.T) {
	s := newSystem(t, 1)
	c := s.client(0)
	for i := range 20 {
		if _, err := c.Run(context.Background(), request("plan", fmt.Sprint("w", i))); err != nil {
			t.Fatal(err)
		}
	}
	s.fault("s1", standin.FaultHang, 0)
	// The policy chooses the endpoint. It may avoid the hanging one until its
	// measurements have expired, so send requests until one is hedged.
	for i := 0; s.nodes[0].Counters().Hedges == 0; i++ {
		if i == 1000 {
			t.Fatal("no call was hedged")
		}
		if _, err := c.Run(context.Background(), request("plan", fmt.Sprint("h", i))); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

// TestCancel checks that a request in flight can be canceled by its id.
func TestCancel(t *testing.T) {
	s := newSystem(t, 1)
	s.fault("desk1", standin.FaultHang, 0)
	c := s.client(0, client.WithRetries(0))
	result := make(chan error)
	go func() {
		_, err := c.Run(context.Background(), request("sell", "x"))
		result <- err
	}()
	for s.runs("desk", "x") == 0 {
		time.Sleep(time.Millisecond)
	}
	if !s.nodes[0].CancelRequest("a", "x") {
		t.Fatal("the request was not found")
	}
	if err := <-result; failure.KindOf(err) != failure.Canceled {
		t.Fatalf("answer %v, want %v", err, failure.Canceled)
	}
}

// TestLeavingNodeIsNotLocated checks that a leaving node removes itself from its
// own locate responses immediately and continues to serve.
func TestLeavingNodeIsNotLocated(t *testing.T) {
	s := newSystem(t, 2)
	s.nodes[0].Leave()
	for _, e := range s.nodes[0].table.Load().Entries("a", "r", "d1") {
		if e.Node == "n0" {
			t.Fatal("a leaving node names itself")
		}
	}
	c := s.client(0)
	if _, err := c.Run(context.Background(), request("plan", "x")); err != nil {
		t.Fatal(err)
	}
}
