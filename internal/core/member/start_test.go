package member

import (
	"testing"
	"time"
)

// startTogether starts members that know only three seeds, as after a loss of all power,
// and sends their greetings.
func startTogether(t *testing.T, n int) *network {
	w := newNetwork(t, 0)
	var seeds []Seed
	for i := range 3 {
		seeds = append(seeds, Seed{Node: nodeName(i), Address: address(i)})
	}
	for i := range n {
		w.start(i, seeds, 1)
	}
	for _, name := range w.names {
		w.deliver(name, w.nodes[name].Join())
	}
	return w
}

// TestAllStartTogether bounds the time that members which all start at once need to know
// each other. Until then they do not agree on the leaders.
func TestAllStartTogether(t *testing.T) {
	for _, c := range []struct {
		members int
		limit   time.Duration
	}{
		{7, 300 * time.Millisecond},
		{87, time.Second},
		{301, 3200 * time.Millisecond},
	} {
		w := startTogether(t, c.members)
		took := w.runUntil(c.limit, "all know all", func() bool { return w.allSee(c.members) })
		t.Logf("%d members: %v, at most %d bytes from one in a second", c.members, took, w.maxSentPerSecond)
	}
}

// TestRestartedAmongSurvivors kills four of seven members, including all seeds, and
// restarts them before the others have declared them dead. It guards against two groups
// that lead side by side: they must merge with the survivors' next heartbeats, and not only
// when the earlier incarnations are declared dead.
func TestRestartedAmongSurvivors(t *testing.T) {
	w := startTogether(t, 7)
	w.runUntil(time.Second, "all know all", func() bool { return w.allSee(7) })
	w.run(startupPeriod + time.Second)
	killed := []int{0, 1, 2, 3}
	for _, i := range killed {
		w.kill(nodeName(i))
	}
	w.run(1500 * time.Millisecond)
	var seeds []Seed
	for i := range 3 {
		seeds = append(seeds, Seed{Node: nodeName(i), Address: address(i)})
	}
	for _, i := range killed {
		w.start(i, seeds, 2)
	}
	for _, i := range killed {
		w.deliver(nodeName(i), w.nodes[nodeName(i)].Join())
	}
	w.runUntil(HeartbeatInterval+2*FlushInterval, "the groups become one", func() bool { return w.allSee(7) && w.onlyIncarnation(killed, 2) })
}

// onlyIncarnation reports whether all nodes know the members by the given incarnation.
func (w *network) onlyIncarnation(members []int, incarnation uint64) bool {
	for _, n := range w.nodes {
		for _, i := range members {
			if m, ok := n.lookup(nodeName(i)); !ok || m.Incarnation != incarnation {
				return false
			}
		}
	}
	return true
}
