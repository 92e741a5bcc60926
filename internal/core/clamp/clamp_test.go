package clamp

import (
	"math"
	"testing"
	"time"
)

// TestLimits guards against numbers that change their sign, or become small, because they are too large for their type.
func TestLimits(t *testing.T) {
	for n, want := range map[int64]time.Duration{0: 0, 1500: 1500 * time.Millisecond, -1: -time.Millisecond, math.MaxInt64: MaxDuration, math.MinInt64: -MaxDuration, math.MaxInt64/1_000_000 + 1: MaxDuration} {
		if got := Milliseconds(n); got != want {
			t.Errorf("Milliseconds(%d) = %v, want %v", n, got, want)
		}
	}
	for _, c := range []struct {
		number float64
		unit   time.Duration
		want   time.Duration
	}{
		{1.5, time.Second, 1500 * time.Millisecond},
		{-2, time.Millisecond, -2 * time.Millisecond},
		{1e300, time.Second, MaxDuration},
		{math.Inf(1), time.Millisecond, MaxDuration},
		{math.Inf(-1), time.Second, -MaxDuration},
		{9.3e12, time.Millisecond, MaxDuration},
		{math.NaN(), time.Second, 0},
	} {
		if got := Duration(c.number, c.unit); got != c.want {
			t.Errorf("Duration(%v, %v) = %v, want %v", c.number, c.unit, got, c.want)
		}
	}
	for _, c := range []struct{ number, want float64 }{{3.9, 3}, {-1, 0}, {1e19, 100}, {math.Inf(1), 100}, {math.Inf(-1), 0}, {math.NaN(), 0}, {100, 100}, {0, 0}} {
		if got := Int(c.number, 0, 100); got != int64(c.want) {
			t.Errorf("Int(%v) = %d, want %v", c.number, got, c.want)
		}
	}
	if got := Int(9.3e18, math.MinInt64, math.MaxInt64); got != math.MaxInt64 {
		t.Errorf("Int(9.3e18) = %d", got)
	}
	if sum := 8 * MaxDuration; sum < 0 || time.Now().Add(sum).Before(time.Now()) {
		t.Error("eight times MaxDuration overflows")
	}
}
