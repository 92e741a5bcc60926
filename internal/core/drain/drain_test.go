package drain

import (
	"testing"
	"time"
)

// TestFits asks for work of several lengths at several times of a stop.
func TestFits(t *testing.T) {
	start := time.Unix(1000, 0)
	stop := Until(start.Add(time.Second))
	for _, c := range []struct {
		name   string
		window Window
		at     time.Duration
		takes  time.Duration
		want   bool
	}{
		{"no stop", Window{}, time.Hour, time.Hour, true},
		{"done before", stop, 0, 999 * time.Millisecond, true},
		{"done at the end", stop, 0, time.Second, true},
		{"done after", stop, 0, 1001 * time.Millisecond, false},
		{"less is left later", stop, 2 * time.Millisecond, 999 * time.Millisecond, false},
		{"over", stop, 2 * time.Second, time.Millisecond, false},
	} {
		if got := c.window.Fits(start.Add(c.at), c.takes); got != c.want {
			t.Errorf("%s: fits %v, want %v", c.name, got, c.want)
		}
	}
}
