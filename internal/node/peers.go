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
	// peerIdleTimeout closes incoming connections that deliver no message for this time.
	peerIdleTimeout        = 40 * time.Second
	minViewRequestInterval = 300 * time.Millisecond
	// minListRequestInterval applies to a node without a list of endpoints. The answer may take a
	// second on a small link, and a node that asks several others is sent the list several times.
	minListRequestInterval = time.Second
	// minSuspectPeriod is how long a node that did not respond is excluded from leading at
	// first. Each further time in a row doubles the period, up to maxSuspectPeriod.
	minSuspectPeriod = 2 * time.Second
	maxSuspectPeriod = 4 * time.Second
)

// systemName identifies the system in the handshake between nodes.
const systemName = "gradetiller"

func (n *Node) hello() wire.Hello {
	return wire.Hello{Version: wire.Version, System: systemName, Role: wire.RoleNode, Node: n.settings.Node, Incarnation: n.incarnation, Kinds: wire.Kinds}
}

// runMembers drives gossip and membership until ctx is done.
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
	signalsChanged := n.expireSignals(now)
	n.recomputeRates()
	n.membersMu.Lock()
	if signalsChanged {
		n.members.RequestHeartbeat()
	}
	n.members.SetSeeds(n.missingSeeds())
	sends := n.members.Tick(now)
	sends = append(sends, n.members.JoinAlone(now)...)
	ahead := n.peerAhead(now, n.view.Load())
	entries, changed := n.changedEntries(now)
	n.membersMu.Unlock()
	n.sendGossip(sends)
	if changed {
		n.applyEntries(entries)
	}
	n.requestView(now, ahead)
	n.updateCells()
	n.tickRollouts(now)
	n.copyOrigins(now)
	n.logPaths(now)
}

// peerAhead returns the address of a node that announced a newer configuration than the
// view's, or, if the view is stale, a newer endpoint list. Otherwise it returns "". While the
// readers respond, every node polls them for the list anyway. The caller must hold membersMu.
func (n *Node) peerAhead(now time.Time, v *view) string {
	if node, version := n.members.NewerConfig(); version > v.version() {
		return n.members.Address(node)
	}
	if node, revision := n.members.NewerList(); catalog.Revision(revision) > v.revision && v.freshness.Stale(now) {
		return n.members.Address(node)
	}
	return ""
}

// minEntriesInterval is the minimum time between rebuilds of the list of live nodes on
// received messages; each tick rebuilds it in any case. A rebuild for 295 nodes takes 0.23 ms
// of a whole core, four times as long as merging 32 records, and when all nodes start,
// hundreds of messages change the list.
const minEntriesInterval = 50 * time.Millisecond

// changedEntries returns the entries of the live nodes if they may have changed, or if none
// were applied yet. The caller must hold membersMu.
func (n *Node) changedEntries(now time.Time) ([]wire.Entry, bool) {
	first := n.liveNodes.Load() == 0 && n.joined()
	if !n.members.PollChanged() && !first {
		return nil, false
	}
	n.entriesBuiltAt = now
	return n.members.Entries(), true
}

// missingSeeds returns the seeds that are not known as live members. The caller must hold
// membersMu.
func (n *Node) missingSeeds() []member.Seed {
	var list []member.Seed
	for _, address := range n.settings.Seeds {
		if address != n.peerAddress && !n.members.HasLiveAddress(address) {
			list = append(list, member.Seed{Node: address, Address: address})
		}
	}
	return list
}

// sendReplies sends the messages without an address as replies on the connection of the
// message that they answer, and returns the others.
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

// notIn returns a function that reports whether a node has no entry in the list.
func notIn(entries []wire.Entry) func(node string) bool {
	names := make(map[string]bool, len(entries))
	for _, e := range entries {
		names[e.Node] = true
	}
	return func(node string) bool { return !names[node] }
}

// withUpdates adds the refusals and endpoint signals to a message that its receiver may lack.
func (n *Node) withUpdates(to string, m wire.Gossip) wire.Gossip {
	return n.appendSignals(to, n.withRefusals(to, m))
}

func (n *Node) sendGossip(sends []member.Message) {
	for _, s := range sends {
		n.links.Send(s.Address, n.withUpdates(s.Node, s.Gossip))
	}
}

