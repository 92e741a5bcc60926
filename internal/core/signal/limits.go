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
	// limitTTL is how long a limit remains in force if no answer repeats it.
	limitTTL = time.Minute
	// refreshInterval is how often peers are sent an update of a limit that answers still carry. It
	// is well below limitTTL.
	refreshInterval = 15 * time.Second
	// gossipTolerance is the difference in age below which two updates are treated as concurrent.
	gossipTolerance = 30 * time.Millisecond
	// maxEndpoints limits the endpoints whose signals are kept; signals of further endpoints are
	// ignored.
	maxEndpoints = 4096
)

// Limits holds the rate limits that endpoints advertise, as observed by this node or a peer. The
// newest limit of an endpoint is in force. Limits is not safe for concurrent use.
type Limits struct {
	byEndpoint map[string]*limit
	log        *gossip.ChangeLog[string]
}

// limit is the rate limit of one endpoint.
type limit struct {
	rate intake.Rate
	// at is when the limit was last observed, and sharedAt the latest observation sent to peers.
	at, sharedAt time.Time
	// since is when the limit came into force. rampFrom is the rate allowed until then if it was
	// lower, otherwise 0.
	since    time.Time
	rampFrom float64
}

// LimitUpdate is a rate limit as exchanged between nodes.
type LimitUpdate struct {
	Endpoint string
	Rate     intake.Rate
	// Age is the time since the limit was last observed.
	Age time.Duration
}

// LimitChange describes a rate limit that was replaced by another.
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

// Empty reports whether no endpoint has a rate limit, or had one recently.
func (l *Limits) Empty() bool { return len(l.byEndpoint) == 0 }

// Bound returns the bound set by an endpoint's rate limit.
func (l *Limits) Bound(endpoint string) intake.Bound {
	e, ok := l.byEndpoint[endpoint]
	if !ok {
		return intake.Bound{}
	}
	return e.bound()
}

func (e *limit) bound() intake.Bound { return intake.NewBound(e.rate, e.rampFrom, e.since) }

// Observe records the rate limit in an answer, and reports whether it changed.
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

// refresh records that an existing limit was observed again.
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
			next.rampFrom = sent.PerSecond()
		}
	}
	l.byEndpoint[endpoint] = &next
	l.log.MarkChanged(endpoint)
	return change, change.Before != change.After
}

// Merge applies updates from a peer and returns the resulting changes.
func (l *Limits) Merge(now time.Time, updates []LimitUpdate) []LimitChange {
	var changes []LimitChange
	for _, u := range updates {
		at := now.Add(-max(u.Age, 0))
		if now.Sub(at) >= limitTTL {
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

// newer reports whether a limit observed at the given time replaces e. Of two concurrent limits the
// lower one wins, so that all nodes agree.
func newer(at time.Time, rate intake.Rate, e *limit) bool {
	if apart := at.Sub(e.at); apart > gossipTolerance || apart < -gossipTolerance {
		return apart > 0
	}
	return intake.Lower(rate, e.rate) == rate
}

// Expire ends the limits that no answer has repeated for limitTTL, removes those that ended as
// long ago, and returns the changes.
func (l *Limits) Expire(now time.Time) []LimitChange {
	var changes []LimitChange
	for endpoint, e := range l.byEndpoint {
		switch {
		case e.rate.Bounded() && now.Sub(e.at) >= limitTTL:
			if c, changed := l.replace(now, endpoint, limit{at: e.at}); changed {
				changes = append(changes, c)
			}
		case !e.rate.Bounded() && now.Sub(e.since) >= limitTTL:
			delete(l.byEndpoint, endpoint)
			l.log.Remove(endpoint)
		}
	}
	return changes
}

// Checksum returns a checksum that is equal on nodes with the same limits.
func (l *Limits) Checksum() uint64 {
	sum := uint64(0)
	for endpoint, e := range l.byEndpoint {
		if e.rate.Bounded() {
			sum ^= hash.Pair(hash.Of(endpoint), hash.Mix(math.Float64bits(e.rate.PerSecond())+1))
		}
	}
	return sum
}

// NextUpdates returns at most n limits that have not been sent to a peer, and marks them as sent.
func (l *Limits) NextUpdates(now time.Time, to string, n int) []LimitUpdate {
	endpoints := l.log.NextUpdates(to, n)
	slices.Sort(endpoints)
	updates := make([]LimitUpdate, len(endpoints))
	for i, endpoint := range endpoints {
		e := l.byEndpoint[endpoint]
		updates[i] = LimitUpdate{Endpoint: endpoint, Rate: e.rate, Age: now.Sub(e.at)}
	}
	return updates
}

// NeedsUpdate compares the checksum of a peer with that of this set, and reports whether there are
// updates for the peer.
func (l *Limits) NeedsUpdate(now time.Time, from string, sum uint64) bool {
	return sum != l.Checksum() && l.log.HandleMismatch(now, from)
}

// ForgetPeers removes the state kept for peers that have gone.
func (l *Limits) ForgetPeers(gone func(peer string) bool) { l.log.ForgetPeers(gone) }
