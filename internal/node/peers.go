package node

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/member"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

const (
	// peerIdleTimeout closes an incoming connection from which nothing comes.
	peerIdleTimeout        = 40 * time.Second
	minViewRequestInterval = 300 * time.Millisecond
	// minSuspectPeriod is how long a node that did not answer leads nothing.
	minSuspectPeriod = 2 * time.Second
	maxSuspectPeriod = 4 * time.Second
)

// systemName names the systemName towards peers.
const systemName = "gradetiller"

func (n *Node) hello() wire.Hello {
	return wire.Hello{Version: wire.Version, System: systemName, Role: wire.RoleNode, Node: n.settings.Node, Incarnation: n.incarnation}
}

// runMembers beats until ctx ends.
func (n *Node) runMembers(ctx context.Context) {
	n.tick(time.Now())
	ticker := time.NewTicker(member.FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.tick(now)
		}
	}
}

func (n *Node) tick(now time.Time) {
	spread := n.expireSignals(now)
	n.recomputeRates()
	n.membersMu.Lock()
	if spread {
		n.members.RequestHeartbeat()
	}
	n.members.SetSeeds(n.missingSeeds())
	sends := n.members.Tick(now)
	if n.alone() && now.Sub(n.joinSentAt) > joinInterval {
		n.joinSentAt = now
		sends = append(sends, n.members.Join()...)
	}
	ahead := n.peerAhead(now, n.view.Load())
	entries, changed := n.changedEntries(now)
	n.membersMu.Unlock()
	n.sendGossip(sends)
	if changed {
		n.applyEntries(entries)
	}
	n.requestView(now, ahead)
	n.updateCells()
}

// peerAhead returns the address of a node that is known to have a newer configuration than
// a view, or, when the view is old, a newer list of endpoints; the lock of the members is
// held. While the readers answer, each node asks them for the list anyway.
func (n *Node) peerAhead(now time.Time, v *view) string {
	if node, version := n.members.NewerConfig(); version > v.version() {
		return n.members.Address(node)
	}
	if node, revision := n.members.NewerList(); catalog.Revision(revision) > v.revision && v.fresh.Stale(now) {
		return n.members.Address(node)
	}
	return ""
}

// minEntriesInterval is how often messages have the list of live nodes made anew at most; the
// next beat has it made in any case. Making it for 295 nodes takes 0.23 ms of a whole
// core, four times as long as taking in 32 records, and in a start of all nodes
// hundreds of messages change it.
const minEntriesInterval = 50 * time.Millisecond

// changedEntries returns the entries of the live nodes if they may have changed,
// or if none were taken yet; the lock is held.
func (n *Node) changedEntries(now time.Time) ([]wire.Entry, bool) {
	first := n.liveNodes.Load() == 0 && n.joined()
	if !n.members.PollChanged() && !first {
		return nil, false
	}
	n.entriesBuiltAt = now
	return n.members.Entries(), true
}

// missingSeeds lists the seeds that are no known live member; the lock is held.
func (n *Node) missingSeeds() []member.Seed {
	var list []member.Seed
	for _, address := range n.settings.Seeds {
		if address != n.peerAddress && !n.members.HasLiveAddress(address) {
			list = append(list, member.Seed{Node: address, Address: address})
		}
	}
	return list
}

// sendReplies sends the messages without an address back the way the message
// that they answer came, and returns the others.
func (n *Node) sendReplies(sends []member.Message, answer peer.Answer) []member.Message {
	var others []member.Message
	for _, s := range sends {
		if s.Address == "" {
			_ = answer(n.withUpdates(s.Node, s.Gossip))
			continue
		}
		others = append(others, s)
	}
	return others
}

// notIn returns what reports whether a node is none of some.
func notIn(entries []wire.Entry) func(node string) bool {
	names := make(map[string]bool, len(entries))
	for _, e := range entries {
		names[e.Node] = true
	}
	return func(node string) bool { return !names[node] }
}

// withUpdates adds to a message what its receiver may not know of what heartbeats spread.
func (n *Node) withUpdates(to string, m wire.Gossip) wire.Gossip {
	return n.appendSignals(to, n.withRefusals(to, m))
}

func (n *Node) sendGossip(sends []member.Message) {
	for _, s := range sends {
		n.links.Send(s.Address, n.withUpdates(s.Node, s.Gossip))
	}
}

