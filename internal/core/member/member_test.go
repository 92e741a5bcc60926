package member

import (
	"testing"
	"time"

	"gradetiller.example/internal/wire"
)

const detectionLimit = 5 * time.Second

// TestFailureIsDetected kills one of 40 members: all others must know within 5 s, and no
// live member may be declared dead.
func TestFailureIsDetected(t *testing.T) {
	w := newNetwork(t, 40)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(40) })
	w.kill(nodeName(7))
	took := w.runUntil(detectionLimit, "the failure is detected", func() bool { return w.allSee(39) })
	t.Logf("detected by all after %v", took)
}

// TestPausedProcessRejoinsWithNewIncarnation pauses a member until it is declared dead, and
// resumes it. It guards against the member being taken for its earlier incarnation.
func TestPausedProcessRejoinsWithNewIncarnation(t *testing.T) {
	w := newNetwork(t, 12)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(12) })
	name := nodeName(3)
	before := w.nodes[name].Self().Incarnation
	w.paused[name] = true
	w.run(10 * time.Second)
	if !w.allSee(11) {
		t.Fatal("the paused member was not declared dead")
	}
	w.resume(name)
	w.runUntil(detectionLimit, "the member is back", func() bool { return w.allSee(12) })
	if after := w.nodes[name].Self().Incarnation; after <= before {
		t.Fatalf("incarnation %d after the pause, %d before", after, before)
	}
}

// TestShortPauseIsRefuted pauses a member just long enough to be suspected: it must refute
// the suspicion.
func TestShortPauseIsRefuted(t *testing.T) {
	w := newNetwork(t, 12)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(12) })
	name := nodeName(3)
	w.paused[name] = true
	w.run(suspectTimeout + 500*time.Millisecond)
	w.resume(name)
	w.run(10 * time.Second)
	if !w.allSee(12) {
		t.Fatal("a member that refuted its suspicion was declared dead")
	}
	if inc := w.nodes[name].Self().Incarnation; inc != 1 {
		t.Fatalf("incarnation %d, want 1: it was never dead", inc)
	}
}

// TestRegionPartitionHeals partitions one region for a while: both sides must continue
// with their own members, and find each other again.
func TestRegionPartitionHeals(t *testing.T) {
	w := newNetwork(t, 40)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(40) })
	region := func(name string) string { return w.nodes[name].Self().Region }
	w.cut = func(a, b string) bool { return region(a) != region(b) }
	w.runUntil(20*time.Second, "each region sees itself", func() bool { return w.allSee(20) })
	w.run(time.Minute)
	w.maxSentPerSecond = 0
	w.cut = func(string, string) bool { return false }
	took := w.runUntil(30*time.Second, "the regions see each other", func() bool { return w.allSee(40) })
	t.Logf("healed after %v, worst second of a node %d bytes", took, w.maxSentPerSecond)
}

// TestFailureDomainLost kills a whole failure domain at once: the others must know within
// 8 s and declare no live member dead. A single failure takes under 5 s; here the monitors of
// some members are among the lost.
func TestFailureDomainLost(t *testing.T) {
	w := newNetwork(t, 42)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(42) })
	lost := w.killDomain("domain-2")
	took := w.runUntil(8*time.Second, "the loss is known", func() bool { return w.allSee(42 - lost) })
	w.run(10 * time.Second)
	if !w.allSee(42 - lost) {
		t.Fatal("a live member was declared dead")
	}
	t.Logf("%d members lost, known to all after %v", lost, took)
}

// TestRestartTakesNewIncarnation replaces a process by a new one whose clock is behind. It
// guards against the earlier incarnation's records prevailing.
func TestRestartTakesNewIncarnation(t *testing.T) {
	w := newNetwork(t, 12)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(12) })
	// The earlier incarnation has two changes more than the new one will have.
	old := w.nodes[nodeName(4)]
	old.SetEntries(nil)
	old.SetEntries(old.Entries())
	w.run(5 * time.Second)
	var seeds []Seed
	for i := range 12 {
		seeds = append(seeds, Seed{Node: nodeName(i), Address: address(i)})
	}
	w.start(4, seeds, 1)
	w.run(10 * time.Second)
	if !w.allSee(12) {
		t.Fatal("the restarted member is not seen by all")
	}
	if inc := w.nodes[nodeName(4)].Self().Incarnation; inc < 2 {
		t.Fatalf("the restarted node has incarnation %d, it had 1 before", inc)
	}
}

