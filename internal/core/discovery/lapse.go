package discovery

import (
	"maps"
	"time"

	"gradetiller.example/internal/core/catalog"
)

const (
	// DefaultHeartbeat is how often endpoints confirm their entries where the settings
	// don't tell.
	DefaultHeartbeat = 1200 * time.Millisecond
	// silentBeats is how long, in heartbeats, the store must be away at least for an
	// entry to lapse: entries go after three heartbeats of silence, of which up to one
	// had passed when the store went away.
	silentBeats = 2
	// lapsedPart is the part of the listed entries, as a divisor, that must have
	// lapsed between two lists for the store to be taken to have been away. An absence
	// of 2.7 s takes a quarter of all entries, one of 3.6 s all of them; endpoints
	// that leave by themselves are far fewer than that within the seconds that nobody
	// reads the store.
	lapsedPart = 4
	// returnTime is how long endpoints take to list themselves again after the
	// store's return.
	returnTime = 2200 * time.Millisecond
)

// lapses holds endpoints whose entries lapsed while the store was away: they serve on,
// and are used until they had time to list themselves again. They are this node's own
// belief and no part of what it tells others, who judge for themselves by the same
// list: what one node holds in doubt must not bring an endpoint back to another one that
// knows that it left.
type lapses struct {
	endpoints map[string]catalog.Endpoint
	// until is when those that are still missing are gone.
	until time.Time
}

// keep goes on with an endpoint that the list lost, if its entry may have lapsed.
func (p *lapses) keep(at time.Time, e catalog.Endpoint) {
	if at.Before(p.until) {
		p.endpoints[e.ID] = e
	}
}

// expire drops the endpoints that a list lacks which was the store's when their time to
// come back was over, and reports whether there were any. The time alone drops none:
// without news, a node can't know whether they came back.
func (p *lapses) expire(at time.Time) bool {
	if len(p.endpoints) == 0 || at.Before(p.until) {
		return false
	}
	clear(p.endpoints)
	return true
}

// lapsedSince reports whether the entries of a list lapsed before another one was read:
// nobody had a list for as long as that takes, and a large part of the entries are gone
// or were put anew with nothing changed. Both are asked of the store alone. That this
// node, or any other, did not read for a while is no sign that the store was away: its
// readers may have been lost, and endpoints that left meanwhile must not be used.
func (l *List) lapsedSince(at time.Time, listed func() map[string]catalog.Endpoint) bool {
	if l.current.IsZero() || at.Sub(l.current) <= silentBeats*l.heartbeat {
		return false
	}
	lapsed, next := 0, listed()
	for id, k := range l.endpoints {
		now, ok := next[id]
		if !ok || putAnew(k.endpoint, now) {
			lapsed++
		}
	}
	return lapsed > 0 && lapsedPart*lapsed >= len(l.endpoints)
}

// putAnew reports whether an entry went and came back in between: nothing but the
// store's count of it differs.
func putAnew(before, after catalog.Endpoint) bool {
	if before.ModRevision == 0 || after.ModRevision == 0 || before.ModRevision == after.ModRevision {
		return false
	}
	after.ModRevision = before.ModRevision
	return after == before
}

// Doubted returns how many entries of a restored store are doubted.
func (l *List) Doubted() int { return len(l.doubts.entries) }

// Kept returns how many endpoints are used although the store does not list them.
func (l *List) Kept() int { return len(l.lapses.endpoints) }

// listedAfter is the list that a delta leads to.
func (l *List) listedAfter(d Delta) map[string]catalog.Endpoint {
	next := make(map[string]catalog.Endpoint, len(l.endpoints))
	for id, k := range l.endpoints {
		next[id] = k.endpoint
	}
	for _, id := range d.Gone {
		delete(next, id)
	}
	maps.Insert(next, byID(d.Changed))
	return next
}
