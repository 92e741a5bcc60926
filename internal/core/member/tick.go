package member

import (
	"slices"
	"time"

	"gradetiller.example/internal/wire"
)

// Tick monitors the neighbors, ends suspicions and returns the messages that are due. The
// caller invokes it every FlushInterval.
func (n *Node) Tick(now time.Time) []Message {
	n.updateLinks(now)
	n.detectFailures(now)
	beat := !now.Before(n.nextHeartbeat)
	if beat {
		n.pacing = n.pacingAt(now)
		n.nextHeartbeat = now.Add(n.pacing.heartbeat)
		n.recordBudget = n.pacing.records
		n.listingBudget = max(min(n.pacing.listings, n.pacing.listed/(len(n.records)+1)), 1)
	}
	var messages []Message
	for _, name := range n.linkNames() {
		l := n.links[name]
		if beat || l.heartbeatDue || l.sendSelf || l.pending.len() > 0 && n.recordBudget > 0 || len(l.endpoints) > 0 {
			messages = append(messages, n.message(now, name, l, beat))
		}
	}
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(probeInterval)
		messages = n.probe(messages)
	}
	return messages
}

func (n *Node) pacingAt(now time.Time) pacing {
	if n.started.IsZero() {
		n.started = now
	}
	if now.Sub(n.started) < startupPeriod {
		return startupPacing
	}
	return normalPacing
}

