package discovery

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gradetiller.example/internal/core/catalog"
)

const (
	worldStep = 25 * time.Millisecond
	worldRest = 6 * time.Second
	// flushEvery is how often a node sends its neighbors what is due, beatEvery how
	// often it beats in any case, and aheadGap how often one asks a node that is ahead.
	flushEvery = 100 * time.Millisecond
	beatEvery  = time.Second
	aheadGap   = 300 * time.Millisecond
	// judgeEvery is how often the lists of all nodes are looked at.
	judgeEvery = 100 * time.Millisecond
	// endpointBeat is how often an endpoint confirms its entry, which goes after
	// three of these without.
	endpointBeat = 1200 * time.Millisecond
	entryLife    = 3 * endpointBeat
)

// leavingWorld is a store, its endpoints, and nodes that keep lists of them.
type leavingWorld struct {
	script    script
	draw      *rand.Rand
	now       time.Duration
	ranking   Ranking
	nodes     []*listNode
	byName    map[string]*listNode
	endpoints []*listedEndpoint
	revision  catalog.Revision
	// awayUntil is when the store is back, lapses whether entries go meanwhile, and
	// unsteady when it was last away.
	awayUntil time.Duration
	lapses    bool
	unsteady  time.Duration
}

// listedEndpoint is an endpoint and its entry in the store.
type listedEndpoint struct {
	entry catalog.Endpoint
	// inStore tells whether the entry is there, beat when it was last confirmed.
	inStore bool
	beat    time.Duration
	phase   time.Duration
	// leftAt is when the store acknowledged that it leaves, or zero; since is when its
	// life began.
	leftAt, since time.Duration
}

// listNode is a node, as far as it keeps a list.
type listNode struct {
	name     string
	list     *List
	own      FirstHand
	known    Freshness
	nextRead time.Duration
	nextAsk  time.Duration
	silent   int
	turn     int
	failed   int
	// lostUntil is when the node is back that neither reads, asks nor answers;
	// cutUntil when one reaches the store again; touched when either ended last.
	lostUntil, cutUntil, touched time.Duration
	// neighbors are those that it beats to, phase when in flushEvery it does; tells
	// tells that a beat is due before its time.
	neighbors []*listNode
	phase     time.Duration
	tells     bool
	// ahead told a revision above this node's; askedAhead is when it was asked last.
	ahead      *listNode
	aheadOf    catalog.Revision
	askedAhead time.Duration
	missing    map[string]time.Duration
}

func newLeavingWorld(s script, seed uint64) *leavingWorld {
	w := &leavingWorld{
		script: s, draw: rand.New(rand.NewPCG(seed, 6)), byName: make(map[string]*listNode), revision: 1,
		unsteady: -time.Hour,
	}
	names := nodeNames(s.nodes)
	w.ranking = Rank(names, nil)
	for i := range s.endpoints {
		e := &listedEndpoint{
			entry: catalog.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "desk"}, inStore: true,
			phase: time.Duration(w.draw.Int64N(int64(endpointBeat))),
		}
		w.list(e)
		w.endpoints = append(w.endpoints, e)
	}
	for _, name := range names {
		n := &listNode{
			name: name, list: NewList(), missing: make(map[string]time.Duration), touched: -time.Hour,
			nextRead: time.Duration(w.draw.Int64N(int64(ReadEvery))), nextAsk: time.Duration(w.draw.Int64N(int64(AskEvery))),
			known: Freshness{Readers: testTime, StandIns: testTime},
		}
		n.take(w.at(), w.entries(), w.revision, w.ranking)
		w.nodes = append(w.nodes, n)
		w.byName[name] = n
		n.phase = time.Duration(w.draw.Int64N(int64(beatEvery))) / worldStep * worldStep
	}
	w.link()
	return w
}

// link gives the nodes their neighbors: those at some distances on a ring.
func (w *leavingWorld) link() {
	size := len(w.nodes)
	root := math.Sqrt(float64(size))
	for i, n := range w.nodes {
		for _, d := range []int{1, 2, int(root), int(root * math.Sqrt(root))} {
			n.neighbors = append(n.neighbors, w.nodes[(i+d)%size], w.nodes[(i-d+size)%size])
		}
	}
}

func (w *leavingWorld) at() time.Time { return testTime.Add(w.now) }

// list puts an endpoint's entry into the store.
func (w *leavingWorld) list(e *listedEndpoint) {
	w.revision++
	e.entry.ModRevision = w.revision
	e.inStore = true
	e.beat = w.now
}

