package reach_test

import (
	"testing"
	"time"

	"gradetiller.example/internal/core/reach"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestStats guards against lost paths that are not counted, and against old connections that hide
// that new ones are refused.
func TestStats(t *testing.T) {
	table := reach.NewTable()
	for k, step := range []struct {
		endpoint, service string
		outcome           reach.Outcome
		want              reach.Change
	}{
		{"a1", "a", reach.Opened, reach.Unchanged},
		{"a1", "a", reach.Silent, reach.Lost},
		{"a1", "a", reach.Silent, reach.Unchanged},
		{"a2", "a", reach.Refused, reach.Lost},
		{"a2", "a", reach.Answered, reach.Unchanged},
		{"b1", "b", reach.Silent, reach.Lost},
		{"b1", "b", reach.Answered, reach.Restored},
	} {
		to := reach.Target{Endpoint: step.endpoint, Service: step.service}
		if got := table.Record(at(time.Duration(k)*time.Second), to, step.outcome); got != step.want {
			t.Errorf("step %d: change %d, want %d", k, got, step.want)
		}
	}
	stats := table.Stats()
	if len(stats) != 1 {
		t.Fatalf("got %+v, want service a only", stats)
	}
	s := stats[0]
	if s.Service != "a" || s.Lost != 2 || s.Refused != 1 || !s.Since.Equal(at(time.Second)) || !s.OpenedAt.Equal(at(4*time.Second)) {
		t.Errorf("got %+v", s)
	}
	table.Retain(func(endpoint string) bool { return endpoint != "a1" })
	if got := table.LostCount(); got != 1 {
		t.Errorf("%d paths are lost after an endpoint was removed, want 1", got)
	}
}
