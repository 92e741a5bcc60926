package discovery

import (
	"maps"
	"time"

	"gradetiller.example/internal/core/catalog"
)

const (
	// DefaultHeartbeat is the interval at which endpoints confirm their entries if the
	// settings specify none.
	DefaultHeartbeat = 1200 * time.Millisecond
	// minLapseHeartbeats is the shortest outage of the store, in heartbeats, in which an
	// entry can lapse. Entries lapse after three silent heartbeats, of which up to one had
	// passed when the outage began.
	minLapseHeartbeats = 2
	// lapsedDivisor sets the fraction of listed entries, 1/lapsedDivisor, that must have
	// lapsed between two lists for a store outage to be inferred. An outage of 2.7 s makes
	// a quarter of all entries lapse, one of 3.6 s all of them. Far fewer endpoints leave
	// by themselves within the seconds that nobody reads the store.
	lapsedDivisor = 4
	// reregisterPeriod is how long endpoints take to register again after the store has
	// recovered.
	reregisterPeriod = 2200 * time.Millisecond
)

// lapsedEntries holds endpoints whose entries lapsed during a store outage. They keep
// serving, and stay in use until they have had time to register again. They are local to
// this node and are not replicated: other nodes decide by the same list, and an endpoint
// that one node retains must not return to another node that knows that it has left.
type lapsedEntries struct {
	endpoints map[string]*catalog.Endpoint
	// until is when the endpoints that have not registered again are dropped.
	until time.Time
}

// add retains an endpoint that was removed from the list, if its entry may have lapsed.
func (l *lapsedEntries) add(at time.Time, e *catalog.Endpoint) {
	if at.Before(l.until) {
		l.endpoints[e.ID] = e
	}
}

// expire drops the retained endpoints if the list is as of a time after their deadline to
// register again, and reports whether there were any. The passage of time alone drops none:
// without a newer list the node cannot know whether they have registered.
func (l *lapsedEntries) expire(at time.Time, touch func(id string)) bool {
	if len(l.endpoints) == 0 || at.Before(l.until) {
		return false
	}
	for id := range l.endpoints {
		touch(id)
	}
	clear(l.endpoints)
	return true
}

// entriesLapsed reports whether entries lapsed in a store outage before the given list was
// read: no node had a list for as long as that takes, and a large fraction of the entries
// were removed, or were written again unchanged. Both are judged by the store's data alone.
// Missing reads by this or any other node do not indicate an outage, since the readers may
// have failed, and endpoints that left meanwhile must not be used.
func (l *List) entriesLapsed(at time.Time, listed func() map[string]*catalog.Endpoint) bool {
	if l.asOf.IsZero() || at.Sub(l.asOf) <= minLapseHeartbeats*l.heartbeat {
		return false
	}
	lapsed, next := 0, listed()
	for id, k := range l.endpoints {
		now, ok := next[id]
		if !ok || reregistered(k.endpoint, now) {
			lapsed++
		}
	}
	return lapsed > 0 && lapsedDivisor*lapsed >= len(l.endpoints)
}

// reregistered reports whether an entry was removed and added again in between, so that
// only its store revision differs.
func reregistered(before, after *catalog.Endpoint) bool {
	if before.ModRevision == 0 || after.ModRevision == 0 || before.ModRevision == after.ModRevision {
		return false
	}
	unchanged := *after
	unchanged.ModRevision = before.ModRevision
	return unchanged == *before
}

// Outdated returns the number of entries of a restored store that are considered outdated.
func (l *List) Outdated() int { return len(l.outdated.entries) }

// Lapsed returns the number of endpoints in use that the store does not list.
func (l *List) Lapsed() int { return len(l.lapsed.endpoints) }

// listedAfterDelta returns the listed endpoints after a delta is applied.
func (l *List) listedAfterDelta(d Delta) map[string]*catalog.Endpoint {
	next := make(map[string]*catalog.Endpoint, len(l.endpoints))
	for id, k := range l.endpoints {
		next[id] = k.endpoint
	}
	for _, id := range d.Removed {
		delete(next, id)
	}
	maps.Copy(next, byID(d.Changed))
	return next
}
