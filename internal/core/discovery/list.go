package discovery

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
)

// mostGone bounds the endpoints that are remembered as gone. A node whose
// revision lies before the oldest of them gets the whole list.
const mostGone = 512

// List is the endpoints as of a revision. It is not safe for concurrent use.
type List struct {
	revision  uint64
	endpoints map[string]known
	gone      []departed
	// floor is the revision from which on all departures are remembered.
	floor uint64
	// digest is the sum of the endpoints' hashes.
	digest uint64
	// current is when the list was last known to be the store's, and keepUntil
	// until when endpoints that a read lacks are kept.
	current   time.Time
	keepUntil time.Time
	// kept counts the endpoints that the last whole list lacked and that were kept.
	kept int
}

const (
	// storeAway is the time without a current list from which on the store is
	// taken to have been away.
	storeAway = 1500 * time.Millisecond
	// returnTime is how long endpoints take to list themselves again after the
	// store's return; their entries may have lapsed meanwhile.
	returnTime = 2200 * time.Millisecond
)

type known struct {
	endpoint catalog.Endpoint
	changed  uint64
}

type departed struct {
	id      string
	changed uint64
}

// Delta is what changed above a revision.
type Delta struct {
	// Revision is up to which the receiver then holds all changes.
	Revision uint64
	// Whole is true when Changed is the whole list.
	Whole   bool
	Changed []catalog.Endpoint
	Gone    []string
	// Digest is the sender's whole list in one number. An endpoint that came
	// and went between two reads of the sender is in no delta; the digest then
	// differs, and the receiver asks for the whole list.
	Digest uint64
}

// NewList returns an empty list of revision 0.
func NewList() *List { return &List{endpoints: make(map[string]known)} }

// Revision returns up to which revision of the store all changes are in.
func (l *List) Revision() uint64 { return l.revision }

// Kept returns how many endpoints are listed only because the store is taken to have
// been away.
func (l *List) Kept() int { return l.kept }

// Current returns when the list was last known to be the store's.
func (l *List) Current() time.Time { return l.current }

// Endpoints returns the list by id.
func (l *List) Endpoints() []catalog.Endpoint {
	list := make([]catalog.Endpoint, 0, len(l.endpoints))
	for _, k := range l.endpoints {
		list = append(list, k.endpoint)
	}
	sortByID(list)
	return list
}

func sortByID(list []catalog.Endpoint) {
	slices.SortFunc(list, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Read takes the store's whole list as of a revision in, as read at a time, and
// reports whether anything but the revision changed. An older list than the
// present one is ignored. After the store was away, endpoints that the list
// lacks are kept for returnTime: those that live and reach the store are listed
// again by then.
func (l *List) Read(at time.Time, endpoints []catalog.Endpoint, revision uint64) bool {
	if revision < l.revision || revision == 0 {
		return false
	}
	if !l.current.IsZero() && at.Sub(l.current) > storeAway {
		l.keepUntil = at.Add(returnTime)
	}
	l.advance(at)
	return l.replace(endpoints, revision, at.Before(l.keepUntil))
}

func (l *List) advance(at time.Time) {
	if at.After(l.current) {
		l.current = at
	}
}

// replace puts a whole list in the place of the present one; endpoints that it
// lacks stay if keep is true.
func (l *List) replace(endpoints []catalog.Endpoint, revision uint64, keep bool) bool {
	if l.revision == 0 {
		l.floor = revision
	}
	l.revision = revision
	changed := false
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		changed = l.put(e) || changed
	}
	l.kept = 0
	for id := range l.endpoints {
		switch {
		case listed[id]:
		case keep:
			l.kept++
		default:
			l.remove(id)
			changed = true
		}
	}
	return changed
}

func (l *List) put(e catalog.Endpoint) bool {
	old, ok := l.endpoints[e.ID]
	if ok && old.endpoint == e {
		return false
	}
	if ok {
		l.digest -= digestOf(old.endpoint)
	}
	l.digest += digestOf(e)
	l.endpoints[e.ID] = known{endpoint: e, changed: l.revision}
	return true
}

func digestOf(e catalog.Endpoint) uint64 {
	text := e.ID + " " + e.Service + " " + e.Address + " " + e.Domain + " " + strconv.Itoa(e.Slots) + " " + strconv.FormatBool(e.Draining)
	return hash.Of(text)
}

func (l *List) remove(id string) {
	l.digest -= digestOf(l.endpoints[id].endpoint)
	delete(l.endpoints, id)
	l.gone = append(l.gone, departed{id: id, changed: l.revision})
	if len(l.gone) > mostGone {
		l.floor = l.gone[0].changed
		l.gone = slices.Delete(l.gone, 0, 1)
	}
}

// Above returns what changed above a revision.
func (l *List) Above(revision uint64) Delta {
	d := Delta{Revision: l.revision, Digest: l.digest}
	if revision < l.floor || revision == 0 {
		d.Whole = true
		d.Changed = l.Endpoints()
		return d
	}
	for _, k := range l.endpoints {
		if k.changed > revision {
			d.Changed = append(d.Changed, k.endpoint)
		}
	}
	sortByID(d.Changed)
	for _, g := range l.gone {
		if _, back := l.endpoints[g.id]; g.changed > revision && !back {
			d.Gone = append(d.Gone, g.id)
		}
	}
	return d
}

// Apply takes another node's answer in, whose list was current at a time, and
// reports whether anything but the revision changed. An answer that is not ahead is ignored. When the lists
// differ all the same, the revision becomes 0, so that the whole list is asked
// for next.
func (l *List) Apply(at time.Time, d Delta) bool {
	if d.Whole {
		if d.Revision < l.revision || d.Revision == 0 {
			return false
		}
		l.advance(at)
		return l.replace(d.Changed, d.Revision, false)
	}
	if d.Revision <= l.revision {
		return false
	}
	l.advance(at)
	l.revision = d.Revision
	changed := false
	for _, e := range d.Changed {
		changed = l.put(e) || changed
	}
	for _, id := range d.Gone {
		if _, ok := l.endpoints[id]; ok {
			l.remove(id)
			changed = true
		}
	}
	if l.digest != d.Digest {
		l.revision = 0
	}
	return changed
}
