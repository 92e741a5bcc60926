package discovery

import (
	"time"

	"gradetiller.example/internal/core/catalog"
)

// outdatedPeriod bounds how long a restored entry is considered outdated. Within it a live
// endpoint has written its entry again, which takes about two seconds, and the entry of a
// dead endpoint has lapsed after three heartbeats.
const outdatedPeriod = 10 * time.Second

// outdatedEntries holds entries of a store that was restored from an older copy, about
// which this node knows more than the copy: the endpoint left, or announced that it leaves,
// after the copy was made. Like lapsed entries they are local to this node. An entry is
// dropped once the endpoint writes it again.
type outdatedEntries struct {
	entries map[string]outdatedEntry
	until   time.Time
}

// outdatedEntry is an entry as it stands in the restored copy.
type outdatedEntry struct {
	listed catalog.Revision
	// left is true if the endpoint had left, and false if it was draining.
	left bool
}

// handleRestore records that the store was restored from a copy, from which a list was read
// at the given time. Entries that the copy lacks are retained as after any outage of the
// store.
func (l *List) handleRestore(at time.Time, listed map[string]*catalog.Endpoint) {
	l.lapsed.until = at.Add(reregisterPeriod)
	l.outdated.until = at.Add(outdatedPeriod)
	for _, g := range l.removed {
		e, ok := listed[g.id]
		_, known := l.endpoints[g.id]
		// An entry with a version below the one at which the endpoint left predates its
		// leaving, or its version was assigned again after the restore. In the latter case
		// the endpoint has to wait.
		if ok && !known && e.ModRevision.Version() < g.changed.Version() {
			l.outdated.entries[g.id] = outdatedEntry{listed: e.ModRevision, left: true}
		}
	}
	for id, k := range l.endpoints {
		e, ok := listed[id]
		if ok && k.endpoint.Draining && !e.Draining && e.ModRevision.Version() < k.endpoint.ModRevision.Version() {
			l.outdated.entries[id] = outdatedEntry{listed: e.ModRevision}
		}
	}
	for id := range l.outdated.entries {
		l.touch(id)
	}
	// Entries marked after an earlier restore stay marked while they are unchanged.
	for id, d := range l.outdated.entries {
		if e, ok := listed[id]; ok && e.ModRevision.Version() == d.listed.Version() {
			l.outdated.entries[id] = outdatedEntry{listed: e.ModRevision, left: d.left}
		}
	}
}

// contains reports whether an endpoint's entry is outdated. When such an entry disappears
// it has not lapsed, since the endpoint is known to be leaving or to have left.
func (o *outdatedEntries) contains(id string) bool {
	_, ok := o.entries[id]
	return ok
}

// dropRewritten drops the mark of an entry that differs from the copy's, and reports whether it did.
func (o *outdatedEntries) dropRewritten(e *catalog.Endpoint) bool {
	old, ok := o.entries[e.ID]
	if !ok || old.listed == e.ModRevision {
		return false
	}
	delete(o.entries, e.ID)
	return true
}

// apply returns a listed endpoint as it is used: nil if it is known to have left, and marked as
// draining if it is known to be leaving.
func (o *outdatedEntries) apply(e *catalog.Endpoint) *catalog.Endpoint {
	entry, ok := o.entries[e.ID]
	switch {
	case !ok:
		return e
	case entry.left:
		return nil
	}
	draining := *e
	draining.Draining = true
	return &draining
}

// expire drops all marks if the list is as of a time after the end of the outdated period,
// and reports whether there were any.
func (o *outdatedEntries) expire(at time.Time, touch func(id string)) bool {
	if len(o.entries) == 0 || at.Before(o.until) {
		return false
	}
	for id := range o.entries {
		touch(id)
	}
	clear(o.entries)
	return true
}
