package node

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/wire"
)

// crowdedTime is how long after another leader was seen at work what it has sent, or still
// sends, may take the place of what this one may send.
const crowdedTime = 6 * time.Second

// share is this node's place among all nodes.
type share struct{ rank, nodes int }

// bound is what an endpoint of a service takes from all nodes together.
func (n *Node) bound(service catalog.Service, endpoint string, cold discovery.ColdPeriod) intake.Bound {
	bears := intake.ColdLimit{PerSecond: service.ColdRate, Excess: n.settings.ColdExcess, Slack: n.settings.ColdSlack}
	limit, until := n.signals.bound(endpoint)
	if cold.Until.After(until) {
		until = cold.Until
	}
	return limit.WithCold(bears, until)
}

// leaderPace is the pace of what this node chooses for all others. Its part is found once for all
// endpoints of a service, since that looks at the whole list.
func (n *Node) leaderPace(v *view, service catalog.Service) endpointPace {
	part := n.leaderPart(v, service)
	return func(endpoint string, cold discovery.ColdPeriod) intake.Pace {
		return intake.NewPace(n.bound(service, endpoint, cold), part)
	}
}

// leaderPart is this node's part as a leader. Each stage endpoint belongs to one cell, which
// has all of it; the leaders of all cells share the others.
func (n *Node) leaderPart(v *view, service catalog.Service) intake.Share {
	crowded := n.started.Add(time.Duration(n.contendedUntil.Load()))
	if service.Batching != nil {
		return intake.LeaderShare(intake.ByLeaders, 1, 1, crowded)
	}
	return intake.LeaderShare(v.config.Placing(service.Name), n.cellsLed(), v.cellCount(), crowded)
}

// ownPace is the pace of what this node chooses for its own requests.
func (n *Node) ownPace(v *view, service catalog.Service) endpointPace {
	s := n.share.Load()
	placing := v.config.Placing(service.Name)
	return func(endpoint string, cold discovery.ColdPeriod) intake.Pace {
		part := intake.NodeShare(placing, s.rank, s.nodes, endpoint)
		return intake.NewPace(n.bound(service, endpoint, cold), part)
	}
}

// shareOut finds this node's part of all nodes. One that has just begun may know none of
// them, but its seeds are others.
func (n *Node) shareOut(now time.Time, entries []wire.Entry) {
	names := nodeNames(entries)
	slices.Sort(names)
	rank, _ := slices.BinarySearch(names, n.settings.Node)
	n.peakMu.Lock()
	defer n.peakMu.Unlock()
	nodes := n.peak.Observe(now, max(len(names), len(n.settings.Seeds)+1))
	next := share{rank: rank, nodes: nodes}
	if before := n.share.Swap(&next); before == nil || *before != next {
		n.ratesChanged.Store(true)
	}
}

// stagePace is the pace of requests to a stage endpoint of a cell that this node leads.
func (n *Node) stagePace(e catalog.Endpoint) intake.Pace {
	v := n.view.Load()
	if v.config == nil {
		return intake.Pace{}
	}
	service := v.config.Services[e.Service]
	return n.leaderPace(v, service)(e.ID, v.coldPeriod(service, e))
}

// recomputeRates puts in force what this node may send to endpoints that bound what they take, if
// it has changed and there are any.
func (n *Node) recomputeRates() {
	if !n.ratesChanged.Swap(false) {
		return
	}
	if v := n.view.Load(); len(v.cold) > 0 || n.signals.any() {
		n.updatePools()
	}
}

// crowd has this node's part as a leader be smaller for a while, since another one was seen
// at work, or may have been until now.
func (n *Node) crowd() {
	until := time.Since(n.started) + crowdedTime
	if before := n.contendedUntil.Swap(int64(until)); until-time.Duration(before) > crowdedTime/4 {
		n.ratesChanged.Store(true)
	}
}
