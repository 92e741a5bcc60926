package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"gradetiller.example/internal/core/poison"
)

const (
	step      = 20 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
	// listEvery is how often a node's list of endpoints is renewed.
	listEvery = 750 * time.Millisecond
	// crashesAfter is how long a deadly request runs before its endpoint crashes.
	crashesAfter = 60 * time.Millisecond
	// mostTold bounds the refusals of one message.
	mostTold = 128
)

// world is a system of nodes and endpoints in simulated time.
type world struct {
	script    script
	rand      *rand.Rand
	now       time.Time
	begun     time.Time
	nodes     []*node
	byName    map[string]*node
	endpoints []*endpoint
	mail      []letter
	runs      []*run
	clients   []*client
	poisons   []*deadly
	// wronged are requests of others that a node refuses.
	wronged []poison.ID
	faults  []string
	served  int
	broken  int
	next    int
}

func newWorld(s script, seed uint64) *world {
	start := time.UnixMilli(1_700_000_000_000)
	w := &world{script: s, rand: rand.New(rand.NewPCG(seed, 7)), now: start, begun: start, byName: make(map[string]*node)}
	for i := range s.number("endpoints") {
		w.endpoints = append(w.endpoints, &endpoint{worker: fmt.Sprintf("e%d", i), address: fmt.Sprintf("10.0.%d.%d:80", i/200, 1+i%200), born: start})
	}
	for i := range s.number("nodes") {
		n := &node{name: fmt.Sprintf("n%d", i)}
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
		w.begin(n)
	}
	for i := range s.number("poisons") {
		w.poisons = append(w.poisons, &deadly{id: identity(fmt.Sprintf("poison %d", i)), next: start.Add(s.length("first"))})
	}
	return w
}

// play runs the script and returns what broke its bounds.
func (w *world) play() []string {
	end := w.begun.Add(w.script.length("length"))
	steps := slices.Clone(w.script.steps)
	for w.now = w.begun; w.now.Before(end); w.now = w.now.Add(step) {
		for len(steps) > 0 && w.now.Sub(w.begun) >= steps[0].at {
			w.do(steps[0])
			steps = steps[1:]
		}
		w.restartEndpoints()
		w.deliver()
		for i, n := range w.nodes {
			if w.works(n) {
				w.tick(i, n)
			}
		}
		w.endRuns()
		w.send()
		w.watchSpread()
	}
	w.judge()
	return w.faults
}

// watchSpread notes when the first node and when all nodes refuse a deadly request.
func (w *world) watchSpread() {
	for _, p := range w.poisons {
		if p.ends < 3 || !p.all.IsZero() {
			continue
		}
		refusing := 0
		for _, n := range w.nodes {
			if _, refused := n.guard.Refused(w.now, p.id); refused {
				refusing++
			}
		}
		if refusing > 0 && p.refused.IsZero() {
			p.refused = w.now
		}
		if refusing == len(w.nodes) {
			p.all = w.now
		}
	}
}

func (w *world) fault(format string, values ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%6.2f s  ", w.now.Sub(w.begun).Seconds())+fmt.Sprintf(format, values...))
}

func (w *world) judge() {
	for i, p := range w.poisons {
		if p.ends < 3 {
			w.fault("poison %d ended %d endpoints only: the script shows nothing", i, p.ends)
		}
		if p.late > w.script.number("late") {
			w.fault("poison %d was sent %d times more by nodes in touch, late after its third end; %d ended in all", i, p.late, p.ends)
		}
	}
	if w.served < w.script.number("requests") {
		w.fault("%d requests of others served: the script shows nothing", w.served)
	}
}

func (w *world) find(name string) *node { return w.byName[name] }

func (w *world) anyNode() *node { return w.nodes[w.rand.IntN(len(w.nodes))] }

// do carries a step of the script out: VERB SHARE LENGTH.
func (w *world) do(s scriptStep) {
	until := w.now.Add(s.lasts)
	switch s.verb {
	case "crash":
		for _, i := range w.rand.Perm(len(w.endpoints))[:s.count(len(w.endpoints))] {
			if e := w.endpoints[i]; e.ended.IsZero() {
				w.crash(e)
			}
		}
		return
	case "reset":
		w.breakRuns(func(*run) bool { return w.rand.Float64() < s.share })
		return
	}
	chosen := w.rand.Perm(len(w.nodes))[:s.count(len(w.nodes))]
	sort.Ints(chosen)
	for _, i := range chosen {
		n := w.nodes[i]
		n.touched = until
		switch s.verb {
		case "kill":
			w.dropRuns(n)
			n.down = until
			defer w.begin(n)
		case "freeze":
			n.frozen = until
		case "isolate":
			n.cutOff = until
		case "filter", "silence":
			w.harm(n, s.verb == "filter", until)
		default:
			w.fault("unknown verb %q", s.verb)
		}
	}
}
