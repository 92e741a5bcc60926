package intake

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

// Placement is who chooses the endpoints of a service.
type Placement int

// The ways of placing.
const (
	// ByNodes has each node choose for its own requests.
	ByNodes Placement = iota
	// ByLeaders has the leaders of the cells choose for all nodes. A node chooses only
	// where no leader does, and for what is sent again.
	ByLeaders
	// ByBoth is a service some of whose requests are placed by leaders.
	ByBoth
)

// shares are the parts of a bound that the leaders of all cells, and all nodes by
// themselves, use.
type shares struct{ leaders, nodes float64 }

func (p Placement) shares() shares {
	switch p {
	case ByLeaders:
		return shares{leaders: 0.9, nodes: 0.1}
	case ByBoth:
		return shares{leaders: 0.5, nodes: 0.45}
	}
	return shares{nodes: 0.95}
}

// crowdedShare is the part of its share that a leader uses that has just begun to lead, or
// knows of another one: what the other still sends comes on top. Both together stay within
// one and a half times the bound.
const crowdedShare = 0.55

// Share is how much of a bound one node uses, and at which times. The zero value is nothing.
type Share struct {
	share float64
	// crowded is until when only crowdedShare of it is used.
	crowded time.Time
	// nodes share the bound by turns; turn is this node's place among them.
	nodes, turn int
}

// LeaderShare is the part of a node that leads some of all cells. Until a moment another node
// may still be at work as their leader.
func LeaderShare(p Placement, led, cells int, crowded time.Time) Share {
	return Share{share: p.shares().leaders * float64(led) / float64(max(cells, 1)), crowded: crowded}
}

// NodeShare is the part of one node among all, for an endpoint, by its rank in an order that
// all know. The ranks of different endpoints differ, so that no node has all its turns at
// once.
func NodeShare(p Placement, rank, nodes int, endpoint string) Share {
	nodes = max(nodes, 1)
	turn := (uint64(rank) + hash.Of(endpoint)) % uint64(nodes)
	return Share{share: p.shares().nodes, nodes: nodes, turn: int(turn)}
}

// of is how many requests a second of a bound belong to this part.
func (p Share) of(perSecond float64, now time.Time) float64 {
	share := p.share / float64(max(p.nodes, 1))
	if now.Before(p.crowded) {
		share *= crowdedShare
	}
	return share * perSecond
}