func (n *Node) linkNames() []string {
	names := make([]string, 0, len(n.links))
	for name := range n.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// nearNeighbors is the number of neighbors next to a node on the ring, which neighbors returns first.
const nearNeighbors = 2

// updateLinks opens links to the ring neighbors, keeps those to members that recently sent
// messages as neighbors, and drops all others.
func (n *Node) updateLinks(now time.Time) {
	wanted := n.neighbors()
	for k, name := range wanted {
		l, ok := n.links[name]
		if !ok {
			l = n.addLink(name)
		}
		l.near = k < nearNeighbors
		if !l.neighbor {
			l.neighbor = true
			n.records[name].lastHeard = now
		}
	}
	for name, l := range n.links {
		if slices.Contains(wanted, name) {
			continue
		}
		l.neighbor, l.near = false, false
		r, ok := n.records[name]
		if !ok || isTerminal(r.member.State) || now.Sub(l.lastReceived) > inboundLinkTimeout {
			delete(n.links, name)
		}
	}
}

func (n *Node) addLink(name string) *link {
	l := &link{address: n.records[name].member.Address, sendSelf: true}
	n.links[name] = l
	return l
}

// detectFailures suspects silent neighbors, and declares suspects dead that did not refute
// the suspicion in time.
func (n *Node) detectFailures(now time.Time) {
	for name, l := range n.links {
		r := n.records[name]
		if l.neighbor && r.member.State == wire.Alive && now.Sub(r.lastHeard) > suspectTimeout {
			n.setState(now, r, wire.Suspect, "")
		}
	}
	for name, r := range n.records {
		switch {
		case r.member.State == wire.Suspect && now.Sub(r.since) > deadTimeout:
			n.setState(now, r, wire.Dead, "")
		case isTerminal(r.member.State) && now.Sub(r.since) > tombstoneTTL:
			delete(n.records, name)
			delete(n.newerConfigs, name)
			delete(n.newerLists, name)
		}
	}
}

// setState changes a record's state on behalf of its owner. The record is not sent back to
// from, the node that reported the state.
func (n *Node) setState(now time.Time, r *record, s wire.State, from string) {
	m := r.member
	m.State = s
	n.store(now, m, from)
}

// message returns the next message for a link.
func (n *Node) message(now time.Time, name string, l *link, beat bool) Message {
	l.heartbeatDue = false
	g := n.header()
	g.NonNeighbor = !l.neighbor
	if l.sendSelf {
		l.sendSelf = false
		g.Members = append(g.Members, n.self)
	}
	for _, member := range l.pending.pop(min(maxRecords, max(n.recordBudget, 0))) {
		n.recordBudget--
		if r, ok := n.records[member]; ok {
			g.Members = append(g.Members, r.member)
		}
	}
	for _, key := range l.endpoints {
		g.Endpoints = append(g.Endpoints, n.endpoints[key])
	}
	l.endpoints = nil
	if beat && n.listingBudget > 0 && l.mismatches >= n.pacing.mismatches && now.Sub(l.lastListing) > n.pacing.listingInterval {
		l.lastListing = now
		l.mismatches = 0
		n.listingBudget--
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
	return r.member, true
}

const (
	// minJoinInterval and maxJoinInterval bound the time between two greetings of the seeds by a
	// node that knows no other. It doubles with each: when a thousand nodes start at once, a seed
	// needs seconds to answer them all, and further greetings would delay it more.
	minJoinInterval = 200 * time.Millisecond
	maxJoinInterval = 800 * time.Millisecond
)

// JoinAlone returns greetings to the seeds if this node knows no other and they are due: to all of
// them first, and then to one at a time. After a power failure they may start later than this node.
func (n *Node) JoinAlone(now time.Time) []Message {
	if n.LiveCount() > 1 || now.Before(n.nextJoin) {
		return nil
	}
	interval := min(minJoinInterval<<min(n.joins, 8), maxJoinInterval)
	n.nextJoin = now.Add(interval + time.Duration(n.rand.Int64N(int64(interval/4))))
	n.joins++
	messages := n.Join()
	if n.joins > 1 && len(messages) > 1 {
		k := n.rand.IntN(len(messages))
		return messages[k : k+1]
	}
	return messages
}

// Join returns greetings to all seeds. The caller sends them at its start, so that the node
// knows the others before its first heartbeats.
func (n *Node) Join() []Message {
	messages := make([]Message, 0, len(n.seeds))
	for _, s := range n.seeds {
		if s.Node != n.self.Node {
			messages = append(messages, n.greeting(s))
		}
	}
	return messages
}

// greeting introduces this node to an instance of the platform's list, and requests what
// that one knows.
func (n *Node) greeting(s Seed) Message {
	g := n.header()
	g.NonNeighbor = true
	g.Members = []wire.Member{n.self}
	g.Listing = n.listing()
	return Message{Node: s.Node, Address: s.Address, Gossip: g}
}

// probe greets one instance of the platform's list that is unknown, dead or has left, or
// one dead member, so that new and partitioned nodes are found.
func (n *Node) probe(messages []Message) []Message {
	if isTerminal(n.self.State) || n.listingBudget == 0 {
		return messages
	}
	var candidates []Seed
	for _, s := range n.seeds {
		r, ok := n.records[s.Node]
		if s.Node != n.self.Node && (!ok || isTerminal(r.member.State)) {
			candidates = append(candidates, s)
		}
	}
	for name, r := range n.records {
		if r.member.State == wire.Dead && !slices.ContainsFunc(candidates, func(s Seed) bool { return s.Node == name }) {
			candidates = append(candidates, Seed{Node: name, Address: r.member.Address})
		}
	}
	slices.SortFunc(candidates, func(a, b Seed) int { return compareSeeds(a, b) })
	if len(candidates) == 0 {
		return messages
	}
	s := candidates[n.rand.IntN(len(candidates))]
	n.listingBudget--
	return append(messages, n.greeting(s))
}

func compareSeeds(a, b Seed) int {
	if a.Node < b.Node {
		return -1
	}
	return 1
}

func (n *Node) listing() []wire.RecordVersion {
	list := []wire.RecordVersion{versionOf(n.self)}
	for _, r := range n.records {
		list = append(list, versionOf(r.member))
	}
	return list
}

func versionOf(m wire.Member) wire.RecordVersion {
	return wire.RecordVersion{Node: m.Node, Incarnation: m.Incarnation, Seq: m.Seq, State: m.State}
}
