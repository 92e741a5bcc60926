// Package slowstart tells how often a node may send a request to a cold endpoint: one that
// has just begun, or become cold otherwise, bears only so many requests a second from all
// nodes together, and falls over well above that.
//
// The nodes do not ask each other. The bound is divided beforehand: a part of it belongs to
// the node that places prompts for all others, and a part to all nodes evenly, each at times
// of its own. What is left is for a second placing node, which may be at work for a moment
// after the first was lost, and for requests that arrive closer together than they were
// sent.
//
// # Usage
//
//	l := slowstart.Limit{PerSecond: 10, Excess: 1.5, Slack: 5}
//	pace := l.Leader(since, until)
//	pace = l.Node(since, until, slowstart.Share{Rank: 3, Nodes: 59, Endpoint: id})
//	if pace.Due(now, lastSent) {
//		// send
//	}
//
// A system of many nodes gives each one few turns while an endpoint is cold, so most of what
// a cold endpoint gets comes from the node that places for all.
package slowstart

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// leaderShare and nodesShare are the parts of what a cold endpoint may get in a second
	// that the placing node, and all nodes together, use. With two placing nodes at once,
	// 2*0.3+0.15 of the bound are sent; the rest is for a request more from each within
	// the same second and for delays on the way.
	leaderShare = 0.3
	nodesShare  = 0.15
	// leaderPart and nodesPart bound the same by what the endpoint is said to bear, which
	// the bound may be far above.
	leaderPart = 0.6
	nodesPart  = 0.3
)

// Limit is what a cold endpoint of a service bears. The zero value sets none.
type Limit struct {
	// PerSecond is how many requests it handles in a second.
	PerSecond float64
	// Excess times PerSecond, and Slack more, is how many it may get in any second.
	Excess, Slack float64
}

// most is how many requests a cold endpoint may get in any second.
func (l Limit) most() float64 { return max(l.Excess, 1)*l.PerSecond + l.Slack }

func (l Limit) leaderRate() float64 { return min(leaderShare*l.most(), leaderPart*l.PerSecond) }

func (l Limit) nodesRate() float64 { return min(nodesShare*l.most(), nodesPart*l.PerSecond) }

// Pace is at which times one node may send requests to one cold endpoint. The zero value is
// that of an endpoint that is not cold.
type Pace struct {
	// until is when the endpoint is cold no more.
	until time.Time
	// first is the node's first turn, and gap the time between turns.
	first time.Time
	gap   time.Duration
}

// Cold reports whether the endpoint is cold.
func (p Pace) Cold(now time.Time) bool { return now.Before(p.until) }

// Due reports whether a request may go out now, when the last one did at a moment.
func (p Pace) Due(now, last time.Time) bool {
	return !p.Cold(now) || !now.Before(p.first) && now.Sub(last) >= p.gap
}

// Leader is the pace of the node that places prompts for all others, for an endpoint that is
// cold from one moment to another.
func (l Limit) Leader(since, until time.Time) Pace {
	if l.PerSecond <= 0 {
		return Pace{}
	}
	return Pace{until: until, first: since, gap: gapOf(l.leaderRate())}
}

// Share tells which part of all nodes one is.
type Share struct {
	// Rank is the node's place among Nodes in an order that all know.
	Rank, Nodes int
	// Endpoint is what is shared.
	Endpoint string
	// Alone is true for services of which no node places for the others; all of the bound
	// that is used is shared then.
	Alone bool
}

// Node is the pace of one node among all, for an endpoint that is cold from one moment to
// another. Their turns are spread evenly over the time.
func (l Limit) Node(since, until time.Time, s Share) Pace {
	if l.PerSecond <= 0 {
		return Pace{}
	}
	rate := l.nodesRate()
	if s.Alone {
		rate += l.leaderRate()
	}
	nodes := max(s.Nodes, 1)
	gap := gapOf(rate / float64(nodes))
	turn := (uint64(s.Rank) + hash.Of(s.Endpoint)) % uint64(nodes)
	return Pace{until: until, first: since.Add(time.Duration(float64(gap) * float64(turn) / float64(nodes))), gap: gap}
}

func gapOf(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }
