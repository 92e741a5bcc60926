package node

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/cowmap"
	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/wire"
)

const (
	// endpointsPerCell is the maximum number of stage endpoints per leader. If there are
	// more, they are divided into cells with one leader each.
	endpointsPerCell = 160
)

// cellCount returns the number of cells for the endpoints of the view.
func (v *view) cellCount() int {
	return max(1, (v.stageCount+endpointsPerCell-1)/endpointsPerCell)
}

// setEndpoints replaces the endpoints of a view that is not published yet.
func (v *view) setEndpoints(list catalog.Endpoints) {
	set, removed := cowmap.Diff(v.endpoints, list)
	for _, e := range set {
		if old, ok := v.endpoints.Get(e.ID); ok {
			v.countStage(old, -1)
		}
		v.countStage(e, 1)
	}
	for _, e := range removed {
		v.countStage(e, -1)
	}
	v.endpoints = list
}

// setConfig replaces the configuration of a view that is not published yet.
func (v *view) setConfig(cfg *catalog.Config, file *configFile) {
	v.config, v.file, v.stageCount = cfg, file, 0
	for e := range v.endpoints.All() {
		v.countStage(e, 1)
	}
}

// countStage adds to the number of stage endpoints if e is one.
func (v *view) countStage(e *catalog.Endpoint, n int) {
	if v.config != nil && v.config.Services[e.Service].Batching != nil {
		v.stageCount += n
	}
}

// stageEndpoints returns the stage endpoints of the view by service, sorted by ID.
func (v *view) stageEndpoints() map[string][]*catalog.Endpoint {
	byService := make(map[string][]*catalog.Endpoint)
	for e := range v.endpoints.All() {
		if v.config.Services[e.Service].Batching != nil {
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b *catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return byService
}

// cellEndpoints returns the stage endpoints of a cell. The endpoints of each stage service
// are distributed over the cells in turn.
func (v *view) cellEndpoints(cell int) []catalog.Endpoint {
	cells, stages := v.cellCount(), v.stageEndpoints()
	var list []catalog.Endpoint
	for _, service := range slices.Sorted(maps.Keys(stages)) {
		endpoints := stages[service]
		for k := cell; k < len(endpoints); k += cells {
			e := *endpoints[k]
			// A stage pool does not distinguish the reasons why an endpoint gets no more
			// calls.
			e.Draining = !v.evacuations.AcceptsWork(e)
			list = append(list, e)
		}
	}
	return list
}

// cellsLed returns the number of cells that this node claims.
func (n *Node) cellsLed() int { return bits.OnesCount64(n.claimedCells.Load()) }

// claim announces to all nodes that this one leads a cell. A node that returns does not
// reclaim its cell from the present leader, since with each change two leaders use the same
// endpoints for a while. A claim is not a lease: two leaders only cost time.
func (n *Node) claim(cell int) {
	if n.claimedCells.Or(lead.CellBit(cell))&lead.CellBit(cell) == 0 {
		n.log.Info(eventCellClaimed, zap.Int("cell", cell))
		n.leaders.expectContention(cell, time.Now())
		n.ratesChanged.Store(true)
		n.recordOtherLeader()
		if state, ok := n.standbys.take(time.Now(), cell); ok {
			n.leaders.restore(cell, time.Now(), state)
		}
		n.publishEntry()
		go n.leaders.learnCaches()
	}
}

// updateCells informs the pools of this node's cells whether another leader claims them too.
// If this node is leaving and another one stays, or if one of higher rank claims a cell too,
// this node hands off the tasks that have not started, and releases its claim once all tasks
// have ended.
func (n *Node) updateCells() {
	claimed := n.claimedCells.Load()
	leaving := n.stopping() && n.hasSuccessor(time.Now())
	for cell := 0; claimed>>cell != 0; cell++ {
		if claimed&lead.CellBit(cell) == 0 {
			continue
		}
		shared := n.isCellShared(cell)
		if shared {
			n.leaders.expectContention(cell, time.Now())
			n.recordOtherLeader()
		}
		if !leaving && (!shared || n.ranksFirst(cell)) {
			continue
		}
		n.leaders.handOff(cell, time.Now())
		if n.leaders.idle(cell) {
			n.log.Info(eventCellReleased, zap.Int("cell", cell))
			n.claimedCells.And(^lead.CellBit(cell))
			n.ratesChanged.Store(true)
			n.publishEntry()
		}
	}
}

func (n *Node) ranksFirst(cell int) bool {
	first, ok := n.leaderOf(time.Now(), cell)
	return ok && first.Node == n.settings.Node
}

// isCellShared reports whether another node also claims a cell, possibly only to finish its
// work there.
func (n *Node) isCellShared(cell int) bool {
	for _, e := range *n.entries.Load() {
		if e.Node != n.settings.Node && e.Leads&lead.CellBit(cell) != 0 {
			return true
		}
	}
	return false
}

// publishEntry gossips this node's entry.
func (n *Node) publishEntry() {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	n.members.SetEntries([]wire.Entry{n.entry(n.stopping())})
	n.setEntries(n.members.Entries())
}

// leaderOf returns the node that should lead a cell, and false if there is none. Leaving
// nodes qualify only if no node stays: work that ends within their grace period is done by
// them or not at all.
func (n *Node) leaderOf(now time.Time, cell int) (wire.Entry, bool) {
	return lead.Leader(cell, n.leaderCandidates(now))
}

// leaderCandidates returns the nodes that may lead.
func (n *Node) leaderCandidates(now time.Time) []wire.Entry {
	staying, leaving := n.responsiveNodes(now)
	if len(staying) == 0 {
		return leaving
	}
	return staying
}

// responsiveNodes returns the nodes that respond: those that stay, as far as this one knows,
// and those that are leaving but have not declined work.
func (n *Node) responsiveNodes(now time.Time) (staying, leaving []wire.Entry) {
	for _, e := range *n.entries.Load() {
		switch {
		case n.submissions.isLeaving(e) || n.submissions.suspected(now, e.PeerAddress):
		case e.Leaving || e.Node == n.settings.Node && n.stopping():
			// This node's entry shows the stop only some time after its start.
			leaving = append(leaving, e)
		default:
			staying = append(staying, e)
		}
	}
	return staying, leaving
}

// hasSuccessor reports whether another node can take over this one's work.
func (n *Node) hasSuccessor(now time.Time) bool {
	staying, _ := n.responsiveNodes(now)
	return slices.ContainsFunc(staying, func(e wire.Entry) bool { return e.Node != n.settings.Node })
}