// applyEntries keeps the list of live nodes for look-ups and leaders.
func (n *Node) applyEntries(entries []wire.Entry) {
	n.setEntries(entries)
	n.poisonGuard.membersChanged(entries)
	n.signals.membersChanged(entries)
	live := 0
	for _, e := range entries {
		if !e.Leaving {
			live++
		}
	}
	before := n.liveNodes.Swap(int64(live))
	if leading := lead.CandidatesHash(entries); n.candidatesHash.Swap(leading) != leading {
		n.candidatesChangedAt.Store(int64(time.Since(n.started)))
	}
	if before != int64(live) {
		n.log.Info(eventMembersChanged, zap.Int("live", live), zap.Int("listed", len(entries)))
		n.shareBudgets(max(live, 1))
	}
}

// requestView asks a peer that is ahead for what is new, or any peer when neither the
// store nor the readers tell.
func (n *Node) requestView(now time.Time, ahead string) {
	v := n.view.Load()
	own := v.version()
	old := n.ranking.Load().Overdue(now, v.fresh)
	if ahead == "" && !old && own > 0 || now.Sub(n.viewRequestedAt) < minViewRequestInterval {
		return
	}
	if ahead == "" {
		ahead = n.viewSource(v)
	}
	if ahead == "" {
		return
	}
	n.viewRequestedAt = now
	n.links.Send(ahead, wire.ViewRequest{ConfigAbove: own, EndpointsAbove: uint64(v.revision), TakesPacked: true})
}

// viewSource returns the peer address of a node that may know more than a view: a
// reader while this node knows nothing, then any live node, or a seed. No two nodes
// ask the others in the same order: when all of 295 that had started together did,
// one small node after the other was asked for some hundred whole views at once.
func (n *Node) viewSource(v *view) string {
	others := *n.entries.Load()
	if v.fresh.List.IsZero() {
		if readers := entriesOf(others, n.ranking.Load().Readers(0)); len(readers) > 0 {
			others = readers
		}
	}
	var list []string
	for _, e := range others {
		if e.Node != n.settings.Node {
			list = append(list, e.PeerAddress)
		}
	}
	if len(list) == 0 {
		list = n.settings.Seeds
	}
	n.viewRequests++
	return discovery.ReaderFor(list, n.settings.Node, n.viewRequests)
}

// entriesOf returns the entries of some nodes.
func entriesOf(entries []wire.Entry, names []string) []wire.Entry {
	var list []wire.Entry
	for _, e := range entries {
		if slices.Contains(names, e.Node) {
			list = append(list, e)
		}
	}
	return list
}

// servePeer takes the messages of one connection.
func (n *Node) servePeer(c *peer.Conn) {
	answer, stop := peer.Answers(c)
	defer stop()
	for {
		c.SetReceiveTimeout(peerIdleTimeout)
		m, err := c.Receive()
		if err != nil {
			return
		}
		n.handleMessage(c.Hello(), m, answer)
	}
}

// handleMessage takes a message from another node.
func (n *Node) handleMessage(from wire.Hello, m wire.Message, answer peer.Answer) {
	switch m := m.(type) {
	case *wire.Gossip:
		lacks := n.mergeRefusals(m)
		if n.mergeSignals(m) || lacks {
			_ = answer(n.withUpdates(m.Node, n.selfGossip()))
		}
		n.membersMu.Lock()
		n.submissions.clearSuspicion(n.members.Address(m.Node))
		now := time.Now()
		sends := n.members.Receive(now, *m)
		var entries []wire.Entry
		changed := false
		if now.Sub(n.entriesBuiltAt) >= minEntriesInterval {
			entries, changed = n.changedEntries(now)
		}
		n.membersMu.Unlock()
		n.sendGossip(n.sendReplies(sends, answer))
		if changed {
			n.applyEntries(entries)
		}
	case *wire.Ends:
		n.handleEnds(from, m)
	case *wire.ViewRequest:
		n.handleViewRequest(m, answer)
	case *wire.View:
		n.applyView(m)
	case *wire.StagesSubmit:
		n.handleStagesSubmit(from, m, answer)
	case *wire.StagesRelease:
		n.leaders.release(taskKey{from.Node, from.Incarnation, m.ID}, m.Placement)
	case *wire.StagesPing:
		known := n.leaders.knows(taskKey{from.Node, from.Incarnation, m.ID})
		_ = answer(wire.StagesVerdict{ID: m.ID, Accepted: known})
	case *wire.StagesVerdict:
		n.submissions.deliverVerdict(m)
	case *wire.StagesDone:
		n.submissions.deliverResults(m)
	default:
		n.log.Warn(eventUnexpectedMessage, zap.String("node", from.Node))
	}
}

