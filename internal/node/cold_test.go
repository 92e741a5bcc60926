package node

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/platform/platformtest"
)

const (
	// coldPerSecond is what a cold worker of these tests handles, and coldAllowed how many
	// requests it may get in any second: 1.5 times that, and 5 more.
	coldRate         = 10.0
	maxColdPerSecond = 20
	// coldTime is how long workers are cold, coldKnown how long nodes may take to know it.
	coldDuration     = 8 * time.Second
	coldReactionTime = 2500 * time.Millisecond
)

// TestColdEndpoints has two of six workers, then all of them, turn cold while three nodes send
// them far more than these handle then, chosen by each node or placed by a leader. From when
// the nodes had time to know it none gets more than it may in any second, and each gets some.
func TestColdEndpoints(t *testing.T) {
	for _, c := range limitCases {
		if c.service == "encode" {
			// What a stage endpoint handles is bounded by its calls.
			continue
		}
		for _, cold := range []int{2, 6} {
			t.Run(fmt.Sprintf("%s-%d-of-6", c.name, cold), func(t *testing.T) {
				t.Parallel()
				c.checkColdLimit(t, cold)
			})
		}
	}
}

func (c limitCase) checkColdLimit(t *testing.T, cold int) {
	site, config := newSite(t)
	config.Version, config.ColdPerSecond = 2, coldRate
	site.Publish(config)
	var workers []*platformtest.Worker
	for _, name := range []string{"desk", "model", "encode", "rank"} {
		list := site.AddWorkers(name, 6)
		if name == c.service {
			workers = list
		}
	}
	nodes := []*testNode{startNode(t, site)}
	for range 2 {
		nodes = append(nodes, startNode(t, site, nodes[0].Peer))
	}
	for _, n := range nodes {
		n.awaitReady(t)
	}
	coldSince := time.Now()
	for _, w := range workers[:cold] {
		w.SetCold(coldDuration)
	}
	counts := &responseCounts{answers: make(map[int]int)}
	counts.run(nodes, c.request, 16, coldSince.Add(coldDuration-time.Second))
	for i, w := range workers[:cold] {
		arrivals := intaketest.After(w.ArrivalTimes(), coldSince.Add(coldReactionTime))
		if got := intaketest.MaxIn(arrivals, time.Second); got > maxColdPerSecond {
			t.Errorf("endpoint %d got %d requests in a second, %d are allowed", i, got, maxColdPerSecond)
		}
		if len(arrivals) == 0 {
			t.Errorf("endpoint %d was left with nothing", i)
		}
	}
	if len(counts.unexpected) > 0 {
		t.Errorf("%d were neither served nor refused with the time to come back: %s", len(counts.unexpected), counts.unexpected[0])
	}
	t.Logf("answers %v", counts.answers)
}
