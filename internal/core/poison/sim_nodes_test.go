package poison_test

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/member"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/wire"
)

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

// letter is a message on its way.
type letter struct {
	due      time.Time
	from, to string
	gossip   *wire.Gossip
	reports  []poison.Report
}

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

func (w *world) works(n *node) bool {
	return !w.now.Before(n.frozen) && !w.now.Before(n.down)
}

// reaches reports whether nodes reach each other.
func (w *world) reaches(a, b *node) bool { return !w.now.Before(a.cutOff) && !w.now.Before(b.cutOff) }

func (w *world) inTouch(n *node) bool { return w.now.Sub(n.touched) >= w.script.length("contact") }

func (w *world) lag() time.Duration { return time.Duration(2+w.rand.IntN(40)) * time.Millisecond }

func (w *world) post(from *node, sends []member.Message) {
	for _, s := range sends {
		to := s.Address
		if to == "" {
			to = s.Node
		}
		w.postGossip(from, to, s.Gossip)
	}
}

func (w *world) postGossip(from *node, to string, m wire.Gossip) {
	sum, news := from.guard.NextUpdates(w.now, to, mostTold)
	m.RefusedSum = sum
	m.Refused = nil
	for _, r := range news {
		m.Refused = append(m.Refused, wire.Refusal{Request: r.Request[:], Version: r.Version, Left: r.Remaining.Milliseconds(), Age: r.Age.Milliseconds(), Times: r.Count, Pardoned: r.Pardoned})
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
			w.learn(to, to.guard.HandleReports(w.now, m.reports))
			continue
		}
		w.hear(to, m)
	}
}

func (w *world) hear(n *node, m letter) {
	told := make([]poison.Refusal, 0, len(m.gossip.Refused))
	for _, r := range m.gossip.Refused {
		id, err := poison.ParseID(r.Request)
		if err != nil {
			w.fault("%v", err)
		}
		told = append(told, poison.Refusal{Request: id, Version: r.Version, Remaining: time.Duration(r.Left) * time.Millisecond, Age: time.Duration(r.Age) * time.Millisecond, Count: r.Times, Pardoned: r.Pardoned})
	}
	out := n.guard.HandleGossip(w.now, m.from, m.gossip.RefusedSum, told)
	w.learn(n, out)
	if out.Reply {
		self := n.member.Self()
		w.postGossip(n, m.from, wire.Gossip{Node: self.Node, Incarnation: self.Incarnation, Members: []wire.Member{self}, Courtesy: true})
	}
	w.post(n, n.member.Receive(w.now, *m.gossip))
}

// learn does what follows from what a node learned.
func (w *world) learn(n *node, out poison.Outcome) {
	for _, e := range slices.Concat(out.Probe, out.Verify) {
		n.probes = append(n.probes, probe{due: w.now.Add(step), endpoint: e})
	}
	if out.GossipSoon {
		n.member.RequestHeartbeat()
	}
	n.guard.SetSingleNode(len(w.nodes) < 2)
	w.tell(n, out.Reports)
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
	for _, id := range slices.Concat(out.Refused, out.RefusedByPeers) {
		if !slices.ContainsFunc(w.poisons, func(p *deadly) bool { return p.id == id }) {
			if w.wronged = append(w.wronged, id); len(slices.Compact(slices.SortedFunc(slices.Values(w.wronged), compareIDs))) > w.script.number("wronged") {
				w.fault("%s refuses another's request after the ends of %v", n.name, n.guard.Crashes(w.now, id))
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
		w.learn(n, n.guard.UpdateEndpoints(w.now, w.now, n.list))
	}
	due := n.probes
	n.probes = nil
	for _, p := range due {
		if p.due.After(w.now) {
			n.probes = append(n.probes, p)
			continue
		}
		w.learn(n, n.guard.RecordProbe(w.now, p.endpoint.ID, w.refuses(n, p.endpoint)))
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