// TestLeavingSpreadsWithoutSuspicion checks that a leaving entry and a leaving member are
// soon known everywhere, without a suspicion.
func TestLeavingSpreadsWithoutSuspicion(t *testing.T) {
	w := newNetwork(t, 40)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(40) })
	n := w.nodes[nodeName(5)]
	entries := n.Self().Entries
	leaving := entries[0]
	leaving.Leaving = true
	n.SetEntries([]wire.Entry{leaving})
	w.runUntil(2*time.Second, "the leaving entry is known", func() bool {
		for _, other := range w.nodes {
			for _, e := range other.Entries() {
				if e.Node == leaving.Node && !e.Leaving {
					return false
				}
			}
		}
		return true
	})
	n.Leave()
	w.run(300 * time.Millisecond)
	w.kill(nodeName(5))
	w.runUntil(2*time.Second, "the member that left is known", func() bool { return w.allSee(39) })
}

// TestEndpointFindingReachesAll checks that a finding about an endpoint reaches every node,
// including one that was partitioned meanwhile.
func TestEndpointFindingReachesAll(t *testing.T) {
	w := newNetwork(t, 20)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(20) })
	isolated := nodeName(9)
	w.cut = func(a, b string) bool { return a == isolated || b == isolated }
	w.nodes[nodeName(1)].SetEndpoint(wire.Endpoint{Pool: "lm", Name: "lm-1", Leaving: true})
	w.run(8 * time.Second)
	w.cut = func(string, string) bool { return false }
	w.runUntil(20*time.Second, "all know the endpoint", func() bool {
		for _, n := range w.nodes {
			if len(n.Endpoints()) != 1 {
				return false
			}
		}
		return true
	})
}

// TestLostGossipIsRepaired loses all messages of a node for a second, too short for a
// suspicion, while an update spreads. It guards against the node missing the update for
// good.
func TestLostGossipIsRepaired(t *testing.T) {
	w := newNetwork(t, 20)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(20) })
	w.run(2 * time.Second)
	isolated := nodeName(9)
	w.cut = func(a, b string) bool { return a == isolated || b == isolated }
	w.nodes[nodeName(1)].SetEndpoint(wire.Endpoint{Pool: "lm", Name: "lm-1", Leaving: true})
	w.run(time.Second)
	w.cut = func(string, string) bool { return false }
	w.runUntil(20*time.Second, "the node knows the endpoint", func() bool {
		return len(w.nodes[isolated].Endpoints()) == 1
	})
	if w.nodes[isolated].Self().Incarnation != 1 {
		t.Fatal("the node was declared dead; the test needs a loss that is too short for that")
	}
}

// TestConfigVersionSpreads checks that every node learns within a few heartbeats that a
// neighbor has a newer configuration.
func TestConfigVersionSpreads(t *testing.T) {
	w := newNetwork(t, 40)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(40) })
	w.nodes[nodeName(0)].SetConfigVersion(7)
	took := w.runUntil(6*time.Second, "all have version 7", func() bool {
		done := true
		for _, n := range w.nodes {
			if _, v := n.NewerConfig(); v > 0 {
				n.SetConfigVersion(v)
			}
			done = done && n.config == 7
		}
		return done
	})
	t.Logf("40 members had it after %v", took)
}

// TestListRevisionSpreads checks that every node learns within a second that a neighbor has
// a newer list if that is announced at once, and that the node named as having it does.
func TestListRevisionSpreads(t *testing.T) {
	w := newNetwork(t, 40)
	w.runUntil(30*time.Second, "all members see each other", func() bool { return w.allSee(40) })
	w.nodes[nodeName(0)].SetListRevision(7, true)
	w.runUntil(time.Second, "all have revision 7", func() bool {
		done := true
		for _, n := range w.nodes {
			if name, v := n.NewerList(); v > 0 {
				if w.nodes[name].list != v {
					t.Fatalf("%s is reported to have revision %d, and has %d", name, v, w.nodes[name].list)
				}
				n.SetListRevision(v, true)
			}
			done = done && n.list == 7
		}
		return done
	})
}
