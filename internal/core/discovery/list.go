package discovery

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strconv"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
)

// mostGone bounds the endpoints that are remembered as gone. A node whose
// revision lies before the oldest of them gets the whole list.
const mostGone = 512

// List is the endpoints as of a revision, and those whose entries lapsed. It is not
// safe for concurrent use.
type List struct {
	revision  catalog.Revision
	endpoints map[string]known
	gone      []departed
	// floor is the revision from which on all departures are remembered.
	floor catalog.Revision
	// digest is the sum of the endpoints' hashes.
	digest uint64
	// differs tells that the list is not that of the node asked last, so that a whole
	// one is asked for next. The revision still tells which of them are older.
	differs bool
	// current is as of when the list was last known to be the store's.
	current   time.Time
	heartbeat time.Duration
	lapses    lapses
	doubts    doubts
}

// ListOption changes a new list.
type ListOption func(*List)

// WithHeartbeat sets how often endpoints confirm their entries; 0 changes nothing.
func WithHeartbeat(d time.Duration) ListOption {
	return func(l *List) { l.heartbeat = cmp.Or(d, l.heartbeat) }
}

type known struct {
	endpoint catalog.Endpoint
	changed  catalog.Revision
	cold     Coldness
}

// Coldness is from when to when an endpoint is taken to be cold.
type Coldness struct{ Since, Until time.Time }

type departed struct {
	id      string
	changed catalog.Revision
}

