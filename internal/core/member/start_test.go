package member

import (
	"testing"
	"time"
)

// startTogether starts members that know three seeds only, as after a loss of
// all power, and lets them greet as the shell does: at once, and every 200 ms
// while they know nobody.
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

// TestAllStartTogether measures how long members that all start at once take
// to know all others. Until then they don't agree on who leads what.
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
		took := w.until(c.limit, "all know all", func() bool { return w.all(c.members) })
		t.Logf("%d members: %v, at most %d bytes from one in a second", c.members, took, w.worst)
	}
}

// TestRestartedAmongSurvivors kills four of seven members, all seeds among
// them, and starts them again before the others have given them up: the two
// groups become one with the survivors' next beats, not only when the earlier
// lives are found to be dead.
func TestRestartedAmongSurvivors(t *testing.T) {
	w := startTogether(t, 7)
	w.until(time.Second, "all know all", func() bool { return w.all(7) })
	w.run(startTime + time.Second)
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
	w.until(HeartbeatInterval+2*FlushInterval, "the groups become one", func() bool { return w.all(7) && w.onlyIncarnation(killed, 2) })
}

// onlyIncarnation reports whether all nodes know members by an incarnation.
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
