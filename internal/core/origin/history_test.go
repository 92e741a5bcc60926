package origin

import (
	"testing"
	"time"
)

// TestSoleVersion guards against a stream that goes on at the only version that is listed, although it may
// have begun at another one that has just left.
func TestSoleVersion(t *testing.T) {
	now, h := time.Unix(1000, 0), NewHistory()
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
