package intake

import "math"

// keptShare is the part of the connections that an endpoint takes that all nodes together
// keep open between requests. The rest is for requests under way.
const keptShare = 0.5

// Connections is how many connections one node may keep open to one endpoint that takes only
// so many from all callers together. The zero value sets no bound.
type Connections struct {
	each    float64
	bounded bool
}

// NewConnections divides what an endpoint takes among the nodes that send to it; 0 is no
// bound.
func NewConnections(most, nodes int) Connections {
	if most <= 0 {
		return Connections{}
	}
	return Connections{each: keptShare * float64(most) / float64(max(nodes, 1)), bounded: true}
}

// MayKeep reports whether a connection may be kept open after its request, of which the node
// has a number open, itself included. Where there are more nodes than connections to keep,
// each keeps one now and then: draw is a random number from 0 to 1.
func (c Connections) MayKeep(open int, draw float64) bool {
	whole, part := math.Modf(c.each)
	switch {
	case !c.bounded || open <= int(whole):
		return true
	case open == int(whole)+1:
		return draw < part
	}
	return false
}
