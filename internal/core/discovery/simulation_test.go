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
	simStep = 25 * time.Millisecond
	simTail = 6 * time.Second
	// flushInterval is how often a node sends due messages to its neighbors, beatInterval
	// how often it sends a heartbeat in any case, and newerPeerInterval how often at most
	// it polls a neighbor with a newer list.
	flushInterval     = 100 * time.Millisecond
	beatInterval      = time.Second
	newerPeerInterval = 300 * time.Millisecond
	// checkInterval is how often the lists of all nodes are checked.
	checkInterval = 100 * time.Millisecond
	// endpointHeartbeat is how often an endpoint confirms its entry, which lapses after
	// three missed heartbeats.
	endpointHeartbeat = 1200 * time.Millisecond
	entryTTL          = 3 * endpointHeartbeat
)

// simulation models a store, its endpoints, and nodes that keep lists of them.
type simulation struct {
	script    script
	rand      *rand.Rand
	now       time.Duration
	ranking   Ranking
	nodes     []*simNode
	byName    map[string]*simNode
	endpoints []*simEndpoint
	revision  catalog.Revision
	// storeDownUntil is when the store recovers, entriesLapse whether entries lapse
	// meanwhile, and lastStoreFault when it was last unavailable.
	storeDownUntil time.Duration
	entriesLapse   bool
	lastStoreFault time.Duration
}

// simEndpoint is an endpoint and its entry in the store.
type simEndpoint struct {
	entry catalog.Endpoint
	// inStore is true while the store has the entry, lastHeartbeat is when it was last
	// confirmed.
	inStore       bool
	lastHeartbeat time.Duration
	phase         time.Duration
	// leftAt is when the store acknowledged that the endpoint leaves, or zero; since is
	// when this incarnation of the endpoint began.
	leftAt, since time.Duration
}

// simNode models the list of one node.
type simNode struct {
	name      string
	list      *List
	own       DirectReads
	known     Freshness
	nextRead  time.Duration
	nextPoll  time.Duration
	tries     int
	peerTries int
	failed    int
	// Until lostUntil the node neither reads, polls nor answers. Until cutUntil it cannot
	// reach the store. lastFault is when either ended last.
	lostUntil, cutUntil, lastFault time.Duration
	// neighbors receive the node's heartbeats, phase is their offset within beatInterval,
	// and beatDue requests a heartbeat ahead of time.
	neighbors []*simNode
	phase     time.Duration
	beatDue   bool
	// newerPeer announced a revision above this node's, newerRevision. newerPolled is when
	// it was last polled.
	newerPeer     *simNode
	newerRevision catalog.Revision
	newerPolled   time.Duration
	missing       map[string]time.Duration
}

func newSimulation(s script, seed uint64) *simulation {
	w := &simulation{
		script: s, rand: rand.New(rand.NewPCG(seed, 6)), byName: make(map[string]*simNode), revision: 1,
		lastStoreFault: -time.Hour,
	}
	names := nodeNames(s.nodes)
	w.ranking = Rank(names, nil)
	for i := range s.endpoints {
		e := &simEndpoint{
			entry: catalog.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "desk"}, inStore: true,
			phase: time.Duration(w.rand.Int64N(int64(endpointHeartbeat))),
		}
		w.register(e)
		w.endpoints = append(w.endpoints, e)
	}
	for _, name := range names {
		n := &simNode{
			name: name, list: NewList(), missing: make(map[string]time.Duration), lastFault: -time.Hour,
			nextRead: time.Duration(w.rand.Int64N(int64(ReadInterval))), nextPoll: time.Duration(w.rand.Int64N(int64(PollInterval))),
			known: Freshness{Primaries: testTime, Candidates: testTime},
		}
		n.applySnapshot(w.time(), w.entries(), w.revision, w.ranking)
		w.nodes = append(w.nodes, n)
		w.byName[name] = n
		n.phase = time.Duration(w.rand.Int64N(int64(beatInterval))) / simStep * simStep
	}
	w.connectNeighbors()
	return w
}

// connectNeighbors links each node to those at certain distances on a ring.
func (w *simulation) connectNeighbors() {
	size := len(w.nodes)
	root := math.Sqrt(float64(size))
	for i, n := range w.nodes {
		for _, d := range []int{1, 2, int(root), int(root * math.Sqrt(root))} {
			n.neighbors = append(n.neighbors, w.nodes[(i+d)%size], w.nodes[(i-d+size)%size])
		}
	}
}

