package signal

import (
	"maps"
	"time"

	"gradetiller.example/internal/core/intake"
)

// Registry holds the signals of all endpoints as one node knows them. It is not safe for
// concurrent use.
type Registry struct {
	limits   *Limits
	draining *Draining
	backoffs *Backoffs
	// coldUntil are the ends of the cold times that answers announced.
	coldUntil map[string]time.Time
}

// Changes are what an observation changed.
type Changes struct {
	// Limit is the new rate limit, or nil.
	Limit *LimitChange
	// Draining is true when the endpoint is newly draining.
	Draining bool
	// Cold is true when the endpoint is newly cold, or for longer.
	Cold bool
	// BackoffUntil is the end of the backoff that was asked for, or the zero time.
	BackoffUntil time.Time
}

// NewRegistry returns an empty registry. The seed differs between nodes.
func NewRegistry(seed uint64) *Registry {
	return &Registry{limits: NewLimits(), draining: NewDraining(), backoffs: NewBackoffs(seed), coldUntil: make(map[string]time.Time)}
}

// Limits returns the rate limits.
func (r *Registry) Limits() *Limits { return r.limits }

// Draining returns the endpoints that announced draining.
func (r *Registry) Draining() *Draining { return r.draining }

// Backoffs returns the backoffs that this node was asked for.
func (r *Registry) Backoffs() *Backoffs { return r.backoffs }

// Bound returns the bound that an endpoint's rate limit sets.
func (r *Registry) Bound(endpoint string) intake.Bound { return r.limits.Bound(endpoint) }

// Observe records the signals of an endpoint's answer and returns what they change.
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
	if s.Cold > 0 {
		c.Cold = r.observeCold(now, endpoint, now.Add(s.Cold))
	}
	return c
}

// coldTolerance is how much later than known the end of a cold time must be to count as a change.
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

// ColdUntil returns the end of the cold time that an endpoint announced, or the zero time.
func (r *Registry) ColdUntil(endpoint string) time.Time { return r.coldUntil[endpoint] }

// Expire drops the backoffs and cold times that are over, ends rate limits that no answer repeats,
// and returns what changed of these.
func (r *Registry) Expire(now time.Time) []LimitChange {
	r.backoffs.Expire(now)
	maps.DeleteFunc(r.coldUntil, func(_ string, end time.Time) bool { return !now.Before(end) })
	return r.limits.Expire(now)
}

// HasBounds reports whether a rate limit or a cold time bounds, or lately bounded, what any endpoint
// takes.
func (r *Registry) HasBounds() bool { return !r.limits.Empty() || len(r.coldUntil) > 0 }

// ForgetPeers drops the state kept for peers that are gone.
func (r *Registry) ForgetPeers(gone func(peer string) bool) {
	r.limits.ForgetPeers(gone)
	r.draining.ForgetPeers(gone)
}
