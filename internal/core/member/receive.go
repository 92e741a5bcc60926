package member

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/wire"
)

// Receive takes a message in and returns direct answers to its sender.
func (n *Node) Receive(now time.Time, g wire.Gossip) []Send {
	if g.Node == n.self.Node {
		return nil
	}
	for _, m := range g.Members {
		n.merge(now, m, g.Node)
	}
	for _, e := range g.Endpoints {
		known := n.endpoints[endpointKey{e.Pool, e.Name}]
		if newerEndpoint(e, known) {
			n.takeEndpoint(e, g.Node)
		}
	}
	r, ok := n.records[g.Node]
	if !ok {
		return n.answerStranger(g)
	}
	if ended(r.m.State) && g.Incarnation == r.m.Incarnation {
		// The sender does not know that it was given up; told so, it comes
		// back with a higher incarnation.
		out := n.header()
		out.Courtesy = true
		out.Members = []wire.Member{r.m, n.self}
		return []Send{{Node: g.Node, Address: r.m.Address, Gossip: out}}
	}
	n.heard(now, r, g)
	note(n.higher, g.Node, g.ConfigVersion, n.config)
	note(n.higherList, g.Node, g.ListRevision, n.list)
	if len(g.Listing) == 0 {
		return nil
	}
	return n.answerListing(r, g)
}

// note remembers a node that told a higher version than one's own.
func note(higher map[string]uint64, node string, told, own uint64) {
	if told > own {
		higher[node] = told
		return
	}
	delete(higher, node)
}

// answerStranger makes this node known to a sender that it does not know. Such
// a sender knew an earlier life of this node and would not hear of the present
// one before it has given that up; the two could lead side by side until then.
// The sender's address is not known, so the answer goes back the way the message
// came.
func (n *Node) answerStranger(g wire.Gossip) []Send {
	if g.Courtesy || ended(n.self.State) || n.listings == 0 {
		return nil
	}
	n.listings--
	return []Send{n.greeting(Seed{Node: g.Node})}
}

// heard counts the message as a sign of life of the incarnation that sent it.
func (n *Node) heard(now time.Time, r *record, g wire.Gossip) {
	if g.Incarnation != r.m.Incarnation {
		return
	}
	r.watched = now
	l, ok := n.links[g.Node]
	if !ok {
		if g.Courtesy || ended(r.m.State) {
			return
		}
		l = n.addLink(g.Node)
	}
	if !g.Courtesy {
		l.lastIn = now
	}
	if g.ViewHash == n.hash || l.members.len() > 0 || len(g.Members) > 0 {
		l.mismatches = 0
		return
	}
	l.mismatches++
}

// newerEndpoint reports whether finding a takes precedence over b; of two
// watchers' findings with one number, "leaving" wins.
func newerEndpoint(a, b wire.Endpoint) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Leaving && !b.Leaving
}

// merge takes one record in if it is newer than the known one.
func (n *Node) merge(now time.Time, m wire.Member, from string) {
	if m.Node == n.self.Node {
		n.refute(m)
		return
	}
	r, ok := n.records[m.Node]
	if ok && !newer(m, r.m) {
		if !newer(r.m, m) {
			n.knows(from, m.Node)
		}
		return
	}
	n.store(now, m, from)
}

// newer reports whether a takes precedence over b. Only the owner raises
// incarnation and sequence. An incarnation that ended stays ended, whatever
// its process says later; else the higher sequence wins, and among equals the
// worse state.
func newer(a, b wire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if ended(a.State) != ended(b.State) {
		return ended(a.State)
	}
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.State > b.State
}

// refute answers a record about this node that is not its own latest.
func (n *Node) refute(m wire.Member) {
	if ended(n.self.State) || !newer(m, n.self) {
		return
	}
	n.hash ^= recordHash(n.self)
	if m.Incarnation > n.self.Incarnation || m.Seq > n.self.Seq || ended(m.State) {
		// An earlier life of this name, whose clock may have been ahead, or
		// this life was given up for dead.
		n.self.Incarnation = m.Incarnation + 1
	}
	n.self.Seq = max(n.self.Seq, m.Seq)
	n.hash ^= recordHash(n.self)
	n.renewSelf()
}

