package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/member"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/wire"
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

// node is one node and what is wrong with it.
type node struct {
	name    string
	member  *member.Node
	guard   *poison.Guard
	frozen  time.Time
	down    time.Time
	cutOff  time.Time
	cuts    map[string]cut
	listed  time.Time
	list    []catalog.Endpoint
	probes  []probe
	touched time.Time // when it was last not in touch
}

// cut is a harmed way from a node to an endpoint.
type cut struct {
	until time.Time
	// refuses tells that new connections are refused, as by a filter; else they hang.
	refuses bool
}

type probe struct {
	due      time.Time
	endpoint catalog.Endpoint
}

// endpoint is a worker in its present life.
type endpoint struct {
	worker  string
	address string
	born    time.Time
	ended   time.Time // zero while it lives
	backAt  time.Time
}

// letter is a message on its way.
type letter struct {
	due      time.Time
	from, to string
	gossip   *wire.Gossip
	reports  []poison.Report
}

// run is a request that runs at an endpoint.
type run struct {
	node     *node
	client   *client
	deadly   *deadly
	endpoint *endpoint
	life     catalog.Endpoint
	begun    time.Time
	ends     time.Time
	lost     bool
}

// client sends one request, and comes back a few times when it fails.
type client struct {
	id    poison.ID
	tries int
	next  time.Time
	// done is true while it runs, and when nothing more comes.
	done bool
}

