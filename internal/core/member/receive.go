package member

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/wire"
)

// Receive merges a message and returns the replies to its sender.
func (n *Node) Receive(now time.Time, g wire.Gossip) []Message {
	if g.Node == n.self.Node {
		return nil
	}
	for _, m := range g.Members {
		n.merge(now, m, g.Node)
	}
	for _, e := range g.Endpoints {
		known := n.endpoints[endpointKey{e.Pool, e.Name}]
		if newerEndpoint(e, known) {
			n.storeEndpoint(e, g.Node)
		}
	}
	r, ok := n.records[g.Node]
	if !ok {
		return n.replyToUnknown(g)
	}
	if isTerminal(r.member.State) && g.Incarnation == r.member.Incarnation {
		// The sender does not know that it was declared dead. The reply makes it rejoin
		// with a higher incarnation.
		out := n.header()
		out.NonNeighbor = true
		out.Members = []wire.Member{r.member, n.self}
		return []Message{{Node: g.Node, Address: r.member.Address, Gossip: out}}
	}
	n.recordHeartbeat(now, r, g)
	recordNewer(n.newerConfigs, g.Node, g.ConfigVersion, n.config)
	recordNewer(n.newerLists, g.Node, g.ListRevision, n.list)
	if len(g.Listing) == 0 {
		return nil
	}
	return n.replyToListing(r, g)
}

// recordNewer records a node that announced a version above the own one.
func recordNewer(newer map[string]uint64, node string, announced, own uint64) {
	if announced > own {
		newer[node] = announced
		return
	}
	delete(newer, node)
}

// replyToUnknown introduces this node to a sender that it does not know. Such a sender knew
// an earlier incarnation of this node, and would not learn of the present one before
// declaring that one dead; until then both nodes could lead the same cell. The sender's
// address is unknown, so the reply uses the connection on which the message arrived.
func (n *Node) replyToUnknown(g wire.Gossip) []Message {
	if g.NonNeighbor || isTerminal(n.self.State) || n.listingBudget == 0 {
		return nil
	}
	n.listingBudget--
	return []Message{n.greeting(Seed{Node: g.Node})}
}

// recordHeartbeat counts the message as a heartbeat of the incarnation that sent it.
func (n *Node) recordHeartbeat(now time.Time, r *record, g wire.Gossip) {
	if g.Incarnation != r.member.Incarnation {
		return
	}
	r.lastHeard = now
	l, ok := n.links[g.Node]
	if !ok {
		if g.NonNeighbor || isTerminal(r.member.State) {
			return
		}
		l = n.addLink(g.Node)
	}
	if !g.NonNeighbor {
		l.lastReceived = now
	}
	if g.ViewHash == n.hash || l.pending.len() > 0 || len(g.Members) > 0 {
		l.mismatches = 0
		return
	}
	l.mismatches++
}

// newerEndpoint reports whether finding a takes precedence over b. If two nodes' findings
// have the same sequence number, "leaving" wins.
func newerEndpoint(a, b wire.Endpoint) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Leaving && !b.Leaving
}

// merge stores a record if it is newer than the known one.
func (n *Node) merge(now time.Time, m wire.Member, from string) {
	if m.Node == n.self.Node {
		n.refute(m)
		return
	}
	r, ok := n.records[m.Node]
	if ok && !newer(m, r.member) {
		if !newer(r.member, m) {
			n.dequeue(from, m.Node)
		}
		return
	}
	n.store(now, m, from)
}

// newer reports whether a takes precedence over b. Only the owner raises incarnation and
// sequence number. An incarnation that is dead or has left stays so, whatever its process
// announces later. Otherwise the higher sequence number wins, and among equals the worse state.
func newer(a, b wire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if isTerminal(a.State) != isTerminal(b.State) {
		return isTerminal(a.State)
	}
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.State > b.State
}

// refute supersedes a record about this node that is newer than its own.
func (n *Node) refute(m wire.Member) {
	if isTerminal(n.self.State) || !newer(m, n.self) {
		return
	}
	n.hash ^= recordHash(n.self)
	if m.Incarnation > n.self.Incarnation || m.Seq > n.self.Seq || isTerminal(m.State) {
		// The record is of an earlier incarnation of this node, whose clock may have been
		// ahead, or the present incarnation was declared dead.
		n.self.Incarnation = m.Incarnation + 1
	}
	n.self.Seq = max(n.self.Seq, m.Seq)
	n.hash ^= recordHash(n.self)
	n.updateSelf()
}