func (w *leavingWorld) drop(e *listedEndpoint) {
	w.revision++
	e.inStore = false
}

func (w *leavingWorld) entries() []catalog.Endpoint {
	var all []catalog.Endpoint
	for _, e := range w.endpoints {
		if e.inStore {
			all = append(all, e.entry)
		}
	}
	return all
}

func (w *leavingWorld) away() bool { return w.now < w.awayUntil }

// play runs the script and returns what was out of bounds.
func (w *leavingWorld) play() []string {
	var found []string
	steps := slices.Clone(w.script.steps)
	end := steps[len(steps)-1].at + worldRest
	for ; w.now <= end; w.now += worldStep {
		for len(steps) > 0 && steps[0].at <= w.now {
			w.take(steps[0])
			steps = steps[1:]
		}
		w.beats()
		for _, n := range w.nodes {
			if w.now >= n.lostUntil {
				w.step(n)
			}
		}
		for _, n := range w.nodes {
			if w.now%judgeEvery == 0 && w.inTouch(n) {
				found = append(found, w.judge(n)...)
			}
		}
	}
	return found
}

// beats has the endpoints confirm their entries, and those lapse that are not.
func (w *leavingWorld) beats() {
	for _, e := range w.endpoints {
		lives := e.leftAt == 0
		due := (w.now+e.phase)%endpointBeat < worldStep
		if lives && due && !w.away() {
			if !e.inStore {
				w.list(e)
			}
			e.beat = w.now
		}
		if w.away() && !w.lapses {
			// The store counts no silence while it is away itself.
			e.beat += worldStep
		}
		if e.inStore && w.now-e.beat > entryLife {
			w.drop(e)
		}
	}
}

// take does one step of the script.
func (w *leavingWorld) take(s scriptStep) {
	switch s.verb {
	case "away":
		length, _ := time.ParseDuration(s.args[0])
		w.awayUntil = s.at + length
		w.lapses = len(s.args) > 1 && s.args[1] == "lapse"
		w.unsteady = w.awayUntil
	case "leave", "drain":
		for _, id := range s.args {
			for _, e := range w.endpoints {
				if e.entry.ID == id {
					w.leave(e, s.verb == "drain")
				}
			}
		}
	case "restart":
		for _, id := range s.args {
			w.restart(id)
		}
	case "lose", "cut":
		length, _ := time.ParseDuration(s.args[1])
		for _, name := range w.struck(s.args[0]) {
			n := w.byName[name]
			n.touched = s.at + length
			if s.verb == "lose" {
				n.lostUntil = n.touched
				continue
			}
			n.cutUntil = n.touched
		}
	default:
		panic("unknown step " + s.verb)
	}
}

// leave has an endpoint leave: with a last word in its entry, or its entry goes.
func (w *leavingWorld) leave(e *listedEndpoint, says bool) {
	e.leftAt = w.now
	if says {
		e.entry.Draining = true
		w.list(e)
		return
	}
	w.drop(e)
}

// restart has an endpoint begin anew under its id: in one change of the store its entry
// is that of another life.
func (w *leavingWorld) restart(id string) {
	for _, e := range w.endpoints {
		if e.entry.ID != id {
			continue
		}
		e.leftAt = w.now
		e.inStore = false
		next := &listedEndpoint{entry: e.entry, phase: e.phase, since: w.now}
		next.entry.ID += "/2"
		w.list(next)
		w.endpoints = append(w.endpoints, next)
		return
	}
}

// struck are the nodes that a word of a script means: the usual readers, these and
// the first that stand in, or a share of all.
func (w *leavingWorld) struck(word string) []string {
	switch word {
	case "readers":
		return w.ranking.Readers(0)
	case "stand-ins":
		return w.ranking.first()
	}
	share, _ := strconv.ParseFloat(word, 64)
	names := w.ranking.Readers(0)
	for _, i := range w.draw.Perm(len(w.nodes)) {
		if name := w.nodes[i].name; len(names) < int(share*float64(len(w.nodes))) && !slices.Contains(names, name) {
			names = append(slices.Clone(names), name)
		}
	}
	return names
}

// step has a node do what is due.
func (w *leavingWorld) step(n *listNode) {
	now := w.at()
	w.beat(n)
	if w.ranking.Reads(n.name, now, n.known) {
		if w.now >= n.nextRead {
			w.read(n)
		}
		return
	}
	if w.now < n.nextAsk {
		return
	}
	n.nextAsk = w.now + AskEvery
	if n.known.Stale(now) {
		n.silent++
	}
	w.ask(n, ReaderFor(w.ranking.Readers(now.Sub(n.known.Readers)), n.name, n.silent))
	if w.ranking.Overdue(now, n.known) {
		n.turn++
		w.ask(n, ReaderFor(nodeNames(len(w.nodes)), n.name, n.turn))
	}
}