// handleStagesSubmit takes work for this node's stage pool. A node that stops takes none
// that another can do: it would give it back at the next beat, and the submitting
// node, which has not heard of the stop, would send it again. Just before its end it
// takes none at all.
func (n *Node) handleStagesSubmit(from wire.Hello, m *wire.StagesSubmit, answer peer.Answer) {
	if s := n.stop.Load(); s != nil && (s.closing.Load() || n.hasSuccessor(time.Now())) {
		_ = answer(n.selfGossip())
		_ = answer(leavingAnswer(m.ID, time.Until(s.ends)))
		return
	}
	n.claim(m.Cell)
	n.leaders.submit(taskOwner{key: taskKey{from.Node, from.Incarnation, m.ID}, answer: answer}, m)
}

// selfGossip tells a node what this one tells of itself. A node of an earlier version
// does not understand leavingAnswer and ranks the leaders anew at once.
func (n *Node) selfGossip() wire.Gossip {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	self := n.members.Self()
	return wire.Gossip{
		Node: self.Node, Incarnation: self.Incarnation, ConfigVersion: n.view.Load().version(), ListRevision: uint64(n.view.Load().revision),
		Members: []wire.Member{self}, Courtesy: true,
	}
}

// peerLost tells that a connection to a node broke or could not be opened.
func (n *Node) peerLost(address string, err error) {
	n.log.Info(eventPeerLost, zap.String("address", address), zap.Error(err))
	n.submissions.connectionLost(address)
}

const (
	// maxJoinWait is how long a node that was just started waits for others
	// before it takes itself for the only one.
	maxJoinWait      = 2 * time.Second
	joinPollInterval = 20 * time.Millisecond
	// settlePeriod is how long the known nodes that may lead must have stayed the
	// same before a node that was just started takes them for all there are.
	settlePeriod = 250 * time.Millisecond
	// joinInterval is how often a node that is alone greets its seeds: after a
	// loss of power they may start later than it does.
	joinInterval = 200 * time.Millisecond
)

// alone reports whether this node knows no other.
func (n *Node) alone() bool { return len(*n.entries.Load()) < 2 }

// joined reports whether this node knows the others that may lead. Before, it would take
// itself, or any of the few it knows, for the leader of a cell, and after a loss
// of all power many leaders would work at the same endpoints.
func (n *Node) joined() bool {
	if n.hasJoined.Load() || n.disabled.Has(mechanism.Join) {
		return true
	}
	changed := time.Duration(n.candidatesChangedAt.Load())
	sinceStart := time.Since(n.started)
	settled := !n.alone() && sinceStart-changed >= settlePeriod
	if len(n.settings.Seeds) > 0 && !settled && sinceStart <= maxJoinWait {
		return false
	}
	n.hasJoined.Store(true)
	return true
}

// maxCatchUpWait bounds how long a node that has just begun waits for a configuration that
// others told of: who told may be lost since.
const maxCatchUpWait = 5 * time.Second

// caughtUp reports whether this node, since its start, has had the newest configuration that
// others told of. A store that came back from an older copy gives an older one to a node
// that begins then, which must not take it for the newest.
func (n *Node) caughtUp() bool {
	if n.hasCaughtUp.Load() {
		return true
	}
	n.membersMu.Lock()
	_, newest := n.members.NewerConfig()
	n.membersMu.Unlock()
	late := time.Since(n.started) > maxCatchUpWait
	if newest > n.view.Load().version() && !late {
		return false
	}
	if n.joined() && n.hasCompleteView() {
		n.hasCaughtUp.Store(true)
	}
	return true
}

// awaitJoined waits until the node has joined.
func (n *Node) awaitJoined(ctx context.Context) {
	for !n.joined() && ctx.Err() == nil {
		sleep(ctx, joinPollInterval)
	}
}
