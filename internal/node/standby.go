package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/standby"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

const (
	// maxTold bounds the nodes that a new leader informs directly. Others learn of it by gossip.
	maxTold = 128
	// replacedPeriod is how long a leader whose standby took over is excluded from leading unless a
	// message from it arrives. The members declare it dead within 4.7 s; if it were ranked again
	// before that, requests would wait for it once more.
	replacedPeriod = 5 * time.Second
	// maxFollowed is the number of cells that a node can be the standby of: those that it can lead.
	maxFollowed = 64
)

// standbys holds the cells for which this node is the standby.
type standbys struct {
	mu      sync.Mutex
	cells   map[int]*standby.Follower
	ticking bool
}

func newStandbys() *standbys { return &standbys{cells: make(map[int]*standby.Follower)} }

// receive records a message of a leader, and reports whether ticks must be started.
func (s *standbys) receive(now time.Time, from standby.Owner, m *wire.StandbyState) (start bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.cells[m.Cell]
	if !ok {
		f = standby.NewFollower()
		s.cells[m.Cell] = f
	}
	f.Receive(now, from, m)
	start = !s.ticking
	s.ticking = true
	return start
}

// answered records that a leader answered a ping.
func (s *standbys) answered(now time.Time, cell int, from standby.Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.cells[cell]; ok {
		f.Answered(now, from)
	}
}

// tick ticks all followers. It returns the leaders to ping, the cells to claim, and whether further
// ticks are needed.
func (s *standbys) tick(now time.Time) (ping map[int]standby.Owner, claim []int, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ping = make(map[int]standby.Owner)
	for cell, f := range s.cells {
		switch f.Tick(now) {
		case standby.Ping:
			ping[cell] = f.Leader()
		case standby.Claim:
			claim = append(claim, cell)
		}
		more = more || f.Following()
	}
	s.ticking = more
	return ping, claim, more
}

// take returns what the leader of a cell sent, once.
func (s *standbys) take(now time.Time, cell int) (standby.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.cells[cell]
	if !ok {
		return standby.State{}, false
	}
	return f.Take(now)
}

// watching returns the number of cells that this node would take over.
func (s *standbys) watching() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, f := range s.cells {
		if f.Watching() {
			n++
		}
	}
	return n
}

// standbyAddress returns the address of the node that ranks next for a cell that this node leads, or
// "" if there is none that stays, or it claims the cell too.
func (n *Node) standbyAddress(cell int) string {
	if n.claimedCells.Load()&lead.CellBit(cell) == 0 || n.stopping() {
		return ""
	}
	others := slices.DeleteFunc(n.leaderCandidates(time.Now()), func(e wire.Entry) bool { return e.Node == n.settings.Node || e.Leaving })
	next, ok := lead.Leader(cell, others)
	if !ok || next.Leads&lead.CellBit(cell) != 0 {
		return ""
	}
	return next.PeerAddress
}

// handleStandbyState records what the leader of a cell tells its standby.
func (n *Node) handleStandbyState(from wire.Hello, m *wire.StandbyState) {
	if m.Cell < 0 || m.Cell >= maxFollowed || n.disabled.Has(mechanism.Standby) || n.claimedCells.Load()&lead.CellBit(m.Cell) != 0 {
		return
	}
	if n.standbys.receive(time.Now(), standby.Owner{Node: from.Node, Incarnation: from.Incarnation}, m) {
		time.AfterFunc(standby.TickInterval, n.tickStandbys)
	}
}

// tickStandbys carries out what the followers request, and repeats while there are any.
func (n *Node) tickStandbys() {
	ping, claim, more := n.standbys.tick(time.Now())
	for cell, leader := range ping {
		go n.pingLeader(cell, leader)
	}
	for _, cell := range claim {
		n.takeOver(cell)
	}
	if more && n.requestContext.Err() == nil {
		time.AfterFunc(standby.TickInterval, n.tickStandbys)
	}
}

