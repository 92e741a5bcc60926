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
// without a leader. With ByBoth, each applies to the part of the bound that the mix of requests
// assigns to it.
type fractions struct{ leaders, nodes float64 }

func (p Placement) fractions() fractions {
	switch p {
	case ByLeaders:
		return fractions{leaders: 0.9, nodes: 0.1}
	case ByBoth:
		return fractions{leaders: 0.9, nodes: 0.95}
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
	// used is the part of the time slots that is used, 0 for all. The slots of all nodes stay
	// evenly spaced although each node has its own estimate of the mix.
	used float64
}

// LeaderShare returns the share of a node that leads some of all cells. Until contendedUntil,
// another node may still be active as their leader. With ByBoth, mix is the estimated fraction of
// the requests that leaders place (Mix); otherwise it is ignored.
func LeaderShare(p Placement, mix float64, led, cells int, contendedUntil time.Time) Share {
	share := Share{fraction: p.fractions().leaders * float64(led) / float64(max(cells, 1)), contendedUntil: contendedUntil}
	if p == ByBoth {
		share.fraction *= leadersPart(mix)
	}
	return share
}

// NodeShare returns the share of one of all nodes for an endpoint, given its rank in an order that
// all nodes agree on. The ranks are rotated by endpoint, so that a node doesn't have all its time
// slots at once. The mix is that of LeaderShare.
func NodeShare(p Placement, mix float64, rank, nodes int, endpoint string) Share {
	nodes = max(nodes, 1)
	slot := (uint64(rank) + hash.Of(endpoint)) % uint64(nodes)
	share := Share{fraction: p.fractions().nodes, nodes: nodes, timeSlot: int(slot)}
	if p == ByBoth {
		share.used = nodesPart(mix)
	}
	return share
}

// usedPart returns the part of the time slots that is used.
func (p Share) usedPart() float64 {
	if p.used <= 0 {
		return 1
	}
	return p.used
}

// usesSlot reports whether a time slot, given by its number since the Unix epoch, is used.
func (p Share) usesSlot(number int64) bool {
	part := p.usedPart()
	if part >= 1 {
		return true
	}
	draw := hash.Mix(uint64(number) ^ uint64(p.timeSlot)<<40)
	return float64(draw>>11)/(1<<53) < part
}

// rate returns how many requests per second of a bound belong to this share.
func (p Share) rate(perSecond float64, now time.Time) float64 {
	share := p.fraction * p.usedPart() / float64(max(p.nodes, 1))
	if now.Before(p.contendedUntil) {
		share *= contendedFraction
	}
	return share * perSecond
}
