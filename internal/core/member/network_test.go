package member

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/wire"
)

// network runs members in one goroutine with a simulated clock. It counts the bytes of real
// frames.
type network struct {
	t                testing.TB
	now              time.Time
	nodes            map[string]*Node
	names            []string
	paused           map[string]bool
	inbox            map[string][]wire.Gossip // messages to paused processes
	cut              func(from, to string) bool
	bytes            map[string]int
	frames           int
	maxSentPerSecond int // most bytes that one node sent in one second
	seconds          map[string]int
}

func newNetwork(t testing.TB, n int) *network {
	w := &network{
		t: t, now: time.Unix(1000, 0), nodes: make(map[string]*Node), paused: make(map[string]bool),
		inbox: make(map[string][]wire.Gossip), bytes: make(map[string]int), seconds: make(map[string]int),
		cut: func(string, string) bool { return false },
	}
	var seeds []Seed
	for i := range n {
		seeds = append(seeds, Seed{Node: nodeName(i), Address: address(i)})
	}
	for i := range n {
		w.start(i, seeds, 1)
	}
	return w
}

func nodeName(i int) string { return fmt.Sprintf("instance-%03d", i) }

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250) }

func (w *network) start(i int, seeds []Seed, incarnation uint64) {
	name := nodeName(i)
	m := wire.Member{Node: name, Incarnation: incarnation, Address: address(i), Domain: fmt.Sprint("domain-", i%6), Region: fmt.Sprint("region-", i%2)}
	n := New(m, uint64(i))
	n.SetSeeds(seeds)
	n.SetEntries([]wire.Entry{{Node: name, Incarnation: incarnation, Address: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), PeerAddress: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250), Domain: m.Domain, Region: m.Region}})
	if _, ok := w.nodes[name]; !ok {
		w.names = append(w.names, name)
	}
	w.nodes[name] = n
}

func (w *network) deliver(from string, messages []Message) {
	for _, s := range messages {
		frame, err := wire.Append(nil, s.Gossip)
		if err != nil {
			w.t.Fatal(err)
		}
		w.bytes[from] += len(frame)
		w.seconds[from] += len(frame)
		w.frames++
		if _, ok := w.nodes[s.Node]; !ok || w.cut(from, s.Node) {
			continue
		}
		if w.paused[s.Node] {
			w.inbox[s.Node] = append(w.inbox[s.Node], s.Gossip)
			continue
		}
		w.deliver(s.Node, w.nodes[s.Node].Receive(w.now, s.Gossip))
	}
}

// run advances the time.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(FlushInterval)
		if w.now.UnixNano()%int64(time.Second) == 0 {
			for name, n := range w.seconds {
				w.maxSentPerSecond = max(w.maxSentPerSecond, n)
				w.seconds[name] = 0
			}
		}
		for _, name := range w.names {
			if n, ok := w.nodes[name]; ok && !w.paused[name] {
				w.deliver(name, n.Tick(w.now))
			}
		}
	}
}

// runUntil advances the time until the condition holds, and returns how long that took.
func (w *network) runUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for !condition() {
		if w.now.Sub(start) > limit {
			w.t.Fatalf("%s: not within %v", what, limit)
		}
		w.run(FlushInterval)
	}
	return w.now.Sub(start)
}

// allSee reports whether every running node sees the given number of live members and of
// entries.
func (w *network) allSee(live int) bool {
	for name, n := range w.nodes {
		if w.paused[name] {
			continue
		}
		if n.LiveCount() != live || len(n.Entries()) != live {
			return false
		}
	}
	return true
}

func (w *network) kill(name string) { delete(w.nodes, name) }

// killDomain kills all members of a failure domain and returns their number.
func (w *network) killDomain(domain string) int {
	lost := 0
	for name, n := range w.nodes {
		if n.Self().Domain == domain {
			w.kill(name)
			lost++
		}
	}
	return lost
}

func (w *network) resume(name string) {
	w.paused[name] = false
	for _, g := range w.inbox[name] {
		w.deliver(name, w.nodes[name].Receive(w.now, g))
	}
	w.inbox[name] = nil
}