// pingLeader opens a new connection to a leader. The handshake on it is the answer.
func (n *Node) pingLeader(cell int, leader standby.Owner) {
	answered := false
	started := time.Now()
	if e, ok := n.entryOf(leader); ok {
		ctx, cancel := context.WithTimeout(n.requestContext, standby.PingTimeout)
		defer cancel()
		if conn, err := peer.Dial(ctx, e.PeerAddress, n.hello(), &peer.Security{}); err == nil {
			hello := conn.Hello()
			_ = conn.Close()
			answered = leader == standby.Owner{Node: hello.Node, Incarnation: hello.Incarnation}
		}
	}
	if answered {
		n.standbys.answered(time.Now(), cell, leader)
	}
	n.meters.leaderPinged(answered)
	n.log.Info(eventLeaderPinged, zap.Int("cell", cell), zap.String("leader", leader.Node), zap.Bool("answered", answered), zap.Duration("took", time.Since(started)))
}

// entryOf returns the entry of a process.
func (n *Node) entryOf(o standby.Owner) (wire.Entry, bool) {
	for _, e := range *n.entries.Load() {
		if e.Node == o.Node && e.Incarnation == o.Incarnation {
			return e, true
		}
	}
	return wire.Entry{}, false
}

// takeOver claims a cell whose leader does not respond, and informs the nodes.
func (n *Node) takeOver(cell int) {
	now := time.Now()
	state, ok := n.standbys.take(now, cell)
	if !ok || n.stopping() || !n.joined() {
		return
	}
	resubmitted := 0
	lost, known := n.entryOf(state.Leader)
	if known {
		// Before the claim, so that this node ranks first and does not hand its work off again.
		resubmitted = n.submissions.replaceLeader(now, lost.PeerAddress)
	}
	n.leaders.restore(cell, now, state)
	n.claim(cell)
	told := n.announceTakeover(cell, state)
	n.meters.tookOver(resubmitted)
	n.log.Warn(eventTookOver, zap.Int("cell", cell), zap.String("leader", state.Leader.Node), zap.Duration("silent", state.Silent),
		zap.Int("tasks", len(state.Tasks)), zap.Int("told", told), zap.Int("shares", len(state.Shares)), zap.Int("bookings", len(state.Bookings)))
}

// announceTakeover informs nodes directly that this one leads a cell, those with tasks in flight first,
// and returns their number. The lost leader is informed too, in case it resumes.
func (n *Node) announceTakeover(cell int, state standby.State) int {
	owners := state.Owners()
	order := func(e wire.Entry) int {
		switch o := (standby.Owner{Node: e.Node, Incarnation: e.Incarnation}); {
		case owners[o]:
			return 0
		case o == state.Leader:
			return 1
		}
		return 2
	}
	list := slices.DeleteFunc(slices.Clone(*n.entries.Load()), func(e wire.Entry) bool { return e.Node == n.settings.Node })
	slices.SortStableFunc(list, func(a, b wire.Entry) int { return cmp.Compare(order(a), order(b)) })
	list = list[:min(len(list), maxTold)]
	claims := n.selfGossip()
	for _, e := range list {
		n.links.Send(e.PeerAddress, claims)
		n.links.Send(e.PeerAddress, wire.LeaderChanged{Cell: cell, Lost: state.Leader.Node, LostIncarnation: state.Leader.Incarnation})
	}
	return len(list)
}

// handleLeaderChanged resubmits what a lost leader had. The message follows one that announces the
// claim of the new leader, which therefore ranks first.
func (n *Node) handleLeaderChanged(from wire.Hello, m *wire.LeaderChanged) {
	if m.Cell < 0 || n.disabled.Has(mechanism.Standby) {
		return
	}
	now := time.Now()
	lost := standby.Owner{Node: m.Lost, Incarnation: m.LostIncarnation}
	fields := []zap.Field{zap.Int("cell", m.Cell), zap.String("lost", m.Lost), zap.String("leader", from.Node)}
	if lost.Node == n.settings.Node {
		if lost.Incarnation == n.incarnation && n.claimedCells.Load()&lead.CellBit(m.Cell) != 0 {
			n.log.Warn(eventLeaderChanged, fields...)
			n.leaders.handOff(m.Cell, now)
		}
		return
	}
	n.membersMu.Lock()
	entries, changed := n.changedEntries(now)
	n.membersMu.Unlock()
	if changed {
		n.applyEntries(entries)
	}
	e, ok := n.entryOf(lost)
	if !ok {
		return
	}
	resubmitted := n.submissions.replaceLeader(now, e.PeerAddress)
	n.meters.resubmitted(resubmitted)
	n.log.Info(eventLeaderChanged, append(fields, zap.Int("resubmitted", resubmitted))...)
}
