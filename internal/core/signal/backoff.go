package signal

import (
	"cmp"
	"slices"
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// jitterShare and maxJitter limit the random extension of a backoff, which prevents nodes that
	// were rejected at the same time from coming back at the same time.
	jitterShare = 0.25
	maxJitter   = time.Second
)

// Backoffs holds the periods during which endpoints asked this node not to send any requests. A
// backoff is between one node and one incarnation of an endpoint and is not exchanged. Backoffs is
// not safe for concurrent use.
type Backoffs struct {
	seed  uint64
	until map[string]time.Time
}

// Backoff is the backoff of one endpoint.
type Backoff struct {
	Endpoint string
	Until    time.Time
}

// NewBackoffs returns an empty set. The seed must differ between nodes.
func NewBackoffs(seed uint64) *Backoffs {
	return &Backoffs{seed: seed, until: make(map[string]time.Time)}
}

// Observe records a backoff of duration d requested by an endpoint, and returns its end including
// jitter. An existing backoff that ends later remains in force.
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

// evict removes the backoff that ends first.
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

// Until returns the end of an endpoint's backoff, or the zero time if there is none.
func (b *Backoffs) Until(endpoint string) time.Time { return b.until[endpoint] }

// Active returns the backoffs in force, sorted by endpoint.
func (b *Backoffs) Active(now time.Time) []Backoff {
	return slices.DeleteFunc(b.list(), func(x Backoff) bool { return !now.Before(x.Until) })
}

// Expire removes the backoffs that have ended.
func (b *Backoffs) Expire(now time.Time) {
	for endpoint, until := range b.until {
		if !now.Before(until) {
			delete(b.until, endpoint)
		}
	}
}
