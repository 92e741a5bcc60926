package member

import (
	"testing"
	"time"

	"gradetiller.example/internal/wire"
)

const foundWithin = 5 * time.Second

// TestFailureIsFound kills one of 40 members: all others know within 5 s, and
// nobody else is given up.
func TestFailureIsFound(t *testing.T) {
	w := newNetwork(t, 40)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(40) })
	w.kill(nodeName(7))
	took := w.until(foundWithin, "the failure is found", func() bool { return w.all(39) })
	t.Logf("found by all after %v", took)
}

// TestPausedProcessComesBackAnew pauses a member past its death and wakes it:
// it is taken in again with a higher incarnation, not as its earlier self.
func TestPausedProcessComesBackAnew(t *testing.T) {
	w := newNetwork(t, 12)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(12) })
	name := nodeName(3)
	before := w.nodes[name].Self().Incarnation
	w.paused[name] = true
	w.run(10 * time.Second)
	if !w.all(11) {
		t.Fatal("the paused member was not given up")
	}
	w.resume(name)
	w.until(foundWithin, "the member is back", func() bool { return w.all(12) })
	if after := w.nodes[name].Self().Incarnation; after <= before {
		t.Fatalf("incarnation %d after the pause, %d before", after, before)
	}
}

// TestShortPauseIsRefuted pauses a member just long enough to be suspected.
func TestShortPauseIsRefuted(t *testing.T) {
	w := newNetwork(t, 12)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(12) })
	name := nodeName(3)
	w.paused[name] = true
	w.run(silence + 500*time.Millisecond)
	w.resume(name)
	w.run(10 * time.Second)
	if !w.all(12) {
		t.Fatal("a member that refuted its suspicion was given up")
	}
	if inc := w.nodes[name].Self().Incarnation; inc != 1 {
		t.Fatalf("incarnation %d, want 1: it was never dead", inc)
	}
}

// TestRegionCutHeals cuts one region off for a while: both go on with their
// own members and find each other again.
func TestRegionCutHeals(t *testing.T) {
	w := newNetwork(t, 40)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(40) })
	region := func(name string) string { return w.nodes[name].Self().Region }
	w.cut = func(a, b string) bool { return region(a) != region(b) }
	w.until(20*time.Second, "each region sees itself", func() bool { return w.all(20) })
	w.run(time.Minute)
	w.worst = 0
	w.cut = func(string, string) bool { return false }
	took := w.until(30*time.Second, "the regions see each other", func() bool { return w.all(40) })
	t.Logf("healed after %v, worst second of a node %d bytes", took, w.worst)
}

// TestDomainLost ends a whole failure domain at once: the others know within
// 8 s and give nobody else up. (One failure takes under 5 s; here the watchers
// of some members are among the lost.)
func TestDomainLost(t *testing.T) {
	w := newNetwork(t, 42)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(42) })
	lost := w.killDomain("domain-2")
	took := w.until(8*time.Second, "the loss is known", func() bool { return w.all(42 - lost) })
	w.run(10 * time.Second)
	if !w.all(42 - lost) {
		t.Fatal("a member that lives was given up")
	}
	t.Logf("%d members lost, known to all after %v", lost, took)
}

// TestRestartTakesNewIncarnation replaces a process by a new one whose clock
// is behind: the new life wins all the same.
func TestRestartTakesNewIncarnation(t *testing.T) {
	w := newNetwork(t, 12)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(12) })
	// The earlier life had two changes more than the new one will have had.
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
	if !w.all(12) {
		t.Fatal("the restarted member is not seen by all")
	}
	if inc := w.nodes[nodeName(4)].Self().Incarnation; inc < 2 {
		t.Fatalf("the new life has incarnation %d, its earlier life had 1", inc)
	}
}

// TestLeavingIsToldAhead checks that a leaving entry and a leaving member are
// known everywhere at once, without a suspicion.
func TestLeavingIsToldAhead(t *testing.T) {
	w := newNetwork(t, 40)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(40) })
	n := w.nodes[nodeName(5)]
	entries := n.Self().Entries
	leaving := entries[0]
	leaving.Leaving = true
	n.SetEntries([]wire.Entry{leaving})
	w.until(2*time.Second, "the leaving entry is known", func() bool {
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
	w.until(2*time.Second, "the member that left is known", func() bool { return w.all(39) })
}

// TestEndpointNewsReachesAll checks that a finding about an endpoint reaches
// every node, also one that was cut off meanwhile.
func TestEndpointNewsReachesAll(t *testing.T) {
	w := newNetwork(t, 20)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(20) })
	lonely := nodeName(9)
	w.cut = func(a, b string) bool { return a == lonely || b == lonely }
	w.nodes[nodeName(1)].SetEndpoint(wire.Endpoint{Pool: "lm", Name: "lm-1", Leaving: true})
	w.run(8 * time.Second)
	w.cut = func(string, string) bool { return false }
	w.until(20*time.Second, "all know the endpoint", func() bool {
		for _, n := range w.nodes {
			if len(n.Endpoints()) != 1 {
				return false
			}
		}
		return true
	})
}

// TestLostNewsHeals loses all messages of a node for a second, too short for a
// suspicion, while news goes round: the node learns it all the same.
func TestLostNewsHeals(t *testing.T) {
	w := newNetwork(t, 20)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(20) })
	w.run(2 * time.Second)
	lonely := nodeName(9)
	w.cut = func(a, b string) bool { return a == lonely || b == lonely }
	w.nodes[nodeName(1)].SetEndpoint(wire.Endpoint{Pool: "lm", Name: "lm-1", Leaving: true})
	w.run(time.Second)
	w.cut = func(string, string) bool { return false }
	w.until(20*time.Second, "the node knows the endpoint", func() bool {
		return len(w.nodes[lonely].Endpoints()) == 1
	})
	if w.nodes[lonely].Self().Incarnation != 1 {
		t.Fatal("the node was given up; the test wants a loss without one")
	}
}

// TestConfigVersionSpreads checks that every node learns within a few beats
// that a neighbor has a newer configuration.
func TestConfigVersionSpreads(t *testing.T) {
	w := newNetwork(t, 40)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(40) })
	w.nodes[nodeName(0)].SetConfigVersion(7)
	took := w.until(6*time.Second, "all have version 7", func() bool {
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

// TestListRevisionSpreads checks that every node learns within moments that a neighbor
// has a newer list when that is told at once, and that a node which has it is named.
func TestListRevisionSpreads(t *testing.T) {
	w := newNetwork(t, 40)
	w.until(30*time.Second, "all members see each other", func() bool { return w.all(40) })
	w.nodes[nodeName(0)].SetListRevision(7, true)
	w.until(time.Second, "all have revision 7", func() bool {
		done := true
		for _, n := range w.nodes {
			if name, v := n.NewerList(); v > 0 {
				if w.nodes[name].list != v {
					t.Fatalf("%s is said to have revision %d, and has %d", name, v, w.nodes[name].list)
				}
				n.SetListRevision(v, true)
			}
			done = done && n.list == 7
		}
		return done
	})
}
