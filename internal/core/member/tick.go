package member

import (
	"slices"
	"time"

	"gradetiller.example/internal/wire"
)

// Tick watches neighbors, ends suspicions and returns the messages that are
// due. The shell calls it every FlushInterval.
func (n *Node) Tick(now time.Time) []Message {
	n.updateLinks(now)
	n.watch(now)
	beat := !now.Before(n.nextBeat)
	if beat {
		n.pace = n.paceAt(now)
		n.nextBeat = now.Add(n.pace.beat)
		n.allowance = n.pace.records
		n.listings = n.pace.listings
	}
	var sends []Message
	for _, name := range n.linkNames() {
		l := n.links[name]
		if beat || l.wantBeat || l.self || l.members.len() > 0 && n.allowance > 0 || len(l.endpoints) > 0 {
			sends = append(sends, n.message(now, name, l, beat))
		}
	}
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(probeInterval)
		sends = n.probe(sends)
	}
	return sends
}

func (n *Node) paceAt(now time.Time) pace {
	if n.started.IsZero() {
		n.started = now
	}
	if now.Sub(n.started) < startTime {
		return startPace
	}
	return usualPace
}

func (n *Node) linkNames() []string {
	names := make([]string, 0, len(n.links))
	for name := range n.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// updateLinks opens links to the ring's neighbors and to those who lately
// sent something as neighbors, and drops the others.
func (n *Node) updateLinks(now time.Time) {
	wanted := n.neighbors()
	for _, name := range wanted {
		l, ok := n.links[name]
		if !ok {
			l = n.addLink(name)
		}
		if !l.neighbor {
			l.neighbor = true
			n.records[name].watched = now
		}
	}
	for name, l := range n.links {
		if slices.Contains(wanted, name) {
			continue
		}
		l.neighbor = false
		r, ok := n.records[name]
		if !ok || ended(r.m.State) || now.Sub(l.lastIn) > courtesyPeriod {
			delete(n.links, name)
		}
	}
}

func (n *Node) addLink(name string) *link {
	l := &link{address: n.records[name].m.Address, self: true}
	n.links[name] = l
	return l
}

// watch suspects neighbors that are silent, and ends suspicions that were not
// refuted.
func (n *Node) watch(now time.Time) {
	for name, l := range n.links {
		r := n.records[name]
		if l.neighbor && r.m.State == wire.Alive && now.Sub(r.watched) > silence {
			n.setState(now, r, wire.Suspect, "")
		}
	}
	for name, r := range n.records {
		switch {
		case r.m.State == wire.Suspect && now.Sub(r.since) > suspicion:
			n.setState(now, r, wire.Dead, "")
		case ended(r.m.State) && now.Sub(r.since) > forgetAfter:
			delete(n.records, name)
			delete(n.higher, name)
			delete(n.higherList, name)
		}
	}
}

// setState changes a record's state without its owner; from is the node that
// told, which need not be told again.
func (n *Node) setState(now time.Time, r *record, s wire.State, from string) {
	m := r.m
	m.State = s
	n.store(now, m, from)
}

// message builds the next message for a link.
func (n *Node) message(now time.Time, name string, l *link, beat bool) Message {
	l.wantBeat = false
	g := n.header()
	g.Courtesy = !l.neighbor
	if l.self {
		l.self = false
		g.Members = append(g.Members, n.self)
	}
	for _, member := range l.members.take(min(maxRecords, max(n.allowance, 0))) {
		n.allowance--
		if r, ok := n.records[member]; ok {
			g.Members = append(g.Members, r.m)
		}
	}
	for _, key := range l.endpoints {
		g.Endpoints = append(g.Endpoints, n.endpoints[key])
	}
	l.endpoints = nil
	if beat && n.listings > 0 && l.mismatches >= n.pace.mismatches && now.Sub(l.listed) > n.pace.listingGap {
		l.listed = now
		l.mismatches = 0
		n.listings--
		g.Listing = n.listing()
	}
	return Message{Node: name, Address: l.address, Gossip: g}
}

func (n *Node) header() wire.Gossip {
	return wire.Gossip{Node: n.self.Node, Incarnation: n.self.Incarnation, ViewHash: n.hash, ConfigVersion: n.config, ListRevision: n.list}
}

func (n *Node) lookup(name string) (wire.Member, bool) {
	if name == n.self.Node {
		return n.self, true
	}
	r, ok := n.records[name]
	if !ok {
		return wire.Member{}, false
	}
	return r.m, true
}

// Join greets all seeds at once; the shell calls it at its start, so that the
// node knows the others before its first beats have found them.
func (n *Node) Join() []Message {
	sends := make([]Message, 0, len(n.seeds))
	for _, s := range n.seeds {
		if s.Node != n.self.Node {
			sends = append(sends, n.greeting(s))
		}
	}
	return sends
}

// greeting tells an instance of the platform's list about this node, and asks
// for what it knows.
func (n *Node) greeting(s Seed) Message {
	g := n.header()
	g.Courtesy = true
	g.Members = []wire.Member{n.self}
	g.Listing = n.listing()
	return Message{Node: s.Node, Address: s.Address, Gossip: g}
}

// probe greets one instance of the platform's list that is unknown or ended,
// or one ended member, so that new and cut-off nodes are found.
func (n *Node) probe(sends []Message) []Message {
	if ended(n.self.State) || n.listings == 0 {
		return sends
	}
	var candidates []Seed
	for _, s := range n.seeds {
		r, ok := n.records[s.Node]
		if s.Node != n.self.Node && (!ok || ended(r.m.State)) {
			candidates = append(candidates, s)
		}
	}
	for name, r := range n.records {
		if r.m.State == wire.Dead && !slices.ContainsFunc(candidates, func(s Seed) bool { return s.Node == name }) {
			candidates = append(candidates, Seed{Node: name, Address: r.m.Address})
		}
	}
	slices.SortFunc(candidates, func(a, b Seed) int { return cmpNames(a, b) })
	if len(candidates) == 0 {
		return sends
	}
	s := candidates[n.rand.IntN(len(candidates))]
	n.listings--
	return append(sends, n.greeting(s))
}

func cmpNames(a, b Seed) int {
	if a.Node < b.Node {
		return -1
	}
	return 1
}

func (n *Node) listing() []wire.RecordVersion {
	list := []wire.RecordVersion{versionOf(n.self)}
	for _, r := range n.records {
		list = append(list, versionOf(r.m))
	}
	return list
}

func versionOf(m wire.Member) wire.RecordVersion {
	return wire.RecordVersion{Node: m.Node, Incarnation: m.Incarnation, Seq: m.Seq, State: m.State}
}
