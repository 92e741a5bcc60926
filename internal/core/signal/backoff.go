package signal

import (
	"cmp"
	"slices"
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// jitterShare and maxJitter bound how much longer than asked a backoff lasts, so that the
	// nodes that an endpoint rejected at once don't come back at once.
	jitterShare = 0.25
	maxJitter   = time.Second
)

// Backoffs are the times during which this node sends endpoints nothing, since they asked it to.
// A backoff is between one node and one incarnation of an endpoint and is not exchanged. It is not
// safe for concurrent use.
type Backoffs struct {
	seed  uint64
	until map[string]time.Time
}

// Backoff is an endpoint in backoff and the end of it.
type Backoff struct {
	Endpoint string
	Until    time.Time
}

// NewBackoffs returns an empty set. The seed differs between nodes.
func NewBackoffs(seed uint64) *Backoffs {
	return &Backoffs{seed: seed, until: make(map[string]time.Time)}
}

// Observe records a backoff that an endpoint asks for from now on, and returns its end. A backoff
// that ends later stays in force.
func (b *Backoffs) Observe(now time.Time, endpoint string, d time.Duration) time.Time {
	until := now.Add(d + b.jitter(endpoint, d))
	old, known := b.until[endpoint]
	if old.After(until) {
		return old
	}
	if !known && len(b.until) >= maxEndpoints {
		b.evict()
	}
	b.until[endpoint] = until
	return until
}

func (b *Backoffs) jitter(endpoint string, d time.Duration) time.Duration {
	const steps = 1024
	step := float64(hash.Pair(b.seed, hash.Of(endpoint))%steps) / steps
	return time.Duration(step * float64(min(time.Duration(jitterShare*float64(d)), maxJitter)))
}

// evict drops the backoff that ends first.
func (b *Backoffs) evict() {
	first := slices.MinFunc(b.list(), func(x, y Backoff) int { return x.Until.Compare(y.Until) })
	delete(b.until, first.Endpoint)
}

func (b *Backoffs) list() []Backoff {
	list := make([]Backoff, 0, len(b.until))
	for endpoint, until := range b.until {
		list = append(list, Backoff{Endpoint: endpoint, Until: until})
	}
	slices.SortFunc(list, func(x, y Backoff) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	return list
}

// Until returns the end of an endpoint's backoff, or the zero time.
func (b *Backoffs) Until(endpoint string) time.Time { return b.until[endpoint] }

// Active returns the backoffs in force, by endpoint.
func (b *Backoffs) Active(now time.Time) []Backoff {
	return slices.DeleteFunc(b.list(), func(x Backoff) bool { return !now.Before(x.Until) })
}

// Expire drops the backoffs that are over.
func (b *Backoffs) Expire(now time.Time) {
	for endpoint, until := range b.until {
		if !now.Before(until) {
			delete(b.until, endpoint)
		}
	}
}
