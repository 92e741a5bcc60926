package membudget

import (
	"math"
	"testing"
)

// TestBudget guards against a budget that is exceeded by what may be refused, and against refusals
// that leave bytes reserved.
func TestBudget(t *testing.T) {
	b := New(100)
	for _, step := range []struct {
		size int64
		want bool
	}{{60, true}, {50, false}, {40, true}, {1, false}} {
		if got := b.TryReserve(step.size); got != step.want {
			t.Errorf("TryReserve(%d) with %d held: %t", step.size, b.Held(), got)
		}
	}
	b.Reserve(30)
	b.Release(80)
	if b.Held() != 50 || !b.TryReserve(50) {
		t.Errorf("%d bytes held, want 50 and room for as many", b.Held())
	}
	if b = New(1 << 20); !b.Admits(1 << 20) {
		t.Error("an empty budget does not admit large work")
	}
	b.Reserve(3<<18 + 1)
	if b.Admits(smallBytes+1) || !b.Admits(smallBytes) {
		t.Error("above three quarters of the budget, work is admitted that is not small, or small work is not")
	}
	if none := New(0); !none.TryReserve(1<<40) || !none.Admits(1<<40) || none.Held() != 0 {
		t.Error("a budget without a bound refuses")
	}
}

// TestExtendKeepsRoomForSmall guards against received bytes that exceed the budget by more than what counts as small
// for each holder, and against small holders that are refused because large ones have used it up.
func TestExtendKeepsRoomForSmall(t *testing.T) {
	const limit, step, holders = 1 << 20, 8 << 10, 100
	b := New(limit)
	var large []*Reservation
	for range holders {
		r := b.Reservation(Events)
		for r.Extend(step) {
		}
		large = append(large, r)
	}
	if most := int64(limit + holders*smallBytes); b.Held() > most {
		t.Errorf("%d bytes are held, at most %d may be", b.Held(), most)
	}
	small := b.Reservation(Events)
	for small.Size() < smallBytes {
		if !small.Extend(step) {
			t.Fatalf("a holder of %d bytes got none further", small.Size())
		}
	}
	if small.Extend(step) {
		t.Error("a holder that is no longer small got further bytes of a full budget")
	}
	if b.HeldOf(Events) != b.Held() || b.HeldOf(Responses) != 0 {
		t.Errorf("%d bytes of events and %d of responses are held, %d in all", b.HeldOf(Events), b.HeldOf(Responses), b.Held())
	}
	for _, r := range append(large, small) {
		r.Release()
	}
	if b.Held() != 0 || b.HeldOf(Events) != 0 {
		t.Errorf("%d bytes are held after all were released", b.Held())
	}
	none := New(0).Reservation(Events)
	if !none.Extend(1<<40) || none.Size() != 1<<40 {
		t.Error("a budget without a bound refuses")
	}
}

// TestExtendRefusesInvalidSizes guards against a size that another process states and that is negative, or overflows what
// is reserved: it would give memory back that others hold.
func TestExtendRefusesInvalidSizes(t *testing.T) {
	b := New(1 << 20)
	r := b.Reservation(Responses)
	r.Grow(1000)
	for _, n := range []int64{-1, -2000, math.MinInt64, math.MaxInt64, math.MaxInt64 - 999} {
		if r.Extend(n) || r.Size() != 1000 || b.Held() != 1000 || b.HeldOf(Responses) != 1000 {
			t.Errorf("Extend(%d): %d bytes reserved, %d held, want 1000", n, r.Size(), b.Held())
		}
	}
}