// deadly is a request that crashes what runs it and comes again for ever.
type deadly struct {
	id    poison.ID
	next  time.Time
	third time.Time
	ends  int
	late  int
	sent  int
	// refused is when a node refused it first, all when the last one did.
	refused, all time.Time
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

func identity(body string) poison.ID { return poison.Identify(poison.Content{Body: []byte(body)}) }

// begin starts a node's life: it knows its seeds, the first three nodes, and no more.
func (w *world) begin(n *node) {
	n.guard = poison.NewGuard(heartbeat)
	n.cuts = make(map[string]cut)
	n.probes, n.list = nil, nil
	n.listed, n.touched = time.Time{}, w.now
	n.member = member.New(wire.Member{Node: n.name, Incarnation: uint64(w.now.UnixMilli()), Address: n.name, Entries: []wire.Entry{{Node: n.name, PeerAddress: n.name}}}, hash.Of(n.name))
	var seeds []member.Seed
	for _, other := range w.nodes[:min(len(w.nodes), 3)] {
		if other.name != n.name {
			seeds = append(seeds, member.Seed{Node: other.name, Address: other.name})
		}
	}
	n.member.SetSeeds(seeds)
	w.post(n, n.member.Join())
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

func (w *world) works(n *node) bool {
	return !w.now.Before(n.frozen) && !w.now.Before(n.down)
}

// reaches reports whether nodes reach each other.
func (w *world) reaches(a, b *node) bool { return !w.now.Before(a.cutOff) && !w.now.Before(b.cutOff) }

func (w *world) inTouch(n *node) bool { return w.now.Sub(n.touched) >= w.script.length("contact") }

func (w *world) find(name string) *node { return w.byName[name] }

func (w *world) lag() time.Duration { return time.Duration(2+w.rand.IntN(40)) * time.Millisecond }

func (w *world) post(from *node, sends []member.Send) {
	for _, s := range sends {
		to := s.Address
		if to == "" {
			to = s.Node
		}
		w.postGossip(from, to, s.Gossip)
	}
}

func (w *world) postGossip(from *node, to string, m wire.Gossip) {
	sum, news := from.guard.News(w.now, to, mostTold)
	m.RefusedSum = sum
	m.Refused = nil
	for _, r := range news {
		m.Refused = append(m.Refused, wire.Refusal{Request: r.Request[:], Version: r.Version, Left: r.Left.Milliseconds(), Age: r.Age.Milliseconds(), Times: r.Times, Pardoned: r.Pardoned})
	}
	w.mail = append(w.mail, letter{due: w.now.Add(w.lag()), from: from.name, to: to, gossip: &m})
}

// deliver hands the messages over that are due. Those to and from nodes that can't be
// reached are lost.
func (w *world) deliver() {
	var due, later []letter
	for _, m := range w.mail {
		if m.due.After(w.now) {
			later = append(later, m)
			continue
		}
		due = append(due, m)
	}
	w.mail = later
	for _, m := range due {
		from, to := w.find(m.from), w.find(m.to)
		if to == nil || w.now.Before(to.down) || !w.reaches(from, to) {
			continue
		}
		if w.now.Before(to.frozen) {
			m.due = to.frozen.Add(step)
			w.mail = append(w.mail, m)
			continue
		}
		if m.gossip == nil {
			w.learn(to, to.guard.Reported(w.now, m.reports))
			continue
		}
		w.hear(to, m)
	}
}

func (w *world) hear(n *node, m letter) {
	told := make([]poison.Refusal, 0, len(m.gossip.Refused))
	for _, r := range m.gossip.Refused {
		id, err := poison.IDOf(r.Request)
		if err != nil {
			w.fault("%v", err)
		}
		told = append(told, poison.Refusal{Request: id, Version: r.Version, Left: time.Duration(r.Left) * time.Millisecond, Age: time.Duration(r.Age) * time.Millisecond, Times: r.Times, Pardoned: r.Pardoned})
	}
	out := n.guard.Heard(w.now, m.from, m.gossip.RefusedSum, told)
	w.learn(n, out)
	if out.Answer {
		self := n.member.Self()
		w.postGossip(n, m.from, wire.Gossip{Node: self.Node, Incarnation: self.Incarnation, Members: []wire.Member{self}, Courtesy: true})
	}
	w.post(n, n.member.Receive(w.now, *m.gossip))
}

// learn does what follows from what a node learned.
func (w *world) learn(n *node, out poison.Outcome) {
	for _, e := range slices.Concat(out.Ask, out.Check) {
		n.probes = append(n.probes, probe{due: w.now.Add(step), endpoint: e})
	}
	if out.Spread {
		n.member.BeatSoon()
	}
	n.guard.SetAlone(len(w.nodes) < 2)
	w.tell(n, out.Tell)
	w.checkRefused(n, out)
}

// tell sends reports to the owners of their requests.
func (w *world) tell(n *node, reports []poison.Report) {
	if len(reports) == 0 {
		return
	}
	var names []string
	for _, e := range n.member.Entries() {
		names = append(names, e.Node)
	}
	for _, r := range reports {
		for _, owner := range poison.Owners(r.Request, names) {
			if owner != n.name {
				w.mail = append(w.mail, letter{due: w.now.Add(w.lag()), from: n.name, to: owner, reports: []poison.Report{r}})
			}
		}
	}
}

// checkRefused holds that no other request is refused.
func (w *world) checkRefused(n *node, out poison.Outcome) {
	for _, id := range slices.Concat(out.Refused, out.Heard) {
		if !slices.ContainsFunc(w.poisons, func(p *deadly) bool { return p.id == id }) {
			if w.wronged = append(w.wronged, id); len(slices.Compact(slices.SortedFunc(slices.Values(w.wronged), compareIDs))) > w.script.number("wronged") {
				w.fault("%s refuses another's request after the ends of %v", n.name, n.guard.Ends(w.now, id))
			}
		}
	}
}

func compareIDs(a, b poison.ID) int { return slices.Compare(a[:], b[:]) }

// tick does what a node does by itself.
func (w *world) tick(i int, n *node) {
	if w.now.Before(n.cutOff) {
		n.touched = w.now
	}
	if at := w.now.Sub(w.begun) / step; at%(member.FlushInterval/step) == time.Duration(i)%(member.FlushInterval/step) {
		w.post(n, n.member.Tick(w.now))
	}
	if w.now.Sub(n.listed) >= listEvery {
		n.listed = w.now
		n.list = w.list()
		w.learn(n, n.guard.Listed(w.now, w.now, n.list))
	}
	due := n.probes
	n.probes = nil
	for _, p := range due {
		if p.due.After(w.now) {
			n.probes = append(n.probes, p)
			continue
		}
		w.learn(n, n.guard.Probed(w.now, p.endpoint.ID, w.refuses(n, p.endpoint)))
	}
}

// refuses reports whether a node's connection to an address is refused.
func (w *world) refuses(n *node, e catalog.Endpoint) bool {
	if c, ok := n.cuts[e.Address]; ok && w.now.Before(c.until) {
		return c.refuses
	}
	if w.script.number("proxies") > 0 {
		// What stands before the endpoints takes all connections.
		return false
	}
	return slices.ContainsFunc(w.endpoints, func(o *endpoint) bool { return o.address == e.Address && !o.ended.IsZero() })
}

func (e *endpoint) life() catalog.Endpoint {
	return catalog.Endpoint{ID: catalog.LifeID(e.worker, e.born.UnixMilli()), Service: "model", Address: e.address, Slots: 64}
}

// list is the store's list: entries go three heartbeats after their endpoints ended.
func (w *world) list() []catalog.Endpoint {
	var list []catalog.Endpoint
	for _, e := range w.endpoints {
		if e.ended.IsZero() || w.now.Sub(e.ended) < 3*heartbeat {
			list = append(list, e.life())
		}
	}
	return list
}

func (w *world) restartEndpoints() {
	for _, e := range w.endpoints {
		if !e.ended.IsZero() && !w.now.Before(e.backAt) {
			e.born, e.ended = w.now, time.Time{}
		}
	}
}

// crash ends an endpoint. What ran there breaks off.
func (w *world) crash(e *endpoint) {
	e.ended = w.now
	e.backAt = w.now.Add(w.script.length("back"))
	w.breakRuns(func(r *run) bool { return r.endpoint == e })
}

// breakRuns breaks some runs off.
func (w *world) breakRuns(which func(*run) bool) {
	var kept []*run
	for _, r := range w.runs {
		if !which(r) {
			kept = append(kept, r)
			continue
		}
		w.broken++
		if w.works(r.node) {
			w.learn(r.node, r.node.guard.Broke(w.now, r.life, poison.Lasting, r.id()))
		}
		w.comeBack(r)
	}
	w.runs = kept
}

func (r *run) id() poison.ID {
	if r.deadly != nil {
		return r.deadly.id
	}
	return r.client.id
}

// comeBack has the client of a failed run try again later.
func (w *world) comeBack(r *run) {
	if r.client == nil {
		return
	}
	r.client.tries--
	r.client.done = r.client.tries <= 0
	r.client.next = w.now.Add(time.Duration(100+w.rand.IntN(900)) * time.Millisecond)
}

// endRuns ends the runs whose time has come, and crashes the endpoints of deadly ones.
func (w *world) endRuns() {
	var kept []*run
	var crashed []*endpoint
	for _, r := range w.runs {
		switch {
		case r.deadly != nil && w.now.Sub(r.begun) >= crashesAfter:
			crashed = append(crashed, r.endpoint)
			w.count(r.deadly)
			kept = append(kept, r)
		case r.client == nil || w.now.Before(r.ends):
			kept = append(kept, r)
		case r.lost:
			// Its answer was lost on the way.
			if w.works(r.node) {
				w.learn(r.node, r.node.guard.Broke(w.now, r.life, poison.Lasting, r.client.id))
			}
			w.comeBack(r)
		default:
			w.served++
			if w.works(r.node) {
				w.learn(r.node, r.node.guard.Served(w.now, r.client.id))
			}
		}
	}
	w.runs = kept
	for _, e := range crashed {
		if e.ended.IsZero() {
			w.crash(e)
		}
	}
}

func (w *world) count(p *deadly) {
	p.ends++
	if p.ends == 3 {
		p.third = w.now
	}
}

// send has clients send what is due.
func (w *world) send() {
	for _, p := range w.poisons {
		if w.now.Before(p.next) {
			continue
		}
		p.next = w.now.Add(w.script.length("again"))
		w.start(w.anyNode(), &run{deadly: p})
	}
	perStep := float64(w.script.number("requests")) * step.Seconds()
	for ; perStep > 0; perStep-- {
		if w.rand.Float64() < perStep {
			w.next++
			c := &client{id: w.drawRequest(), tries: w.script.number("tries"), next: w.now}
			w.clients = append(w.clients, c)
		}
	}
	var kept []*client
	for _, c := range w.clients {
		if c.done {
			continue
		}
		kept = append(kept, c)
		if !w.now.Before(c.next) {
			c.next = w.now.Add(time.Hour)
			w.start(w.anyNode(), &run{client: c})
		}
	}
	w.clients = kept
}

// drawRequest returns a request of its own, or now and then the one that many clients send.
func (w *world) drawRequest() poison.ID {
	if share := w.script.number("popular"); share > 0 && w.next%share == 0 {
		return identity("popular")
	}
	return identity(fmt.Sprint(w.next))
}

func (w *world) anyNode() *node { return w.nodes[w.rand.IntN(len(w.nodes))] }

// start has a node send a request to an endpoint, unless it refuses it.
func (w *world) start(n *node, r *run) {
	r.node = n
	if !w.works(n) || len(n.list) == 0 {
		w.comeBack(r)
		return
	}
	if _, refused := n.guard.Refused(w.now, r.id()); refused {
		w.comeBack(r)
		return
	}
	r.life = n.list[w.rand.IntN(len(n.list))]
	for _, e := range w.endpoints {
		if e.address == r.life.Address && e.life().ID == r.life.ID {
			r.endpoint = e
		}
	}
	if r.endpoint != nil && !r.endpoint.ended.IsZero() && w.script.number("proxies") > 0 {
		// What stands before the endpoint takes the connection and breaks it off.
		w.learn(n, n.guard.Broke(w.now, r.life, poison.Brief, r.id()))
		w.comeBack(r)
		return
	}
	if c, ok := n.cuts[r.life.Address]; r.endpoint == nil || !r.endpoint.ended.IsZero() || ok && w.now.Before(c.until) {
		w.comeBack(r)
		return
	}
	r.begun = w.now
	r.ends = w.now.Add(time.Duration(300+w.rand.IntN(1700)) * time.Millisecond)
	r.lost = w.rand.Float64() < w.script.share("lost")
	if p := r.deadly; p != nil {
		p.sent++
		if p.ends >= 3 && w.now.Sub(p.third) >= w.script.length("contact") && w.inTouch(n) {
			p.late++
		}
	}
	w.runs = append(w.runs, r)
}

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

// dropRuns forgets the runs of a node that is killed.
func (w *world) dropRuns(n *node) {
	w.runs = slices.DeleteFunc(w.runs, func(r *run) bool {
		if r.node == n {
			w.comeBack(r)
		}
		return r.node == n
	})
}

// harm takes a third of the endpoints away from a node: their runs break off, and new
// connections are refused or hang. They live on.
func (w *world) harm(n *node, refuses bool, until time.Time) {
	for _, e := range w.endpoints {
		if w.rand.IntN(3) == 0 {
			n.cuts[e.address] = cut{until: until, refuses: refuses}
		}
	}
	w.breakRuns(func(r *run) bool {
		c, ok := n.cuts[r.life.Address]
		return r.node == n && ok && w.now.Before(c.until)
	})
}
