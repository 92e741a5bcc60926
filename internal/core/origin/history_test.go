package origin

import (
	"testing"
	"time"
)

// TestSoleVersion guards against a stream that goes on at the only version that is listed, although it may
// have begun at another one that has just left.
func TestSoleVersion(t *testing.T) {
	now, h := time.Unix(1000, 0), NewHistory()
	follow(h, now.Add(-time.Minute), now)
	h.Left(now, Origin{"s", "v1"})
	h.Left(now, Origin{"other", "v3"})
	for _, c := range []struct {
		since  time.Time
		listed []string
		want   string
		ok     bool
	}{
		{now.Add(-time.Second), []string{"v2", "v2"}, "", false},
		{now.Add(-time.Second), []string{"v1", "v1"}, "v1", true},
		{now.Add(time.Second), []string{"v2", "v2"}, "v2", true},
		{now.Add(time.Second), []string{"v2", "v1"}, "", false},
		{now.Add(time.Second), []string{"", ""}, "", true},
		{now.Add(time.Second), nil, "", false},
	} {
		if got, ok := h.Sole(c.since, "s", c.listed); got != c.want || ok != c.ok {
			t.Errorf("since %v, listed %v: %q, %v; want %q, %v", c.since, c.listed, got, ok, c.want, c.ok)
		}
	}
}

// follow makes a history follow the list of endpoints, second by second.
func follow(h *History, from, to time.Time) {
	for at := from; !at.After(to); at = at.Add(time.Second) {
		h.Follow(at)
	}
}

// TestHistoryReachesBack guards against a process that takes the short time for which it has followed the list for the whole past: a
// stream may have begun at a version that left before.
func TestHistoryReachesBack(t *testing.T) {
	start := time.Unix(1000, 0)
	h, listed := NewHistory(), []string{"v1"}
	sole := func(since time.Time) bool {
		_, ok := h.Sole(since, "s", listed)
		return ok
	}
	if sole(start) {
		t.Error("a history without a list knows the only version")
	}
	follow(h, start, start.Add(10*time.Second))
	for since, want := range map[time.Duration]bool{-time.Millisecond: false, 0: true, 10 * time.Second: true} {
		if sole(start.Add(since)) != want {
			t.Errorf("the only version since %v is known: %t, want %t", since, !want, want)
		}
	}
	// Without a list for too long, versions may have come and gone.
	back := start.Add(10*time.Second + maxListGap + time.Second)
	follow(h, back, back.Add(5*time.Second))
	if sole(start) || sole(back.Add(-time.Millisecond)) || !sole(back) {
		t.Error("a gap in the list is overlooked")
	}
}

// TestRecoveredVersions guards against a stream that goes on at the only version that is listed after a restart, although another was
// recorded before, and against one that is refused although only one was.
func TestRecoveredVersions(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(2 * time.Second)
	for _, c := range []struct {
		recorded, listed []string
		since            time.Duration
		want             bool
	}{
		{[]string{"v1"}, []string{"v1", "v1"}, -20 * time.Second, true},
		{[]string{"v1"}, []string{"v1"}, -40 * time.Second, false},
		{[]string{"v1", "v2"}, []string{"v1"}, -20 * time.Second, false},
		{[]string{"v1"}, []string{"v2"}, -20 * time.Second, false},
		{[]string{"v1"}, []string{"v1", "v2"}, -20 * time.Second, false},
	} {
		h := NewHistory()
		follow(h, start, now)
		if _, ok := h.Sole(now.Add(c.since), "s", c.listed); ok {
			t.Errorf("%+v: the only version is known before the record is", c)
		}
		h.Recover(now, now.Add(-StoredTTL), "s", c.recorded, c.listed)
		if _, ok := h.Sole(now.Add(c.since), "s", c.listed); ok != c.want {
			t.Errorf("%+v: the only version is known: %t", c, ok)
		}
		if _, ok := h.Sole(now.Add(c.since), "other", c.listed); ok {
			t.Errorf("%+v: the only version of another service is known", c)
		}
	}
}
