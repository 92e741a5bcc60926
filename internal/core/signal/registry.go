package signal

import (
	"time"

	"gradetiller.example/internal/core/intake"
)

// Registry holds the signals of all endpoints as one node knows them. It is not safe for
// concurrent use.
type Registry struct {
	limits   *Limits
	draining *Draining
	backoffs *Backoffs
}

// Changes are what an observation changed.
type Changes struct {
	// Limit is the new rate limit, or nil.
	Limit *LimitChange
	// Draining is true when the endpoint is newly draining.
	Draining bool
	// BackoffUntil is the end of the backoff that was asked for, or the zero time.
	BackoffUntil time.Time
}

// NewRegistry returns an empty registry. The seed differs between nodes.
func NewRegistry(seed uint64) *Registry {
	return &Registry{limits: NewLimits(), draining: NewDraining(), backoffs: NewBackoffs(seed)}
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
	return c
}

// ForgetPeers drops the state kept for peers that are gone.
func (r *Registry) ForgetPeers(gone func(peer string) bool) {
	r.limits.ForgetPeers(gone)
	r.draining.ForgetPeers(gone)
}
