package signal

import (
	"math"
	"slices"
	"time"

	"gradetiller.example/internal/core/gossip"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/intake"
)

const (
	// limitLife is how long a limit holds that no answer repeats.
	limitLife = time.Minute
	// refreshInterval is how often peers learn that answers still repeat a limit. It is well
	// below limitLife.
	refreshInterval = 15 * time.Second
	// gossipTolerance is the difference of age within which two updates count as concurrent.
	gossipTolerance = 30 * time.Millisecond
	// maxEndpoints bounds the endpoints whose signals are kept; those of further ones are ignored.
	maxEndpoints = 4096
)

// Limits holds the rate limits that endpoints advertise, as observed by this node or a peer. The
// newest one holds. It is not safe for concurrent use.
type Limits struct {
	byEndpoint map[string]*limit
	log        *gossip.ChangeLog[string]
}

// limit is the rate limit of one endpoint.
type limit struct {
	rate intake.Rate
	// at is when it was last observed, sharedAt the last observation that peers know of.
	at, sharedAt time.Time
	// since is when it came into force, and from the rate until then if that was lower.
	since time.Time
	from  float64
}

// LimitUpdate is a rate limit as nodes exchange it.
type LimitUpdate struct {
	Endpoint string
	Rate     intake.Rate
	// Age is the time since it was last observed.
	Age time.Duration
}

// LimitChange is a rate limit that was replaced by another.
type LimitChange struct {
	Endpoint      string
	Before, After intake.Rate
}

// NewLimits returns an empty set.
func NewLimits() *Limits {
	return &Limits{byEndpoint: make(map[string]*limit), log: gossip.NewChangeLog[string]()}
}

// Len returns the number of endpoints with a rate limit.
func (l *Limits) Len() int {
	n := 0
	for _, e := range l.byEndpoint {
		if e.rate.Bounded() {
			n++
		}
	}
	return n
}

// Empty reports whether no endpoint has, or lately had, a rate limit.
func (l *Limits) Empty() bool { return len(l.byEndpoint) == 0 }

// Bound returns the bound that an endpoint's rate limit sets.
func (l *Limits) Bound(endpoint string) intake.Bound {
	e, ok := l.byEndpoint[endpoint]
	if !ok {
		return intake.Bound{}
	}
	return e.bound()
}

func (e *limit) bound() intake.Bound { return intake.NewBound(e.rate, e.from, e.since) }

// Observe records the rate limit that an answer advertises, and reports whether it changed.
func (l *Limits) Observe(now time.Time, endpoint string, rate intake.Rate) (LimitChange, bool) {
	e, known := l.byEndpoint[endpoint]
	if !known && !rate.Bounded() {
		return LimitChange{}, false
	}
	if known && e.rate == rate {
		l.refresh(endpoint, e, now)
		return LimitChange{}, false
	}
	return l.replace(now, endpoint, limit{rate: rate, at: now})
}

// refresh records that a limit was observed again.
func (l *Limits) refresh(endpoint string, e *limit, at time.Time) {
	if !at.After(e.at) {
		return
	}
	e.at = at
	if at.Sub(e.sharedAt) >= refreshInterval {
		e.sharedAt = at
		l.log.MarkChanged(endpoint)
	}
}

func (l *Limits) replace(now time.Time, endpoint string, next limit) (LimitChange, bool) {
	old, known := l.byEndpoint[endpoint]
	if !known && len(l.byEndpoint) >= maxEndpoints {
		return LimitChange{}, false
	}
	next.since, next.sharedAt = now, next.at
	change := LimitChange{Endpoint: endpoint, After: next.rate}
	if known {
		change.Before = old.rate
		if sent := old.bound().At(now); sent.Bounded() && intake.Lower(sent, next.rate) == sent {
			next.from = sent.PerSecond()
		}
	}
	l.byEndpoint[endpoint] = &next
	l.log.MarkChanged(endpoint)
	return change, change.Before != change.After
}

// Merge applies the updates of a peer, and returns what they changed.
func (l *Limits) Merge(now time.Time, updates []LimitUpdate) []LimitChange {
	var changes []LimitChange
	for _, u := range updates {
		at := now.Add(-max(u.Age, 0))
		if now.Sub(at) >= limitLife {
			continue
		}
		e, known := l.byEndpoint[u.Endpoint]
		switch {
		case known && e.rate == u.Rate:
			l.refresh(u.Endpoint, e, at)
			continue
		case known && !newer(at, u.Rate, e):
			continue
		}
		if c, changed := l.replace(now, u.Endpoint, limit{rate: u.Rate, at: at}); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// newer reports whether a limit observed at a moment replaces another. Of two concurrent ones
// the lower holds, on all nodes.
func newer(at time.Time, rate intake.Rate, e *limit) bool {
	if apart := at.Sub(e.at); apart > gossipTolerance || apart < -gossipTolerance {
		return apart > 0
	}
	return intake.Lower(rate, e.rate) == rate
}

// Expire ends the limits that no answer has repeated for limitLife, drops those that have ended
// for as long, and returns what changed.
func (l *Limits) Expire(now time.Time) []LimitChange {
	var changes []LimitChange
	for endpoint, e := range l.byEndpoint {
		switch {
		case e.rate.Bounded() && now.Sub(e.at) >= limitLife:
			if c, changed := l.replace(now, endpoint, limit{at: e.at}); changed {
				changes = append(changes, c)
			}
		case !e.rate.Bounded() && now.Sub(e.since) >= limitLife:
			delete(l.byEndpoint, endpoint)
			l.log.Remove(endpoint)
		}
	}
	return changes
}

// Sum returns a checksum that is equal on nodes with the same limits.
func (l *Limits) Sum() uint64 {
	sum := uint64(0)
	for endpoint, e := range l.byEndpoint {
		if e.rate.Bounded() {
			sum ^= hash.Pair(hash.Of(endpoint), hash.Mix(math.Float64bits(e.rate.PerSecond())+1))
		}
	}
	return sum
}

// Updates returns at most n limits that a peer was not sent yet, and counts them as sent.
func (l *Limits) Updates(now time.Time, to string, n int) []LimitUpdate {
	endpoints := l.log.NextUpdates(to, n)
	slices.Sort(endpoints)
	updates := make([]LimitUpdate, len(endpoints))
	for i, endpoint := range endpoints {
		e := l.byEndpoint[endpoint]
		updates[i] = LimitUpdate{Endpoint: endpoint, Rate: e.rate, Age: now.Sub(e.at)}
	}
	return updates
}

// Differs compares the checksum of a peer, and reports whether there are updates for it.
func (l *Limits) Differs(now time.Time, from string, sum uint64) bool {
	return sum != l.Sum() && l.log.HandleMismatch(now, from)
}

// ForgetPeers drops the state kept for peers that are gone.
func (l *Limits) ForgetPeers(gone func(peer string) bool) { l.log.ForgetPeers(gone) }
