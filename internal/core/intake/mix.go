package intake

import (
	"math"
	"time"
)

const (
	// mixHalfLife is the age at which a request counts half in a Mix.
	mixHalfLife = 2 * time.Second
	// mixPrior is the number of requests of either kind that a Mix assumes before it has seen
	// any.
	mixPrior = 0.05
	// minMix keeps a part of the bound for the kind of requests that were rare until now.
	minMix = 0.05
)

// Mix estimates what fraction of a service's requests leaders place, the rest being placed by
// each node, from recent requests of both kinds. The zero value has seen none. It is not safe
// for concurrent use.
type Mix struct {
	byLeaders, byNodes float64
	updatedAt          time.Time
}

// Add records requests that were placed by a leader and by nodes.
func (m *Mix) Add(now time.Time, byLeaders, byNodes int) {
	if age := now.Sub(m.updatedAt); !m.updatedAt.IsZero() && age > 0 {
		kept := math.Exp2(-age.Seconds() / mixHalfLife.Seconds())
		m.byLeaders *= kept
		m.byNodes *= kept
	}
	m.byLeaders += float64(byLeaders)
	m.byNodes += float64(byNodes)
	m.updatedAt = now
}

// Leaders returns the fraction that leaders place, from 0 to 1.
func (m *Mix) Leaders() float64 {
	return (m.byLeaders + mixPrior) / (m.byLeaders + m.byNodes + 2*mixPrior)
}

// leadersPart and nodesPart return the parts of a bound for each kind of requests, given the
// fraction that leaders place.
func leadersPart(mix float64) float64 { return min(mix+minMix, 1) }
func nodesPart(mix float64) float64   { return min(1-mix+minMix, 1) }
