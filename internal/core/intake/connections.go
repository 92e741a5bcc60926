package intake

import "math"

// idleShare is the fraction of an endpoint's maximum connections that all nodes together keep open
// between requests. The rest is left for requests in progress.
const idleShare = 0.5

// Connections limits how many idle connections one node keeps to an endpoint with a maximum number
// of connections from all callers. The zero value is no limit.
type Connections struct {
	perNode float64
	bounded bool
}

// NewConnections divides an endpoint's maximum number of connections among the nodes that send to
// it; a maximum of 0 is no limit.
func NewConnections(maxConns, nodes int) Connections {
	if maxConns <= 0 {
		return Connections{}
	}
	return Connections{perNode: idleShare * float64(maxConns) / float64(max(nodes, 1)), bounded: true}
}

// MayKeep reports whether a connection may stay open after its request. open is the number of
// connections that the node has open, including this one. If there are more nodes than connections,
// each node keeps one with a certain probability: draw is a random number from 0 to 1.
func (c Connections) MayKeep(open int, draw float64) bool {
	whole, part := math.Modf(c.perNode)
	switch {
	case !c.bounded || open <= int(whole):
		return true
	case open == int(whole)+1:
		return draw < part
	}
	return false
}
