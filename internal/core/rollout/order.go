package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
)

// Order requests that a service's traffic be moved to the endpoints of a version.
type Order struct {
	Service string
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Revision is the store revision of the order, which identifies it.
	Revision catalog.Revision
}

// Arm is one of the two sets of endpoints of a service during a rollout.
type Arm int

// Arms.
const (
	// Any means that no rollout restricts the choice.
	Any Arm = iota
	// Old are the endpoints of all other versions.
	Old
	// New are the endpoints of the new version.
	New
)

// String returns the name of the arm, or "" for Any.
func (a Arm) String() string { return [...]string{"", "old", "new"}[a] }

// ArmOf returns the arm of an endpoint of the ordered service.
func (o Order) ArmOf(e catalog.Endpoint) Arm {
	if e.Version == o.Version {
		return New
	}
	return Old
}

// Phase is how far a rollout has come. Phases only advance, and a higher one supersedes a lower one.
type Phase int

// Phases.
const (
	Canary Phase = iota
	Shifted
	Reverted
	Complete
)

// String returns the name of the phase for log lines and status output.
func (p Phase) String() string {
	return [...]string{"canary", "shifted", "reverted", "complete"}[p]
}

// Final reports whether the rollout has ended.
func (p Phase) Final() bool { return p == Reverted || p == Complete }

// Stage is what a decider states about a rollout.
type Stage struct {
	Phase Phase
	// Share is the fraction of the requests that the new version gets as a canary.
	Share float64
}

// NewShare returns the share of the requests that the new version gets.
func (s Stage) NewShare() float64 {
	switch s.Phase {
	case Complete, Shifted:
		return 1
	case Canary:
		return s.Share
	}
	return 0
}

// shareSalt separates the draw from other uses of a request's hash.
const shareSalt = 0x6a09e667

// Arm returns the arm of a request.
func (s Stage) Arm(requestID string) Arm {
	switch s.Phase {
	case Complete:
		return Any
	case Shifted:
		return New
	case Canary:
		if draw := hash.Pair(shareSalt, hash.Of(requestID)); float64(draw>>11)/(1<<53) < s.Share {
			return New
		}
	}
	return Old
}

// Orders is the set of orders as of a store revision. The zero value is an unknown set. Values are
// immutable.
type Orders struct {
	revision  catalog.Revision
	byService map[string]Order
}

// Change is a change of the order of one service.
type Change struct {
	Order Order
	// Ended reports whether the order was withdrawn. Only Order.Service is set then.
	Ended bool
}

// Revision returns the store revision up to which all orders are included.
func (o Orders) Revision() catalog.Revision { return o.revision }

// Get returns the order of a service.
func (o Orders) Get(service string) (Order, bool) {
	order, ok := o.byService[service]
	return order, ok
}

// List returns all orders, sorted by service.
func (o Orders) List() []Order {
	return slices.SortedFunc(maps.Values(o.byService), func(a, b Order) int { return cmp.Compare(a.Service, b.Service) })
}

// Replace returns the complete set of orders as of a revision. Revisions that are not above the
// present one are ignored.
func (o Orders) Replace(revision catalog.Revision, orders []Order) Orders {
	if revision <= o.revision {
		return o
	}
	next := Orders{revision: revision, byService: make(map[string]Order, len(orders))}
	for _, order := range orders {
		next.byService[order.Service] = order
	}
	return next
}

// Apply returns the orders as of a revision, given the changes since an earlier one of the same
// era.
func (o Orders) Apply(revision catalog.Revision, changes []Change) Orders {
	if revision <= o.revision {
		return o
	}
	next := Orders{revision: revision, byService: maps.Clone(o.byService)}
	if next.byService == nil {
		next.byService = make(map[string]Order)
	}
	for _, c := range changes {
		if c.Ended {
			delete(next.byService, c.Order.Service)
			continue
		}
		next.byService[c.Order.Service] = c.Order
	}
	return next
}

// Equal reports whether two sets hold the same orders.
func (o Orders) Equal(other Orders) bool { return maps.Equal(o.byService, other.byService) }