// applyEntries puts a new list of live nodes into effect.
func (n *Node) applyEntries(entries []wire.Entry) {
	n.setEntries(entries)
	n.poisonGuard.membersChanged(n.settings.Node, entries)
	n.signals.forgetPeers(entries)
	live := 0
	for _, e := range entries {
		if !e.Leaving {
			live++
		}
	}
	before := n.liveNodes.Swap(int64(live))
	if candidates := lead.CandidatesHash(entries); n.candidatesHash.Swap(candidates) != candidates {
		n.candidatesChangedAt.Store(int64(time.Since(n.started)))
	}
	if before != int64(live) {
		n.log.Info(eventMembersChanged, zap.Int("live", live), zap.Int("listed", len(entries)))
		n.shareBudgets(max(live, 1))
	}
}

// requestView requests updates from a peer that is ahead, or from any peer if neither the
// store nor the readers deliver them.
func (n *Node) requestView(now time.Time, ahead string) {
	v := n.view.Load()
	version := v.version()
	overdue := n.ranking.Load().Overdue(now, v.freshness)
	interval := minViewRequestInterval
	if v.freshness.List.IsZero() && !n.askedInVain.Load() {
		interval = minListRequestInterval
	}
	if ahead == "" && !overdue && version > 0 || now.Sub(n.viewRequestedAt) < interval {
		return
	}
	if ahead == "" {
		ahead = n.viewSource(v)
	}
	if ahead == "" {
		return
	}
	n.viewRequestedAt = now
	n.askedInVain.Store(false)
	n.links.Send(ahead, wire.ViewRequest{ConfigAbove: version, EndpointsAbove: uint64(v.revision), AcceptsPacked: true, AcceptsPackedWorkers: true})
}

