package intake

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

// Placement states which nodes choose the endpoints of a service.
type Placement int

// Placements.
const (
	// ByNodes means that each node chooses for its own requests.
	ByNodes Placement = iota
	// ByLeaders means that the leaders of the cells choose for all nodes. A node chooses only where
	// there is no leader, and for retries.
	ByLeaders
	// ByBoth means that leaders place some of the service's requests, and nodes the others.
	ByBoth
)

// fractions are the parts of a bound that the leaders of all cells use, and that all nodes use
// without a leader.
type fractions struct{ leaders, nodes float64 }

func (p Placement) fractions() fractions {
	switch p {
	case ByLeaders:
		return fractions{leaders: 0.9, nodes: 0.1}
	case ByBoth:
		return fractions{leaders: 0.5, nodes: 0.45}
	}
	return fractions{nodes: 0.95}
}

// contendedFraction is the part of its share that a leader uses if it has just become leader, or
// knows of another one. Requests of the other leader come on top; both together stay within one and
// a half times the bound.
const contendedFraction = 0.55

// Share is the part of a bound that one node uses, and when. The zero value is no requests at all.
type Share struct {
	fraction float64
	// contendedUntil is the time until which only contendedFraction of the share is used.
	contendedUntil time.Time
	// nodes is the number of nodes that share the bound, each in time slots of its own, and timeSlot
	// is the position of this node's slots among them.
	nodes, timeSlot int
}

// LeaderShare returns the share of a node that leads some of all cells. Until contendedUntil,
// another node may still be active as their leader.
func LeaderShare(p Placement, led, cells int, contendedUntil time.Time) Share {
	return Share{fraction: p.fractions().leaders * float64(led) / float64(max(cells, 1)), contendedUntil: contendedUntil}
}

// NodeShare returns the share of one of all nodes for an endpoint, given its rank in an order that
// all nodes agree on. The ranks are rotated by endpoint, so that a node doesn't have all its time
// slots at once.
func NodeShare(p Placement, rank, nodes int, endpoint string) Share {
	nodes = max(nodes, 1)
	slot := (uint64(rank) + hash.Of(endpoint)) % uint64(nodes)
	return Share{fraction: p.fractions().nodes, nodes: nodes, timeSlot: int(slot)}
}

// rate returns how many requests per second of a bound belong to this share.
func (p Share) rate(perSecond float64, now time.Time) float64 {
	share := p.fraction / float64(max(p.nodes, 1))
	if now.Before(p.contendedUntil) {
		share *= contendedFraction
	}
	return share * perSecond
}
