package node

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/wire"
)

const (
	// endpointsPerCell is how many stage endpoints one leader serves. More of
	// them are split into cells with a leader each.
	endpointsPerCell = 160
)

// cellCount is the number of cells for the endpoints of a view.
func (v *view) cellCount() int {
	n := 0
	for _, e := range v.endpoints {
		if s, ok := v.config.Services[e.Service]; ok && s.Batching != nil {
			n++
		}
	}
	return max(1, (n+endpointsPerCell-1)/endpointsPerCell)
}

// cellEndpoints deals the endpoints of each stage service to the cells.
func (v *view) cellEndpoints(cell int) []catalog.Endpoint {
	cells := v.cellCount()
	sorted := slices.Clone(v.endpoints)
	slices.SortFunc(sorted, func(a, b catalog.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	var list []catalog.Endpoint
	at := make(map[string]int)
	for _, e := range sorted {
		if s, ok := v.config.Services[e.Service]; !ok || s.Batching == nil {
			continue
		}
		if at[e.Service]%cells == cell {
			// A stage pool knows no reason why an endpoint gets no more calls.
			e.Draining = !v.evacuations.AcceptsWork(e)
			list = append(list, e)
		}
		at[e.Service]++
	}
	return list
}

// cellsLed is the number of cells that this node claims.
func (n *Node) cellsLed() int { return bits.OnesCount64(n.claimedCells.Load()) }

// claim tells all nodes that this one leads a cell. A node that comes back
// does not take its cell from the one that leads it by then: each change
// leaves two leaders at the same endpoints for a while. A claim is no lease:
// two leaders cost time only.
func (n *Node) claim(cell int) {
	if n.claimedCells.Or(lead.CellBit(cell))&lead.CellBit(cell) == 0 {
		n.log.Info(eventCellClaimed, zap.Int("cell", cell))
		n.leaders.expectContention(cell, time.Now())
		n.ratesChanged.Store(true)
		n.crowd()
		n.publishEntry()
		go n.leaders.learnCaches()
	}
}

// updateCells tells the pools of this node's cells whether another leader is at
// work there. When this node leaves and another stays, or one of higher rank claims
// a cell too, it gives back what has not begun, and its claim when all tasks have
// ended.
func (n *Node) updateCells() {
	own := n.claimedCells.Load()
	leaves := n.stopping() && n.hasSuccessor(time.Now())
	for cell := 0; own>>cell != 0; cell++ {
		if own&lead.CellBit(cell) == 0 {
			continue
		}
		shared := n.isCellShared(cell)
		if shared {
			n.leaders.expectContention(cell, time.Now())
			n.crowd()
		}
		if !leaves && (!shared || n.ranksFirst(cell)) {
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

// isCellShared reports whether another node leads a cell too, or is about to
// end its work there.
func (n *Node) isCellShared(cell int) bool {
	for _, e := range *n.entries.Load() {
		if e.Node != n.settings.Node && e.Leads&lead.CellBit(cell) != 0 {
			return true
		}
	}
	return false
}

// publishEntry spreads this node's entry.
func (n *Node) publishEntry() {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	n.members.SetEntries([]wire.Entry{n.entry(n.stopping())})
	n.setEntries(n.members.Entries())
}

// leaderOf returns the node that should lead a cell, and false if none may. Nodes
// that leave may only if none stays: work that ends within their grace period is
// done by them or not at all.
func (n *Node) leaderOf(now time.Time, cell int) (wire.Entry, bool) {
	return lead.Leader(cell, n.leaderCandidates(now))
}

// leaderCandidates lists the nodes that may lead.
func (n *Node) leaderCandidates(now time.Time) []wire.Entry {
	stay, leave := n.responsiveNodes(now)
	if len(stay) == 0 {
		return leave
	}
	return stay
}

// responsiveNodes lists the nodes that answer: those that stay, as far as this one knows,
// and those that leave but did not say that they take no work.
func (n *Node) responsiveNodes(now time.Time) (stay, leave []wire.Entry) {
	for _, e := range *n.entries.Load() {
		switch {
		case n.submissions.isLeaving(e) || n.submissions.suspected(now, e.PeerAddress):
		case e.Leaving || e.Node == n.settings.Node && n.stopping():
			// This node's entry tells of the stop a moment after it has begun.
			leave = append(leave, e)
		default:
			stay = append(stay, e)
		}
	}
	return stay, leave
}

// hasSuccessor reports whether another node can take this one's work.
func (n *Node) hasSuccessor(now time.Time) bool {
	stay, _ := n.responsiveNodes(now)
	return slices.ContainsFunc(stay, func(e wire.Entry) bool { return e.Node != n.settings.Node })
}