// Delta is what changed above a revision.
type Delta struct {
	// Revision is up to which the receiver then holds all changes.
	Revision catalog.Revision
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
func NewList(options ...ListOption) *List {
	l := &List{
		endpoints: make(map[string]known), heartbeat: DefaultHeartbeat,
		lapses: lapses{endpoints: make(map[string]catalog.Endpoint)},
		doubts: doubts{entries: make(map[string]doubt)},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Revision returns up to which revision of the store all changes are in, or 0 when the
// whole list is wanted.
func (l *List) Revision() catalog.Revision {
	if l.differs {
		return 0
	}
	return l.revision
}

// Current returns as of when the list was last known to be the store's.
func (l *List) Current() time.Time { return l.current }

// Endpoints returns the endpoints to use by id: those listed, and those whose entries
// lapsed.
func (l *List) Endpoints() []catalog.Endpoint {
	list := l.doubts.apply(l.listed())
	for _, e := range l.lapses.endpoints {
		list = append(list, e)
	}
	sortByID(list)
	return list
}

// listed returns what the store lists.
func (l *List) listed() []catalog.Endpoint {
	list := make([]catalog.Endpoint, 0, len(l.endpoints)+len(l.lapses.endpoints))
	for _, k := range l.endpoints {
		list = append(list, k.endpoint)
	}
	return list
}

func sortByID(list []catalog.Endpoint) {
	slices.SortFunc(list, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Read takes the store's whole list as of a revision in, as read at a time, and
// reports whether anything but the revision changed. An older list than the
// present one is ignored.
func (l *List) Read(at time.Time, endpoints []catalog.Endpoint, revision catalog.Revision) bool {
	if revision < l.revision || revision == 0 {
		return false
	}
	return l.replace(at, maps.Collect(byID(endpoints)), revision)
}

// byID yields endpoints with their ids.
func byID(endpoints []catalog.Endpoint) iter.Seq2[string, catalog.Endpoint] {
	return func(yield func(string, catalog.Endpoint) bool) {
		for _, e := range endpoints {
			if !yield(e.ID, e) {
				return
			}
		}
	}
}

// replace puts a whole list, as of a time, in the place of the present one.
func (l *List) replace(at time.Time, listed map[string]catalog.Endpoint, revision catalog.Revision) bool {
	restored := revision.Era() > l.revision.Era()
	if l.revision == 0 || restored {
		l.floor = revision
	}
	if restored && l.revision != 0 {
		l.restored(at, listed)
	}
	l.begin(at, func() map[string]catalog.Endpoint { return listed })
	l.revision, l.differs = revision, false
	changed := false
	for _, e := range listed {
		changed = l.put(at, e) || changed
	}
	for id := range l.endpoints {
		if _, ok := listed[id]; !ok {
			l.remove(at, id)
			changed = true
		}
	}
	return l.settle(at) || changed
}

// settle drops what was held in doubt for long enough, and reports whether there was any.
func (l *List) settle(at time.Time) bool {
	lapsed := l.lapses.expire(at)
	return l.doubts.expire(at) || lapsed
}

// begin notes what the list as of a time tells of the store.
func (l *List) begin(at time.Time, listed func() map[string]catalog.Endpoint) {
	if l.lapsedSince(at, listed) {
		l.lapses.until = at.Add(returnTime)
	}
	l.advance(at)
}

func (l *List) advance(at time.Time) {
	if at.After(l.current) {
		l.current = at
	}
}

// put takes an entry in, as of a time, and reports whether it changed.
func (l *List) put(at time.Time, e catalog.Endpoint) bool {
	delete(l.lapses.endpoints, e.ID)
	l.doubts.rewritten(e)
	old, ok := l.endpoints[e.ID]
	if ok && old.endpoint == e {
		return false
	}
	if ok {
		l.digest -= digestOf(old.endpoint)
	}
	l.digest += digestOf(e)
	l.endpoints[e.ID] = known{endpoint: e, changed: l.revision, cold: old.coldAfter(at, e)}
	return true
}

// coldAfter is the coldness of an endpoint whose entry is as given at a time. Its entry may
// be older than that, so the time is counted rather too long.
func (k known) coldAfter(at time.Time, e catalog.Endpoint) Coldness {
	switch {
	case e.ColdRemaining <= 0:
		return Coldness{}
	case at.After(k.cold.Until):
		return Coldness{Since: at, Until: at.Add(e.ColdRemaining)}
	}
	return Coldness{Since: k.cold.Since, Until: at.Add(e.ColdRemaining)}
}

// Cold returns the endpoints that are taken to be cold, by id.
func (l *List) Cold() map[string]Coldness {
	cold := make(map[string]Coldness)
	for id, k := range l.endpoints {
		if k.cold.Until.After(l.current) {
			cold[id] = k.cold
		}
	}
	return cold
}

func digestOf(e catalog.Endpoint) uint64 {
	text := e.ID + " " + e.Service + " " + e.Address + " " + e.Domain + " " + strconv.Itoa(e.Slots) + " " + strconv.FormatBool(e.Draining)
	return hash.Of(text)
}

func (l *List) remove(at time.Time, id string) {
	e := l.endpoints[id].endpoint
	if !l.doubts.has(id) {
		l.lapses.keep(at, e)
	}
	l.digest -= digestOf(e)
	delete(l.endpoints, id)
	l.gone = append(l.gone, departed{id: id, changed: l.revision})
	if len(l.gone) > mostGone {
		l.floor = l.gone[0].changed
		l.gone = slices.Delete(l.gone, 0, 1)
	}
}

// Above returns what changed above a revision, or an empty answer from a list that is
// known to differ from the store's.
func (l *List) Above(revision catalog.Revision) Delta {
	if l.differs {
		return Delta{}
	}
	d := Delta{Revision: l.revision, Digest: l.digest}
	if revision < l.floor || revision == 0 {
		d.Whole = true
		d.Changed = l.listed()
		sortByID(d.Changed)
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

// Apply takes another node's answer in, whose list was the store's as of a time, and
// reports whether anything but the revision changed. An answer that is behind is
// ignored, whatever was asked for: a list never goes back. One that is not ahead still
// renews the list. When the lists differ all the same, the whole one is asked for next.
func (l *List) Apply(at time.Time, d Delta) bool {
	switch {
	case d.Revision == 0 || d.Revision < l.revision:
		return false
	case d.Whole:
		return l.replace(at, maps.Collect(byID(d.Changed)), d.Revision)
	case d.Revision == l.revision:
		l.differs = l.digest != d.Digest
		if l.differs {
			return false
		}
		l.advance(at)
		return l.settle(at)
	}
	return l.change(at, d)
}

// change takes in what changed above the present revision.
func (l *List) change(at time.Time, d Delta) bool {
	l.begin(at, func() map[string]catalog.Endpoint { return l.listedAfter(d) })
	l.revision = d.Revision
	changed := false
	for _, e := range d.Changed {
		changed = l.put(at, e) || changed
	}
	for _, id := range d.Gone {
		if _, ok := l.endpoints[id]; ok {
			l.remove(at, id)
			changed = true
		}
	}
	l.differs = l.digest != d.Digest
	return l.settle(at) || changed
}
