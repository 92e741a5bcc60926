package attempt

import (
	"testing"
	"time"
	"unsafe"
)

// stepped returns t as it would be read after the wall clock was set forward by
// a number of seconds, with an unchanged monotonic reading. It relies on the
// layout of time.Time values that have both readings.
func stepped(t time.Time, seconds int64) time.Time {
	const nanosecondBits = 30
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(seconds) << nanosecondBits
	return t
}

// TestBudgetIgnoresClockSteps uses up the budget and steps the wall clock by more
// than the window. A budget that read the wall clock would allow retries again.
func TestBudgetIgnoresClockSteps(t *testing.T) {
	now := time.Now()
	if after := stepped(now, 60); after.Unix() != now.Unix()+60 || after.Sub(now) != 0 {
		t.Fatalf("wall clock step had the wrong effect: %v became %v", now, after)
	}
	b := NewWindowBudget(0.2, 3, 10*time.Second)
	for i := range 3 {
		if !b.TryAcquire(now, "desk", 1) {
			t.Fatalf("retry %d was refused", i)
		}
	}
	for _, seconds := range []int64{0, 60, -60} {
		if b.TryAcquire(stepped(now, seconds), "desk", 1) {
			t.Errorf("a wall clock step of %d s allowed a retry beyond the budget", seconds)
		}
	}
	if !b.TryAcquire(now.Add(11*time.Second), "desk", 1) {
		t.Error("no retry is allowed after a whole window")
	}
}