// beat has a node beat to its neighbors, and ask one that is ahead when its own list is
// old.
func (w *leavingWorld) beat(n *listNode) {
	if (w.now+n.phase)%flushEvery != 0 {
		return
	}
	if n.tells || (w.now+n.phase)%beatEvery == 0 {
		n.tells = false
		for _, other := range n.neighbors {
			if w.now >= other.lostUntil && n.list.Revision() > other.list.Revision() {
				other.ahead, other.aheadOf = n, n.list.Revision()
			}
		}
	}
	if n.ahead != nil && n.aheadOf > n.list.Revision() && n.known.Stale(w.at()) && w.now-n.askedAhead >= aheadGap {
		n.askedAhead = w.now
		w.ask(n, n.ahead.name)
	}
}

// renewed has a node tell its neighbors at once if it had no news for a while.
func (n *listNode) renewed(stale bool, before catalog.Revision) {
	n.tells = n.tells || stale && n.list.Revision() != before
}

// read has a node read the store.
func (w *leavingWorld) read(n *listNode) {
	if w.away() || w.now < n.cutUntil {
		n.failed++
		n.nextRead = w.now + RetryPause(true, n.failed)
		return
	}
	n.failed = 0
	n.nextRead = w.now + ReadEvery
	stale, before := n.known.Stale(w.at()), n.list.Revision()
	n.take(w.at(), w.entries(), w.revision, w.ranking)
	n.renewed(stale, before)
	n.silent++
	switch {
	case w.ranking.Usual(n.name):
	case w.ranking.StandsIn(n.name):
		w.ask(n, ReaderFor(w.ranking.Readers(0), n.name, n.silent))
	default:
		w.ask(n, ReaderFor(w.ranking.Readers(w.at().Sub(n.known.Readers)), n.name, n.silent))
	}
}

// take takes the store's whole state in.
func (n *listNode) take(at time.Time, entries []catalog.Endpoint, revision catalog.Revision, r Ranking) {
	n.own.ReadList(at)
	n.own.ReadConfig(at)
	n.known = n.known.Later(n.own.Freshness(r, n.name))
	n.list.Read(at, entries, revision)
}

// ask has a node ask another one for what is new.
func (w *leavingWorld) ask(n *listNode, name string) {
	other := w.byName[name]
	if other == n || w.now < other.lostUntil || w.now < n.lostUntil {
		return
	}
	delta := other.list.Above(n.list.Revision())
	if delta.Revision == 0 {
		return
	}
	stale, before := n.known.Stale(w.at()), n.list.Revision()
	defer func() { n.renewed(stale, before) }()
	told := other.known
	told.Own = time.Time{}
	n.known = n.known.Later(told)
	n.list.Apply(told.List, delta)
}

// inTouch reports whether nothing was done to a node or the store for the contact time.
func (w *leavingWorld) inTouch(n *listNode) bool {
	return w.now-n.touched >= w.script.contact && w.now-w.unsteady >= w.script.contact
}

// uses reports whether a node sends an endpoint new work.
func (n *listNode) uses(id string) bool {
	if k, ok := n.list.endpoints[id]; ok {
		return !k.endpoint.Draining
	}
	e, ok := n.list.lapses.endpoints[id]
	return ok && !e.Draining
}

// judge holds a node's list against what it must hold by now.
func (w *leavingWorld) judge(n *listNode) []string {
	var found []string
	for _, e := range w.endpoints {
		id := e.entry.ID
		used := n.uses(id)
		switch {
		case e.leftAt > 0:
			if since := w.now - e.leftAt; used && since > w.script.bound {
				found = append(found, fmt.Sprintf("%v: %s uses %s, which left %v ago", w.now, n.name, id, since))
			}
		case used:
			n.missing[id] = 0
		case e.since > 0 && w.now-e.since <= w.script.bound:
			// Its first news may take as long as those of one that left.
		default:
			if n.missing[id] += judgeEvery; n.missing[id] > w.script.missing {
				found = append(found, fmt.Sprintf("%v: %s has not used %s, which lives, for %v", w.now, n.name, id, n.missing[id]))
			}
		}
	}
	return found
}