func (w *simulation) time() time.Time { return testTime.Add(w.now) }

// register writes an endpoint's entry to the store.
func (w *simulation) register(e *simEndpoint) {
	w.revision++
	e.entry.ModRevision = w.revision
	e.inStore = true
	e.lastHeartbeat = w.now
}

func (w *simulation) deregister(e *simEndpoint) {
	w.revision++
	e.inStore = false
}

func (w *simulation) entries() []catalog.Endpoint {
	var all []catalog.Endpoint
	for _, e := range w.endpoints {
		if e.inStore {
			all = append(all, e.entry)
		}
	}
	return all
}

func (w *simulation) storeDown() bool { return w.now < w.storeDownUntil }

// run runs the script and returns all violations of its bounds.
func (w *simulation) run() []string {
	var found []string
	steps := slices.Clone(w.script.steps)
	end := steps[len(steps)-1].at + simTail
	for ; w.now <= end; w.now += simStep {
		for len(steps) > 0 && steps[0].at <= w.now {
			w.runStep(steps[0])
			steps = steps[1:]
		}
		w.heartbeatEndpoints()
		for _, n := range w.nodes {
			if w.now >= n.lostUntil {
				w.step(n)
			}
		}
		for _, n := range w.nodes {
			if w.now%checkInterval == 0 && w.inContact(n) {
				found = append(found, w.checkNode(n)...)
			}
		}
	}
	return found
}

// heartbeatEndpoints confirms the entries of live endpoints, and drops those that lapsed.
func (w *simulation) heartbeatEndpoints() {
	for _, e := range w.endpoints {
		alive := e.leftAt == 0
		due := (w.now+e.phase)%endpointHeartbeat < simStep
		if alive && due && !w.storeDown() {
			if !e.inStore {
				w.register(e)
			}
			e.lastHeartbeat = w.now
		}
		if w.storeDown() && !w.entriesLapse {
			// The store does not count silence while it is unavailable.
			e.lastHeartbeat += simStep
		}
		if e.inStore && w.now-e.lastHeartbeat > entryTTL {
			w.deregister(e)
		}
	}
}

// runStep runs one step of the script.
func (w *simulation) runStep(s scriptStep) {
	switch s.verb {
	case "away":
		length, _ := time.ParseDuration(s.args[0])
		w.storeDownUntil = s.at + length
		w.entriesLapse = len(s.args) > 1 && s.args[1] == "lapse"
		w.lastStoreFault = w.storeDownUntil
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
		for _, name := range w.targets(s.args[0]) {
			n := w.byName[name]
			n.lastFault = s.at + length
			if s.verb == "lose" {
				n.lostUntil = n.lastFault
				continue
			}
			n.cutUntil = n.lastFault
		}
	default:
		panic("unknown step " + s.verb)
	}
}

// leave makes an endpoint leave: it marks its entry as draining, or its entry is removed.
func (w *simulation) leave(e *simEndpoint, announces bool) {
	e.leftAt = w.now
	if announces {
		e.entry.Draining = true
		w.register(e)
		return
	}
	w.deregister(e)
}

// restart restarts an endpoint under its id: one change of the store replaces its entry by
// that of the next incarnation.
func (w *simulation) restart(id string) {
	for _, e := range w.endpoints {
		if e.entry.ID != id {
			continue
		}
		e.leftAt = w.now
		e.inStore = false
		next := &simEndpoint{entry: e.entry, phase: e.phase, since: w.now}
		next.entry.ID += "/2"
		w.register(next)
		w.endpoints = append(w.endpoints, next)
		return
	}
}

// targets returns the nodes that a selector of a script names: the primary readers, all
// candidates, or a share of all nodes.
func (w *simulation) targets(selector string) []string {
	switch selector {
	case "readers":
		return w.ranking.Readers(0)
	case "stand-ins":
		return w.ranking.candidates()
	}
	share, _ := strconv.ParseFloat(selector, 64)
	names := w.ranking.Readers(0)
	for _, i := range w.rand.Perm(len(w.nodes)) {
		if name := w.nodes[i].name; len(names) < int(share*float64(len(w.nodes))) && !slices.Contains(names, name) {
			names = append(slices.Clone(names), name)
		}
	}
	return names
}

