package node

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/slowstart"
	"gradetiller.example/internal/wire"
)

// coldLimit is what a cold endpoint of a service bears.
func (n *Node) coldLimit(service catalog.Service) slowstart.Limit {
	return slowstart.Limit{PerSecond: service.ColdPerSecond, Excess: n.settings.ColdExcess, Slack: n.settings.ColdSlack}
}

// leaderPace is the pace of prompts that this node places for all others.
func (n *Node) leaderPace(service catalog.Service, _ string, cold discovery.Coldness) slowstart.Pace {
	return n.coldLimit(service).Leader(cold.Since, cold.Until)
}

// ownPace is the pace of requests that this node places for itself.
func (n *Node) ownPace(service catalog.Service, endpoint string, cold discovery.Coldness) slowstart.Pace {
	share := *n.share.Load()
	share.Endpoint, share.Alone = endpoint, !service.Model
	return n.coldLimit(service).Node(cold.Since, cold.Until, share)
}

// shareOut finds this node's part of all nodes. One that has just begun may know none of
// them, but its seeds are others.
func (n *Node) shareOut(now time.Time, entries []wire.Entry) {
	names := nodeNames(entries)
	slices.Sort(names)
	rank, _ := slices.BinarySearch(names, n.settings.Node)
	n.peakMu.Lock()
	defer n.peakMu.Unlock()
	nodes := n.peak.See(now, max(len(names), len(n.settings.Seeds)+1))
	n.share.Store(&slowstart.Share{Rank: rank, Nodes: nodes})
}
