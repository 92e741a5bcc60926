package brittle_test

import (
	"testing"
	"time"

	"gradetiller.example/internal/core/brittle"
)

// TestNodeSlots guards against nodes that together may send an endpoint more than it works on, and
// against nodes that get far fewer slots than others, at the sizes of today's deployments and twice the
// largest.
func TestNodeSlots(t *testing.T) {
	for _, c := range []struct{ nodes, endpoints, slots int }{
		{1, 3, 6}, {6, 3, 6}, {6, 18, 6}, {7, 4, 6}, {87, 43, 6}, {96, 18, 64}, {295, 150, 6}, {295, 60, 64}, {1970, 900, 6}, {6, 5, 1},
	} {
		byNode := make([]int, c.nodes)
		for index := range c.endpoints {
			sum := 0
			for rank := range c.nodes {
				n := brittle.NodeSlots(c.slots, index, rank, c.nodes)
				sum += n
				byNode[rank] += n
			}
			if sum != c.slots {
				t.Errorf("%+v: %d slots of endpoint %d are used, want all %d", c, sum, index, c.slots)
			}
		}
		least, most := byNode[0], byNode[0]
		for _, n := range byNode {
			least, most = min(least, n), max(most, n)
		}
		if most-least > 1 {
			t.Errorf("%+v: nodes have %d to %d slots", c, least, most)
		}
	}
}

// TestServices guards against a service that stays brittle after its endpoints say otherwise, and one that
// is forgotten between two answers.
func TestServices(t *testing.T) {
	s := brittle.NewServices()
	now := time.Unix(1000, 0)
	if !s.Observe(now, "a", true) || s.Observe(now.Add(time.Second), "a", true) {
		t.Error("only the first answer changes a service")
	}
	if !s.Active(now.Add(20*time.Second), "a") || s.Active(now.Add(time.Minute), "a") || s.Active(now, "b") {
		t.Error("a service must be brittle for a while after its last answer, and no other")
	}
	if !s.Observe(now.Add(2*time.Second), "a", false) || s.Active(now.Add(2*time.Second), "a") {
		t.Error("an answer that doesn't say so ends it")
	}
}

// TestPause guards against a leader that calls a full endpoint as often as one that is not brittle, every
// 40 ms.
func TestPause(t *testing.T) {
	for _, c := range []struct {
		maxRejected float64
		want        time.Duration
	}{{0, 5 * time.Second}, {1, 2 * time.Second}, {2, time.Second}, {100, 400 * time.Millisecond}} {
		if got := brittle.Pause(c.maxRejected); got != c.want {
			t.Errorf("%v: %v, want %v", c.maxRejected, got, c.want)
		}
	}
}
