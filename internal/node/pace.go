package node

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/wire"
)

// otherLeaderTTL is how long another leader counts as active after it was last observed. Requests
// that it sent, or still sends, use up part of the bounds that this node has a share of.
const otherLeaderTTL = 6 * time.Second

// nodeShare is this node's rank among all nodes, and their number.
type nodeShare struct{ rank, nodes int }

// bound returns the bound on the requests of all nodes to an endpoint of a service.
func (n *Node) bound(service catalog.Service, endpoint string, cold discovery.ColdPeriod) intake.Bound {
	coldLimit := intake.ColdLimit{PerSecond: service.ColdRate, Excess: n.settings.ColdExcess, Slack: n.settings.ColdSlack}
	limit, until := n.signals.bound(endpoint)
	if cold.Until.After(until) {
		until = cold.Until
	}
	return limit.WithCold(coldLimit, until)
}

// leaderPace returns the paces of calls that this node places as a leader. The share is computed
// once for all endpoints of a service, because that scans the list of endpoints.
func (n *Node) leaderPace(v *view, service catalog.Service) endpointPace {
	share := n.leaderShare(v, service)
	return func(endpoint string, cold discovery.ColdPeriod) intake.Pace {
		return intake.NewPace(n.bound(service, endpoint, cold), share)
	}
}

// leaderShare returns this node's share as a leader. A stage endpoint belongs to one cell, whose
// leader has all of it. Other endpoints are shared among the leaders of all cells.
func (n *Node) leaderShare(v *view, service catalog.Service) intake.Share {
	contendedUntil := n.started.Add(time.Duration(n.contendedUntil.Load()))
	if service.Batching != nil {
		return intake.LeaderShare(intake.ByLeaders, 1, 1, 1, contendedUntil)
	}
	_, mix := n.mixes.leaders(service.Name)
	return intake.LeaderShare(v.config.Placing(service.Name), mix, n.cellsLed(), v.cellCount(), contendedUntil)
}

// ownPace returns the paces of calls that this node places for its own requests.
func (n *Node) ownPace(v *view, service catalog.Service) endpointPace {
	s := n.share.Load()
	placing := v.config.Placing(service.Name)
	mix, _ := n.mixes.leaders(service.Name)
	return func(endpoint string, cold discovery.ColdPeriod) intake.Pace {
		share := intake.NodeShare(placing, mix, s.rank, s.nodes, endpoint)
		return intake.NewPace(n.bound(service, endpoint, cold), share)
	}
}

// updateShare updates this node's rank and the number of nodes. A node that has just started may not
// know any other member yet, so it counts at least its seeds and itself.
func (n *Node) updateShare(now time.Time, entries []wire.Entry) {
	names := nodeNames(entries)
	slices.Sort(names)
	rank, _ := slices.BinarySearch(names, n.settings.Node)
	n.peakMu.Lock()
	defer n.peakMu.Unlock()
	nodes := n.peak.Observe(now, max(len(names), len(n.settings.Seeds)+1))
	next := nodeShare{rank: rank, nodes: nodes}
	if before := n.share.Swap(&next); before == nil || *before != next {
		n.ratesChanged.Store(true)
	}
}

// stagePace returns the pace of calls to a stage endpoint of a cell that this node leads.
func (n *Node) stagePace(e catalog.Endpoint) intake.Pace {
	v := n.view.Load()
	if v.config == nil {
		return intake.Pace{}
	}
	if pace, ok := n.canaryPace(v, e); ok {
		return pace
	}
	service := v.config.Services[e.Service]
	return n.leaderPace(v, service)(e.ID, v.coldPeriod(service, e))
}

// recomputeRates applies changed paces to all pools, if any endpoint has a rate limit or is cold.
func (n *Node) recomputeRates() {
	if !n.ratesChanged.Swap(false) {
		return
	}
	if v := n.view.Load(); len(v.cold) > 0 || n.signals.hasBounds() || n.brittle.known() {
		n.updatePoolsWith(true)
	}
}

// recordOtherLeader reduces this node's share as a leader for otherLeaderTTL, because another leader
// was observed, or may have been active until now.
func (n *Node) recordOtherLeader() {
	until := time.Since(n.started) + otherLeaderTTL
	if before := n.contendedUntil.Swap(int64(until)); until-time.Duration(before) > otherLeaderTTL/4 {
		n.ratesChanged.Store(true)
	}
}
