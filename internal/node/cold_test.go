package node

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/platform/platformtest"
)

const (
	// coldRate is the request rate that a cold worker handles. maxColdPerSecond is how many
	// requests it may get in any second: 1.5 times coldRate, plus 5.
	coldRate         = 10.0
	maxColdPerSecond = 20
	// coldDuration is how long workers are cold. coldReactionTime is how long nodes may take to
	// learn of it.
	coldDuration     = 8 * time.Second
	coldReactionTime = 2500 * time.Millisecond
)

// TestColdEndpoints guards against cold endpoints that are overloaded or starved. Two of six
// workers, then all of them, turn cold while three nodes send far more than cold workers handle,
// chosen by each node or placed by a leader. Once the nodes had time to react, no cold worker gets
// more than its limit in any second, and each gets some requests.
func TestColdEndpoints(t *testing.T) {
	for _, c := range limitCases {
		if c.service == "encode" {
			// The load of a stage endpoint is bounded by its calls.
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
	counts := &responseCounts{byStatus: make(map[int]int)}
	counts.run(nodes, c.request, 16, coldSince.Add(coldDuration-time.Second))
	for i, w := range workers[:cold] {
		arrivals := intaketest.After(w.ArrivalTimes(), coldSince.Add(coldReactionTime))
		if got := intaketest.MaxIn(arrivals, time.Second); got > maxColdPerSecond {
			t.Errorf("cold endpoint %d got %d requests within a second, want at most %d", i, got, maxColdPerSecond)
		}
		if len(arrivals) == 0 {
			t.Errorf("cold endpoint %d got no requests", i)
		}
	}
	if len(counts.unexpected) > 0 {
		t.Errorf("%d requests were neither served nor refused with Retry-After; first: %s", len(counts.unexpected), counts.unexpected[0])
	}
	t.Logf("responses by status: %v", counts.byStatus)
}