// dequeue removes a record from the queue of a peer that has just sent it.
func (n *Node) dequeue(peer, name string) {
	if l, ok := n.links[peer]; ok {
		l.pending.remove(name)
	}
}

func (n *Node) store(now time.Time, m wire.Member, from string) {
	r, ok := n.records[m.Node]
	if !ok {
		r = &record{lastHeard: now}
		n.records[m.Node] = r
		n.ringStale = true
	} else {
		n.hash ^= recordHash(r.member)
	}
	if r.member.State != m.State || r.member.Incarnation != m.Incarnation {
		r.since = now
		n.ringStale = true
	}
	if r.member.Incarnation != m.Incarnation {
		r.lastHeard = now
	}
	r.member = m
	n.hash ^= recordHash(m)
	n.changed = true
	if l, ok := n.links[m.Node]; ok {
		l.address = m.Address
	}
	n.enqueue(m.Node, from)
}

// enqueue queues a record on all links but the one it came from. A member is sent its own
// record too, since it must learn of a suspicion to refute it.
func (n *Node) enqueue(name, from string) {
	r := n.records[name]
	n.maxCapacity = max(n.maxCapacity, capacityOf(r.member))
	urgent := n.isLarge(r.member)
	// The failure or the end of a member reaches all others by every path. That a small one is alive
	// takes fewer, which saves most of the messages when all members start.
	all := urgent || r.member.State != wire.Alive
	for to, l := range n.links {
		// A member that counts this one among its neighbors, but is none of its own, has
		// neighbors that send it the record.
		if to == from || !l.neighbor && to != name {
			continue
		}
		if all || to == name || l.near || n.forwards(name, to) {
			l.pending.add(name, urgent)
		}
	}
}

// farShare is the part of the farther neighbors to which a record of a small member is sent.
const farShare = 3

// forwards reports whether a record is sent to a neighbor that is not near on the ring.
func (n *Node) forwards(name, to string) bool {
	return hash.Pair(hash.Of(name), hash.Pair(hash.Of(to), hash.Of(n.self.Node)))%farShare == 0
}

// capacityOf returns the processor share of the largest instance of a member.
func capacityOf(m wire.Member) int {
	largest := 0
	for _, e := range m.Entries {
		largest = max(largest, e.Capacity)
	}
	return largest
}

// isLarge reports whether a member has a large instance (package lead). Large instances lead cells
// and read the store on behalf of all nodes. A
// starting node needs to know these before it can get any work done, so their records are
// sent first.
func (n *Node) isLarge(m wire.Member) bool {
	return !isTerminal(m.State) && lead.IsLarge(capacityOf(m), n.maxCapacity)
}

// replyToListing sends the records that the listing lacks, and this node's own listing if
// the sender has something newer.
func (n *Node) replyToListing(r *record, g wire.Gossip) []Message {
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
	var missing, small []string
	add := func(m *wire.Member) {
		v, ok := theirs[m.Node]
		switch {
		case !ok && isTerminal(m.State) || ok && !newer(*m, memberOf(v)):
		case n.isLarge(*m):
			missing = append(missing, m.Node)
		default:
			small = append(small, m.Node)
		}
	}
	add(&n.self)
	for _, r := range n.records {
		add(&r.member)
	}
	slices.Sort(missing)
	slices.Sort(small)
	large := len(missing)
	missing = append(missing, small...)
	out := n.header()
	out.NonNeighbor = true
	out.Answer = true
	out.Endpoints = n.Endpoints()
	count := max(min(len(missing), maxRecords, n.recordBudget), 0)
	if len(small) > 0 && large <= maxRecords {
		// The few large members are sent in any case.
		count = max(count, large)
	}
	n.recordBudget -= count
	for _, name := range missing[:count] {
		m, _ := n.lookup(name)
		out.Members = append(out.Members, m)
	}
	if !slices.Contains(missing, n.self.Node) {
		out.Members = append(out.Members, n.self)
	}
	if behind && !g.Answer && n.listingBudget > 0 {
		n.listingBudget--
		out.Listing = n.listing()
	}
	return []Message{{Node: g.Node, Address: r.member.Address, Gossip: out}}
}

func memberOf(v wire.RecordVersion) wire.Member {
	return wire.Member{Node: v.Node, Incarnation: v.Incarnation, Seq: v.Seq, State: v.State}
}