// viewSource returns the peer address of a node that may have newer data than the view: a
// reader if the view is empty, otherwise any live node, or a seed if none is known. Each node
// tries the others in a different order: with the same order, when 295 nodes started
// together, one small node after another received a few hundred requests for the whole view
// at once.
func (n *Node) viewSource(v *view) string {
	others := *n.entries.Load()
	if v.freshness.List.IsZero() {
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

// entriesOf returns the entries of the named nodes.
func entriesOf(entries []wire.Entry, names []string) []wire.Entry {
	var list []wire.Entry
	for _, e := range entries {
		if slices.Contains(names, e.Node) {
			list = append(list, e)
		}
	}
	return list
}

// servePeer handles the messages of an incoming connection until it is closed.
func (n *Node) servePeer(c *peer.Conn) {
	answer, stop := peer.QueueAnswers(c)
	defer stop()
	for {
		c.SetReceiveTimeout(peerIdleTimeout)
		m, err := c.Receive()
		if err != nil {
			return
		}
		if m, ok := m.(*wire.RelayOpen); ok {
			_ = n.contain(taskRelay, c.Hello().Node, func() error {
				n.serveRelay(c, m)
				return nil
			})
			return
		}
		n.receiveMessage(c.Hello(), m, answer)
	}
}

// mergeMembers merges the members of a gossip message. It returns the messages to send and, unless they were built
// just before, the entries of the live nodes and whether they changed.
func (n *Node) mergeMembers(m *wire.Gossip) (sends []member.Message, entries []wire.Entry, changed bool) {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	n.submissions.clearSuspicion(n.members.Address(m.Node))
	now := time.Now()
	sends = n.members.Receive(now, *m)
	if now.Sub(n.entriesBuiltAt) >= minEntriesInterval {
		entries, changed = n.changedEntries(now)
	}
	return sends, entries, changed
}

// receiveMessage handles a message that arrived from another node.
func (n *Node) receiveMessage(from wire.Hello, m wire.Message, answer peer.Answer) {
	_ = n.contain(taskPeer, from.Node, func() error {
		n.handleMessage(from, m, answer)
		return nil
	})
}

// handleMessage handles a message from another node, or from this one if it leads a cell.
func (n *Node) handleMessage(from wire.Hello, m wire.Message, answer peer.Answer) {
	switch m := m.(type) {
	case *wire.Gossip:
		needsReply := n.mergeRefusals(m)
		if n.mergeSignals(m) || needsReply {
			_ = answer(n.withUpdates(m.Node, n.selfGossip()))
		}
		sends, entries, changed := n.mergeMembers(m)
		n.sendGossip(n.sendReplies(sends, answer))
		if changed {
			n.applyEntries(entries)
		}
	case *wire.CrashReports:
		n.handleCrashReports(from, m.Reports, false)
	case *wire.PartCrashReports:
		n.handleCrashReports(from, m.Reports, true)
	case *wire.RolloutReport:
		n.handleRolloutReport(from, m, answer)
	case *wire.RolloutStage:
		n.applyRolloutStage(m)
	case *wire.ViewRequest:
		n.handleViewRequest(m, answer)
	case *wire.View:
		n.applyView(m)
	case *wire.StagesSubmit:
		n.handleStagesSubmit(from, m, answer)
	case *wire.StagesRelease:
		n.leaders.release(taskKey{from.Node, from.Incarnation, m.ID}, m)
	case *wire.StagesPing:
		known := n.leaders.knows(taskKey{from.Node, from.Incarnation, m.ID})
		_ = answer(wire.StagesAdmission{ID: m.ID, Accepted: known})
	case *wire.StandbyState:
		n.handleStandbyState(from, m)
	case *wire.LeaderChanged:
		n.handleLeaderChanged(from, m)
	case *wire.RelayBackoff:
		n.handleRelayBackoff(m)
	case *wire.StreamOrigins:
		n.handleStreamOrigins(from, m)
	case *wire.StreamOriginRequest:
		n.handleOriginRequest(from, m, answer)
	case *wire.StreamOriginResponse:
		n.handleOriginResponse(from, m)
	case *wire.StagesAdmission:
		n.submissions.deliverVerdict(m)
	case *wire.StagesDone:
		n.submissions.deliverResults(m)
	default:
		n.log.Warn(eventUnexpectedMessage, zap.String("node", from.Node))
	}
}

// handleStagesSubmit submits work to a stage pool of this node. A stopping node declines work
// that another node can do: it would hand the work off at the next tick, and the submitting
// node, unaware of the stop, would send it again. Just before the process ends, the node
// declines all work.
func (n *Node) handleStagesSubmit(from wire.Hello, m *wire.StagesSubmit, answer peer.Answer) {
	if m.Cell < 0 {
		_ = answer(wire.StagesAdmission{ID: m.ID, RetryAfter: time.Second.Milliseconds()})
		return
	}
	if s := n.shutdown.Load(); s != nil && (s.closing.Load() || n.hasSuccessor(time.Now())) {
		_ = answer(n.selfGossip())
		_ = answer(leavingAnswer(m.ID, time.Until(s.endsAt)))
		return
	}
	n.claim(m.Cell)
	n.recordLedMix(m.Model, m.NodePlaced)
	n.leaders.submit(taskOwner{key: taskKey{from.Node, from.Incarnation, m.ID}, answer: answer}, m)
}

// selfGossip returns a message that announces this node's present state. A node of an earlier
// version does not understand leavingAnswer, but it ranks the leaders again when it receives
// this message.
func (n *Node) selfGossip() wire.Gossip {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	self := n.members.Self()
	return wire.Gossip{
		Node: self.Node, Incarnation: self.Incarnation, ConfigVersion: n.view.Load().version(), ListRevision: uint64(n.view.Load().revision),
		Members: []wire.Member{self}, NonNeighbor: true,
	}
}

// peerLost records that a connection to a node broke or could not be opened.
func (n *Node) peerLost(address string, err error) {
	n.log.Info(eventPeerLost, zap.String("address", address), zap.Error(err))
	n.submissions.connectionLost(address)
}

const (
	// maxJoinWait is how long a node that has just started waits for other nodes before it
	// assumes that it is the only one.
	maxJoinWait      = 2 * time.Second
	joinPollInterval = 20 * time.Millisecond
	// stablePeriod is how long the set of leader candidates must stay unchanged before a node
	// that has just started considers it complete.
	stablePeriod = 250 * time.Millisecond
)

// knowsNoPeers reports whether this node knows no other node.
func (n *Node) knowsNoPeers() bool { return len(*n.entries.Load()) < 2 }

// joined reports whether this node knows the other leader candidates. Until then, it would
// consider itself, or one of the few nodes that it knows, the leader of a cell, and after a
// complete power failure many leaders would use the same endpoints.
func (n *Node) joined() bool {
	if n.hasJoined.Load() || n.disabled.Has(mechanism.Join) {
		return true
	}
	changed := time.Duration(n.candidatesChangedAt.Load())
	sinceStart := time.Since(n.started)
	stable := !n.knowsNoPeers() && sinceStart-changed >= stablePeriod
	if len(n.settings.Seeds) > 0 && !stable && sinceStart <= maxJoinWait {
		return false
	}
	n.hasJoined.Store(true)
	return true
}

// maxCatchUpWait is how long a node that has just started waits for a configuration that
// other nodes announced. The announcing nodes may have been lost since.
const maxCatchUpWait = 5 * time.Second

// caughtUp reports whether this node has received the newest configuration that other nodes
// announced since its start. A store that was restored from an older copy returns an older
// configuration, which a starting node must not mistake for the newest.
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

// awaitJoined waits until joined returns true or ctx is done.
func (n *Node) awaitJoined(ctx context.Context) {
	for !n.joined() && ctx.Err() == nil {
		sleep(ctx, joinPollInterval)
	}
}