// step runs the due actions of a node.
func (w *simulation) step(n *simNode) {
	now := w.time()
	w.beat(n)
	if w.ranking.Reads(n.name, now, n.known) {
		if w.now >= n.nextRead {
			w.read(n)
		}
		return
	}
	if w.now < n.nextPoll {
		return
	}
	n.nextPoll = w.now + PollInterval
	if n.known.Stale(now) {
		n.tries++
	}
	w.poll(n, ReaderFor(w.ranking.Readers(now.Sub(n.known.Primaries)), n.name, n.tries))
	if w.ranking.Overdue(now, n.known) {
		n.peerTries++
		w.poll(n, ReaderFor(nodeNames(len(w.nodes)), n.name, n.peerTries))
	}
}

// beat sends a node's heartbeat to its neighbors, and polls a peer with a newer list if the
// node's own list is stale.
func (w *simulation) beat(n *simNode) {
	if (w.now+n.phase)%flushInterval != 0 {
		return
	}
	if n.beatDue || (w.now+n.phase)%beatInterval == 0 {
		n.beatDue = false
		for _, other := range n.neighbors {
			if w.now >= other.lostUntil && n.list.Revision() > other.list.Revision() {
				other.newerPeer, other.newerRevision = n, n.list.Revision()
			}
		}
	}
	if n.newerPeer != nil && n.newerRevision > n.list.Revision() && n.known.Stale(w.time()) && w.now-n.newerPolled >= newerPeerInterval {
		n.newerPolled = w.now
		w.poll(n, n.newerPeer.name)
	}
}

// scheduleBeat requests a heartbeat ahead of time if a stale list was renewed.
func (n *simNode) scheduleBeat(stale bool, before catalog.Revision) {
	n.beatDue = n.beatDue || stale && n.list.Revision() != before
}

// read makes a node read the store.
func (w *simulation) read(n *simNode) {
	if w.storeDown() || w.now < n.cutUntil {
		n.failed++
		n.nextRead = w.now + RetryDelay(true, n.failed)
		return
	}
	n.failed = 0
	n.nextRead = w.now + ReadInterval
	stale, before := n.known.Stale(w.time()), n.list.Revision()
	n.applySnapshot(w.time(), w.entries(), w.revision, w.ranking)
	n.scheduleBeat(stale, before)
	n.tries++
	switch {
	case w.ranking.IsPrimary(n.name):
	case w.ranking.IsCandidate(n.name):
		w.poll(n, ReaderFor(w.ranking.Readers(0), n.name, n.tries))
	default:
		w.poll(n, ReaderFor(w.ranking.Readers(w.time().Sub(n.known.Primaries)), n.name, n.tries))
	}
}

// applySnapshot applies the store's full state.
func (n *simNode) applySnapshot(at time.Time, entries []catalog.Endpoint, revision catalog.Revision, r Ranking) {
	n.own.RecordList(at)
	n.own.RecordConfig(at)
	n.known = n.known.Merge(n.own.Freshness(r, n.name))
	n.list.ApplySnapshot(at, entries, revision)
}

// poll makes a node poll another one for changes.
func (w *simulation) poll(n *simNode, name string) {
	other := w.byName[name]
	if other == n || w.now < other.lostUntil || w.now < n.lostUntil {
		return
	}
	delta := other.list.ChangesSince(n.list.Revision())
	if delta.Revision == 0 {
		return
	}
	stale, before := n.known.Stale(w.time()), n.list.Revision()
	defer func() { n.scheduleBeat(stale, before) }()
	received := other.known
	received.Own = time.Time{}
	n.known = n.known.Merge(received)
	n.list.ApplyDelta(received.List, delta)
}

// inContact reports whether neither the node nor the store had a fault within the contact
// time.
func (w *simulation) inContact(n *simNode) bool {
	return w.now-n.lastFault >= w.script.contact && w.now-w.lastStoreFault >= w.script.contact
}

// uses reports whether a node sends new work to an endpoint.
func (n *simNode) uses(id string) bool {
	if k, ok := n.list.endpoints[id]; ok {
		return !k.endpoint.Draining
	}
	e, ok := n.list.lapsed.endpoints[id]
	return ok && !e.Draining
}

// checkNode checks a node's list against what it must hold by now.
func (w *simulation) checkNode(n *simNode) []string {
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
			// Its first entry may take as long to spread as the removal of an endpoint.
		default:
			if n.missing[id] += checkInterval; n.missing[id] > w.script.missing {
				found = append(found, fmt.Sprintf("%v: %s has not used %s, which is alive, for %v", w.now, n.name, id, n.missing[id]))
			}
		}
	}
	return found
}
