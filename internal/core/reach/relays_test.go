package reach_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gradetiller.example/internal/core/reach"
	"gradetiller.example/internal/scripted"
	"gradetiller.example/internal/wire"
)

// TestRelaysAtScale guards against nodes without paths that ask only nodes without paths, and against
// relays that carry far more than others: when some nodes, or all of a failure domain, lose their
// paths at the same time, each finds a node that has them within a second, and none of those carries
// more than a few times the mean.
func TestRelaysAtScale(t *testing.T) {
	scripted.Read(t, "testdata/scale.txt", func(words []string) error {
		nodes, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		domains, err := strconv.Atoi(words[3])
		if err != nil {
			return err
		}
		t.Run(fmt.Sprint(nodes, "-", words[5]), func(t *testing.T) { checkScale(t, nodes, domains, words[5]) })
		return nil
	})
}

func checkScale(t *testing.T, nodes, domains int, cut string) {
	const (
		dialsPerNode = 200
		dialInterval = 20 * time.Millisecond
		// maxFailedShare is how many of a node's connections may fail from a second after the cut on.
		maxFailedShare = 0.05
		// maxLoadFactor bounds the load of a relay, relative to the mean of those with paths.
		maxLoadFactor = 5
	)
	entries := make([]wire.Entry, nodes)
	lost := make(map[string]bool)
	for k := range entries {
		entries[k] = wire.Entry{Node: fmt.Sprint("n", k), Domain: fmt.Sprint("d", k%domains), Capacity: 400}
		if count, err := strconv.Atoi(cut); err == nil && k*7919%nodes < count || err != nil && k%domains == 0 {
			lost[entries[k].Node] = true
		}
	}
	load := make(map[string]int)
	relayed := 0
	for _, e := range entries {
		if !lost[e.Node] {
			continue
		}
		relays := reach.NewRelays(e.Node)
		failed, late := 0, 0
		for dial := range dialsPerNode {
			now := at(time.Duration(dial) * dialInterval)
			connected := false
			for _, c := range relays.Candidates(now, "s", &entries) {
				if lost[c.Node] {
					relays.RecordNoPath(now, c.Node, "s")
					continue
				}
				relays.RecordWorking(c.Node, "s")
				load[c.Node]++
				relayed++
				connected = true
				break
			}
			if now.Before(at(time.Second)) {
				continue
			}
			late++
			if !connected {
				failed++
			}
		}
		if float64(failed) > maxFailedShare*float64(late) {
			t.Errorf("%d of %d connections of %s failed", failed, late, e.Node)
		}
	}
	mean := float64(relayed) / float64(nodes-len(lost))
	for node, n := range load {
		if lost[node] || float64(n) > maxLoadFactor*mean+dialsPerNode {
			t.Errorf("%s relayed %d connections, the mean is %.0f", node, n, mean)
		}
	}
	t.Logf("%d of %d nodes cut off: %d connections relayed by %d nodes", len(lost), nodes, relayed, len(load))
}

// TestCandidates guards against relays that are leaving, small, all of one failure domain, or that
// can't relay, being asked before others.
func TestCandidates(t *testing.T) {
	entries := []wire.Entry{
		{Node: "self", Domain: "a", Capacity: 400},
		{Node: "a1", Domain: "a", Capacity: 400},
		{Node: "b1", Domain: "b", Capacity: 400},
		{Node: "small", Domain: "a", Capacity: 100},
		{Node: "leaving", Domain: "a", Capacity: 400, Leaving: true},
	}
	relays := reach.NewRelays("self")
	names := func(now time.Time) map[string]int {
		position := make(map[string]int)
		for k, e := range relays.Candidates(now, "s", &entries) {
			position[e.Node] = k + 1
		}
		return position
	}
	if got := names(at(0)); len(got) != 3 || got["self"]+got["leaving"] != 0 {
		t.Errorf("candidates %v", got)
	}
	relays.RecordIncapable(at(0), "a1")
	relays.RecordUnavailable(at(0), "b1")
	if got := names(at(time.Second)); got["small"] != 1 || got["b1"] != 2 || got["a1"] != 3 {
		t.Errorf("candidates %v, want the one that works first and those that don't in the order of their return", got)
	}
	if got := names(at(3 * time.Second)); got["a1"] != 3 {
		t.Errorf("candidates %v, want the one of an earlier version last", got)
	}
}