// knows takes a record off what is owed to a peer that has just sent it.
func (n *Node) knows(peer, name string) {
	if l, ok := n.links[peer]; ok {
		l.members.remove(name)
	}
}

func (n *Node) store(now time.Time, m wire.Member, from string) {
	r, ok := n.records[m.Node]
	if !ok {
		r = &record{watched: now}
		n.records[m.Node] = r
		n.ringStale = true
	} else {
		n.hash ^= recordHash(r.m)
	}
	if r.m.State != m.State || r.m.Incarnation != m.Incarnation {
		r.since = now
		n.ringStale = true
	}
	if r.m.Incarnation != m.Incarnation {
		r.watched = now
	}
	r.m = m
	n.hash ^= recordHash(m)
	n.changed = true
	if l, ok := n.links[m.Node]; ok {
		l.address = m.Address
	}
	n.spread(m.Node, from)
}

// spread queues a record for all links but the one it came from. A member is
// sent its own record too, since it must hear of a suspicion to refute it.
func (n *Node) spread(name, from string) {
	r := n.records[name]
	n.mostCapacity = max(n.mostCapacity, capacityOf(r.m))
	urgent := n.isStrong(r.m)
	for to, l := range n.links {
		if to != from {
			l.members.add(name, urgent)
		}
	}
}

// capacityOf is the processor share of the largest instance of a member.
func capacityOf(m wire.Member) int {
	most := 0
	for _, e := range m.Entries {
		most = max(most, e.Capacity)
	}
	return most
}

// isStrong reports whether a member is one of those that lead and read for all. A
// node that starts needs to know these before it can have any work done, so their
// records go ahead of the others.
func (n *Node) isStrong(m wire.Member) bool {
	return !ended(m.State) && lead.IsLarge(capacityOf(m), n.mostCapacity)
}

// answerListing sends what the listing lacks, and this node's own listing if
// it holds something newer.
func (n *Node) answerListing(r *record, g wire.Gossip) []Send {
	theirs := make(map[string]wire.RecordVersion, len(g.Listing))
	behind := false
	for _, v := range g.Listing {
		if v.Node == n.self.Node {
			n.refute(memberOf(v))
		}
		theirs[v.Node] = v
		known, ok := n.lookup(v.Node)
		if !ok || newer(memberOf(v), known) {
			behind = true
		}
	}
	var missing, weak []string
	for _, m := range n.Members() {
		v, ok := theirs[m.Node]
		switch {
		case !ok && ended(m.State) || ok && !newer(m, memberOf(v)):
		case n.isStrong(m):
			missing = append(missing, m.Node)
		default:
			weak = append(weak, m.Node)
		}
	}
	strong := len(missing)
	missing = append(missing, weak...)
	out := n.header()
	out.Courtesy = true
	out.Answer = true
	out.Endpoints = n.Endpoints()
	count := max(min(len(missing), maxRecords, n.allowance), 0)
	if len(weak) > 0 && strong <= maxRecords {
		// The few strong ones are told in any case.
		count = max(count, strong)
	}
	n.allowance -= count
	for _, name := range missing[:count] {
		m, _ := n.lookup(name)
		out.Members = append(out.Members, m)
	}
	if !slices.Contains(missing, n.self.Node) {
		out.Members = append(out.Members, n.self)
	}
	if behind && !g.Answer && n.listings > 0 {
		n.listings--
		out.Listing = n.listing()
	}
	return []Send{{Node: g.Node, Address: r.m.Address, Gossip: out}}
}

func memberOf(v wire.RecordVersion) wire.Member {
	return wire.Member{Node: v.Node, Incarnation: v.Incarnation, Seq: v.Seq, State: v.State}
}
