package discovery

import (
	"time"

	"gradetiller.example/internal/core/catalog"
)

// doubtTime bounds how long an entry of a copy is doubted. Within it an endpoint that lives
// has written its entry again, which takes about two seconds, and the entry of one that does
// not has lapsed after three heartbeats.
const doubtTime = 10 * time.Second

// doubts are entries of a store that came back from an older copy of itself, of which this
// node knows more than the copy: the endpoint had left, or said that it leaves, after the
// copy was made. They are this node's own belief, as lapses are, until the endpoint writes
// its entry again.
type doubts struct {
	entries map[string]doubt
	until   time.Time
}

// doubt is an entry as the copy has it.
type doubt struct {
	listed catalog.Revision
	// gone is true when the endpoint had left, else it was leaving.
	gone bool
}

// restored takes in that the store came back from a copy, which a list as of a time was read
// from. What the copy lacks is waited for as after any absence of the store.
func (l *List) restored(at time.Time, listed map[string]catalog.Endpoint) {
	l.lapses.until = at.Add(returnTime)
	l.doubts.until = at.Add(doubtTime)
	for _, g := range l.gone {
		e, ok := listed[g.id]
		_, known := l.endpoints[g.id]
		// An entry of a count below the one at which the endpoint was gone is of before then,
		// or its count was given out anew; then the endpoint has to wait.
		if ok && !known && e.ModRevision.Version() < g.changed.Version() {
			l.doubts.entries[g.id] = doubt{listed: e.ModRevision, gone: true}
		}
	}
	for id, k := range l.endpoints {
		e, ok := listed[id]
		if ok && k.endpoint.Draining && !e.Draining && e.ModRevision.Version() < k.endpoint.ModRevision.Version() {
			l.doubts.entries[id] = doubt{listed: e.ModRevision}
		}
	}
	// Doubts of an earlier restoration hold for entries that are still those of a copy.
	for id, d := range l.doubts.entries {
		if e, ok := listed[id]; ok && e.ModRevision.Version() == d.listed.Version() {
			l.doubts.entries[id] = doubt{listed: e.ModRevision, gone: d.gone}
		}
	}
}

// has reports whether an endpoint's entry is doubted. When such an entry goes, it has not
// lapsed: the endpoint was known to leave, or to have left.
func (d *doubts) has(id string) bool {
	_, ok := d.entries[id]
	return ok
}

// rewritten ends the doubt about an entry that is no longer that of the copy.
func (d *doubts) rewritten(e catalog.Endpoint) {
	if old, ok := d.entries[e.ID]; ok && old.listed != e.ModRevision {
		delete(d.entries, e.ID)
	}
}

// apply returns a list without the endpoints that are taken to have left, and with those
// that are taken to be leaving marked so.
func (d *doubts) apply(list []catalog.Endpoint) []catalog.Endpoint {
	if len(d.entries) == 0 {
		return list
	}
	kept := list[:0]
	for _, e := range list {
		doubted, ok := d.entries[e.ID]
		if ok && doubted.gone {
			continue
		}
		e.Draining = e.Draining || ok
		kept = append(kept, e)
	}
	return kept
}

// expire ends all doubts when a list is the store's that is as of long enough after the
// store's return, and reports whether there were any.
func (d *doubts) expire(at time.Time) bool {
	if len(d.entries) == 0 || at.Before(d.until) {
		return false
	}
	clear(d.entries)
	return true
}
