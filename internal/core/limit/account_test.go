package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"

	"gradetiller.example/internal/naive"
)

// TestAdmitMatchesNaive compares the token bucket with a reference that replays all
// admissions. Rates and time steps are powers of two, so that both round alike.
func TestAdmitMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := Settings{Rate: float64(int(1) << rapid.IntRange(0, 6).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 8).Draw(t, "burst"))}
		a := NewAccount(now, s)
		ref := naive.Bucket{Rate: s.Rate, Burst: s.Burst, Start: now}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 16).Draw(t, "gap")) * time.Second / 64)
			wait, ok := a.Admit(now)
			if want := ref.Admit(now); ok != want {
				t.Fatalf("admit = %v, naive %v", ok, want)
			}
			if !ok && wait <= 0 {
				t.Fatalf("refused without a time to wait")
			}
		}
	})
}

// TestRetryAfterIsEnough checks that a request is admitted after the returned wait.
func TestRetryAfterIsEnough(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(now, Settings{Rate: 10, Burst: 1})
	if _, ok := a.Admit(now); !ok {
		t.Fatal("first request refused")
	}
	wait, ok := a.Admit(now)
	if ok {
		t.Fatal("second request admitted without a token")
	}
	if _, ok := a.Admit(now.Add(wait + time.Microsecond)); !ok {
		t.Fatalf("refused after waiting the returned %v", wait)
	}
}

// TestConcurrency checks the limit of requests in flight.
func TestConcurrency(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(now, Settings{Concurrency: 2})
	for range 2 {
		if _, ok := a.Admit(now); !ok {
			t.Fatal("refused below the limit")
		}
	}
	if _, ok := a.Admit(now); ok {
		t.Fatal("admitted above the limit")
	}
	a.Release()
	if _, ok := a.Admit(now); !ok {
		t.Fatal("refused after a release")
	}
}
