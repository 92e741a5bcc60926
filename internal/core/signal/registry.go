package signal

import (
	"maps"
	"time"

	"gradetiller.example/internal/core/intake"
)

// Registry holds the signals of all endpoints known to one node. It is not safe for concurrent use.
type Registry struct {
	limits    *Limits
	draining  *Draining
	backoffs  *Backoffs
	slowdowns *Slowdowns
	// coldUntil holds the ends of announced cold periods.
	coldUntil map[string]time.Time
}

// Changes describes the effects of an observation.
type Changes struct {
	// Limit is the change of the rate limit, or nil.
	Limit *LimitChange
	// Draining is true if the endpoint was not known to be draining.
	Draining bool
	// Cold is true if a cold period started or was extended.
	Cold bool
	// BackoffUntil is the end of the requested backoff, or the zero time.
	BackoffUntil time.Time
}

// NewRegistry returns an empty registry. The seed must differ between nodes.
func NewRegistry(seed uint64) *Registry {
	return &Registry{limits: NewLimits(), draining: NewDraining(), backoffs: NewBackoffs(seed), slowdowns: NewSlowdowns(), coldUntil: make(map[string]time.Time)}
}

// Limits returns the rate limits.
func (r *Registry) Limits() *Limits { return r.limits }

// Draining returns the endpoints that announced draining.
func (r *Registry) Draining() *Draining { return r.draining }

// Backoffs returns the backoffs that endpoints requested of this node.
func (r *Registry) Backoffs() *Backoffs { return r.backoffs }

// Slowdowns returns the slowdowns that endpoints stated.
func (r *Registry) Slowdowns() *Slowdowns { return r.slowdowns }

// Bound returns the bound set by an endpoint's rate limit.
func (r *Registry) Bound(endpoint string) intake.Bound { return r.limits.Bound(endpoint) }

// Observe records the signals in an answer and returns the resulting changes.
func (r *Registry) Observe(now time.Time, endpoint string, s Signals) Changes {
	var c Changes
	if s.Limit.Known {
		if change, changed := r.limits.Observe(now, endpoint, s.Limit.Rate); changed {
			c.Limit = &change
		}
	}
	if s.Draining {
		c.Draining = r.draining.Observe(now, endpoint)
	}
	if s.Backoff > 0 {
		c.BackoffUntil = r.backoffs.Observe(now, endpoint, s.Backoff)
	}
	if s.Load.Slowdown > 0 {
		r.slowdowns.Observe(now, endpoint, s.Load.Slowdown)
	}
	if s.Cold > 0 {
		c.Cold = r.observeCold(now, endpoint, now.Add(s.Cold))
	}
	return c
}

// coldTolerance is the minimum extension of a cold period that counts as a change.
const coldTolerance = 250 * time.Millisecond

func (r *Registry) observeCold(now time.Time, endpoint string, until time.Time) bool {
	if until.Sub(r.coldUntil[endpoint]) < coldTolerance {
		return false
	}
	if len(r.coldUntil) >= maxEndpoints {
		maps.DeleteFunc(r.coldUntil, func(_ string, end time.Time) bool { return !now.Before(end) })
	}
	if len(r.coldUntil) < maxEndpoints {
		r.coldUntil[endpoint] = until
	}
	return true
}

// ColdUntil returns the end of an endpoint's announced cold period, or the zero time.
func (r *Registry) ColdUntil(endpoint string) time.Time { return r.coldUntil[endpoint] }

// Expire removes the backoffs and cold periods that have ended and old slowdowns, ends the rate limits that are no
// longer repeated, and returns the changes of rate limits.
func (r *Registry) Expire(now time.Time) []LimitChange {
	r.backoffs.Expire(now)
	r.slowdowns.Expire(now)
	maps.DeleteFunc(r.coldUntil, func(_ string, end time.Time) bool { return !now.Before(end) })
	return r.limits.Expire(now)
}

// HasBounds reports whether any endpoint has a rate limit, had one recently, or is cold.
func (r *Registry) HasBounds() bool { return !r.limits.Empty() || len(r.coldUntil) > 0 }

// ForgetPeers removes the state kept for peers that have gone.
func (r *Registry) ForgetPeers(gone func(peer string) bool) {
	r.limits.ForgetPeers(gone)
	r.draining.ForgetPeers(gone)
}
