package attempt

import (
	"testing"
	"time"
	"unsafe"
)

// stepped returns t as it would be read after the time of day was set forward
// by a number of seconds: the wall clock differs, the steady clock does not.
// The layout is that of package time for values with both readings.
func stepped(t time.Time, seconds int64) time.Time {
	const nanosecondBits = 30
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(seconds) << nanosecondBits
	return t
}

// TestBudgetIgnoresClockSteps takes a whole budget and sets the time of day
// forward by more than the window: nothing was earned by it.
func TestBudgetIgnoresClockSteps(t *testing.T) {
	now := time.Now()
	if after := stepped(now, 60); after.Unix() != now.Unix()+60 || after.Sub(now) != 0 {
		t.Fatalf("the step is not what it should be: %v became %v", now, after)
	}
	b := NewWindowBudget(0.2, 3, 10*time.Second)
	for i := range 3 {
		if !b.TryAcquire(now, "desk", 1) {
			t.Fatalf("repeat %d was refused", i)
		}
	}
	for _, seconds := range []int64{0, 60, -60} {
		if b.TryAcquire(stepped(now, seconds), "desk", 1) {
			t.Errorf("a step of %d s gave a repeat beyond the budget", seconds)
		}
	}
	if !b.TryAcquire(now.Add(11*time.Second), "desk", 1) {
		t.Error("nothing is allowed after a whole window")
	}
}
