package budget

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"
)

// TestQuantileMatchesSortedList compares the histogram with a sorted list; they may
// differ by one bucket's width.
func TestQuantileMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		e := NewEstimator(now)
		var list []time.Duration
		for range rapid.IntRange(1, 100).Draw(t, "count") {
			d := time.Duration(rapid.IntRange(100, 20_000_000).Draw(t, "us")) * time.Microsecond
			e.Observe(now, d)
			list = append(list, d)
		}
		slices.Sort(list)
		q := rapid.SampledFrom([]float64{0.3, 0.5, 0.9, 0.95}).Draw(t, "q")
		want := list[int(math.Ceil(q*float64(len(list))))-1]
		got := e.Quantile(now, q)
		if got < want-time.Microsecond || float64(got) > float64(want)*growth+1000 {
			t.Fatalf("quantile %v = %v, sorted list %v", q, got, want)
		}
	})
}

// TestOldObservationsDecay checks that slow calls no longer count after 30 s.
func TestOldObservationsDecay(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEstimator(now)
	for range 100 {
		e.Observe(now, time.Second)
	}
	later := now.Add(30 * time.Second)
	for range 10 {
		e.Observe(later, time.Millisecond)
	}
	if got := e.Quantile(later, 0.5); got > 2*time.Millisecond {
		t.Fatalf("median is still %v after 30 s", got)
	}
	if got := e.Quantile(later.Add(time.Hour), 0.5); got != 0 {
		t.Fatalf("median is %v after an hour without calls, want 0", got)
	}
}

// TestSplit checks that shares never add up to more than the time left, that each
// stage gets at least its expected time if there is enough, and that Split reports
// whether there is.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.IntRange(1, 5000).Draw(t, "left")) * time.Millisecond
		expected := make([]time.Duration, rapid.IntRange(1, 6).Draw(t, "stages"))
		var sum time.Duration
		for i := range expected {
			expected[i] = time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			sum += expected[i]
		}
		shares, ok := Split(left, expected)
		var total time.Duration
		for i, s := range shares {
			total += s
			if s < 0 || ok && s < expected[i] {
				t.Fatalf("share %v of expected %v", s, expected[i])
			}
		}
		if total > left+time.Microsecond {
			t.Fatalf("shares add up to %v of %v", total, left)
		}
		if ok != (sum <= left) {
			t.Fatalf("ok = %v with %v expected of %v left", ok, sum, left)
		}
	})
}
