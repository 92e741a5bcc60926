package discovery

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
)

// maxRemoved bounds the remembered removals. A node whose revision precedes the oldest of
// them gets the full list.
const maxRemoved = 512

// maxRecent bounds the changes that are kept in order. A delta that reaches further back scans the
// whole list.
const maxRecent = 2048

// List holds the endpoints as of a store revision, and those whose entries lapsed. It is
// not safe for concurrent use.
type List struct {
	revision  catalog.Revision
	endpoints map[string]knownEndpoint
	// recent lists the latest changes in order. It holds all changes above recentFloor.
	recent      []changedEndpoint
	recentFloor catalog.Revision
	removed     []changedEndpoint
	// deltaFloor is the revision since which all removals are remembered.
	deltaFloor catalog.Revision
	// digest is the sum of the hashes of all endpoints.
	digest uint64
	// diverged is true if the list differs from that of the node polled last, so that the
	// full list is requested next. The revision still orders the lists by age.
	diverged bool
	// asOf is the latest time as of which the list is known to match the store.
	asOf      time.Time
	heartbeat time.Duration
	lapsed    lapsedEntries
	outdated  outdatedEntries
	// cold holds the cold periods of endpoints.
	cold map[string]ColdPeriod
	// inUse are the endpoints in use but for those in stale, which have changed since.
	inUse catalog.Endpoints
	stale map[string]struct{}
	// names interns strings that many endpoints share.
	names map[string]string
}

// ListOption configures a new List.
type ListOption func(*List)

// WithHeartbeat sets the interval at which endpoints confirm their entries. A value of 0
// leaves the default.
func WithHeartbeat(d time.Duration) ListOption {
	return func(l *List) { l.heartbeat = cmp.Or(d, l.heartbeat) }
}

type knownEndpoint struct {
	endpoint *catalog.Endpoint
	changed  catalog.Revision
}

// ColdPeriod is the period in which an endpoint is considered cold.
type ColdPeriod struct{ Since, Until time.Time }

type changedEndpoint struct {
	id      string
	changed catalog.Revision
}

// Delta holds the changes since a revision.
type Delta struct {
	// Revision is the revision of the receiver's list after the delta is applied.
	Revision catalog.Revision
	// Full is true if Changed is the full list.
	Full    bool
	Changed []catalog.Endpoint
	Removed []string
	// Digest is the digest of the sender's full list. An endpoint that was added and
	// removed between two reads of the sender is in no delta. The digests differ then, and
	// the receiver requests the full list.
	Digest uint64
}

// NewList returns an empty list at revision 0.
func NewList(options ...ListOption) *List {
	l := &List{
		endpoints: make(map[string]knownEndpoint), heartbeat: DefaultHeartbeat,
		cold: make(map[string]ColdPeriod), stale: make(map[string]struct{}), names: make(map[string]string),
		lapsed:   lapsedEntries{endpoints: make(map[string]*catalog.Endpoint)},
		outdated: outdatedEntries{entries: make(map[string]outdatedEntry)},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Revision returns the store revision up to which all changes are included, or 0 if the
// full list is needed.
func (l *List) Revision() catalog.Revision {
	if l.diverged {
		return 0
	}
	return l.revision
}

// AsOf returns the latest time as of which the list is known to match the store.
func (l *List) AsOf() time.Time { return l.asOf }

// InUse returns the endpoints in use: the listed ones and those whose entries lapsed.
func (l *List) InUse() catalog.Endpoints {
	var set []*catalog.Endpoint
	var removed []string
	for id := range l.stale {
		if e := l.effective(id); e != nil {
			set = append(set, e)
		} else {
			removed = append(removed, id)
		}
	}
	l.inUse = l.inUse.With(set, removed)
	if len(l.stale) > maxRecent {
		// Clearing the map would keep its memory.
		l.stale = make(map[string]struct{})
	}
	clear(l.stale)
	return l.inUse
}

// effective returns an endpoint as it is used, or nil if it is not.
func (l *List) effective(id string) *catalog.Endpoint {
	if k, ok := l.endpoints[id]; ok {
		return l.outdated.apply(k.endpoint)
	}
	return l.lapsed.endpoints[id]
}

// touch marks an endpoint whose use may have changed.
func (l *List) touch(id string) { l.stale[id] = struct{}{} }

// listed returns the endpoints that the store lists, sorted by id.
func (l *List) listed() []catalog.Endpoint {
	list := make([]catalog.Endpoint, 0, len(l.endpoints))
	for _, k := range l.endpoints {
		list = append(list, *k.endpoint)
	}
	sortByID(list)
	return list
}

func sortByID(list []catalog.Endpoint) {
	slices.SortFunc(list, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// intern returns the endpoint with the strings that it shares with others.
func (l *List) intern(e catalog.Endpoint) *catalog.Endpoint {
	for _, field := range []*string{&e.Service, &e.Domain, &e.Version} {
		known, ok := l.names[*field]
		if !ok {
			if len(l.names) >= maxNames {
				clear(l.names)
			}
			known = strings.Clone(*field)
			l.names[known] = known
		}
		*field = known
	}
	return &e
}

// maxNames bounds the interned strings.
const maxNames = 4096

// ApplySnapshot replaces the list by the store's full list as of a revision, as read at a
// time, and reports whether anything but the revision changed. A list older than the
// present one is ignored.
func (l *List) ApplySnapshot(at time.Time, endpoints []catalog.Endpoint, revision catalog.Revision) bool {
	if revision < l.revision || revision == 0 {
		return false
	}
	return l.replace(at, byID(endpoints), revision)
}

// byID returns endpoints keyed by id.
func byID(endpoints []catalog.Endpoint) map[string]*catalog.Endpoint {
	m := make(map[string]*catalog.Endpoint, len(endpoints))
	for i := range endpoints {
		m[endpoints[i].ID] = &endpoints[i]
	}
	return m
}

// replace replaces the present list by a full one as of a time.
func (l *List) replace(at time.Time, listed map[string]*catalog.Endpoint, revision catalog.Revision) bool {
	restored := revision.Era() > l.revision.Era()
	if l.revision == 0 || restored {
		l.deltaFloor, l.recentFloor, l.recent = revision, revision, nil
	}
	if restored && l.revision != 0 {
		l.handleRestore(at, listed)
	}
	l.observe(at, func() map[string]*catalog.Endpoint { return listed })
	l.revision, l.diverged = revision, false
	if len(l.endpoints) == 0 {
		l.endpoints = make(map[string]knownEndpoint, len(listed))
	}
	changed := false
	for _, e := range listed {
		changed = l.upsert(at, e) || changed
	}
	for id := range l.endpoints {
		if _, ok := listed[id]; !ok {
			l.remove(at, id)
			changed = true
		}
	}
	return l.expire(at) || changed
}

// expire drops lapsed and outdated entries whose period has ended, and reports whether
// there were any.
func (l *List) expire(at time.Time) bool {
	lapsed := l.lapsed.expire(at, l.touch)
	return l.outdated.expire(at, l.touch) || lapsed
}

// observe detects a store outage from a new list as of a time, and advances the list's
// time.
func (l *List) observe(at time.Time, listed func() map[string]*catalog.Endpoint) {
	if l.entriesLapsed(at, listed) {
		l.lapsed.until = at.Add(reregisterPeriod)
	}
	l.advance(at)
}

func (l *List) advance(at time.Time) {
	if at.After(l.asOf) {
		l.asOf = at
	}
}

// upsert adds or updates an entry as of a time, and reports whether it changed.
func (l *List) upsert(at time.Time, e *catalog.Endpoint) bool {
	if _, ok := l.lapsed.endpoints[e.ID]; ok {
		delete(l.lapsed.endpoints, e.ID)
		l.touch(e.ID)
	}
	if l.outdated.dropRewritten(e) {
		l.touch(e.ID)
	}
	old, ok := l.endpoints[e.ID]
	if ok && *old.endpoint == *e {
		return false
	}
	if ok {
		l.digest -= digestOf(old.endpoint)
	}
	l.digest += digestOf(e)
	l.updateCold(at, e)
	e = l.intern(*e)
	l.endpoints[e.ID] = knownEndpoint{endpoint: e, changed: l.revision}
	l.touch(e.ID)
	l.recordRecent(e.ID)
	return true
}

// recordRecent records that an endpoint changed at the present revision. No delta begins before the
// first list.
func (l *List) recordRecent(id string) {
	if l.revision == l.recentFloor {
		return
	}
	if len(l.recent) >= maxRecent {
		half := len(l.recent) / 2
		l.recentFloor = l.recent[half-1].changed
		l.recent = slices.Delete(l.recent, 0, half)
	}
	l.recent = append(l.recent, changedEndpoint{id: id, changed: l.revision})
}

// updateCold updates the cold period of an endpoint after its entry is seen at a time.
func (l *List) updateCold(at time.Time, e *catalog.Endpoint) {
	if e.ColdRemaining <= 0 {
		delete(l.cold, e.ID)
		return
	}
	l.cold[e.ID] = l.cold[e.ID].next(at, e.ColdRemaining)
}

// next returns the cold period of an endpoint after an entry with a remaining cold time is seen. The
// entry may have been written earlier, in which case the period is overestimated.
func (p ColdPeriod) next(at time.Time, remaining time.Duration) ColdPeriod {
	if at.After(p.Until) {
		return ColdPeriod{Since: at, Until: at.Add(remaining)}
	}
	return ColdPeriod{Since: p.Since, Until: at.Add(remaining)}
}

// Cold returns the cold periods of all cold endpoints, by id.
func (l *List) Cold() map[string]ColdPeriod {
	cold := make(map[string]ColdPeriod)
	for id, p := range l.cold {
		if p.Until.After(l.asOf) {
			cold[id] = p
		}
	}
	return cold
}

func digestOf(e *catalog.Endpoint) uint64 {
	var buffer [256]byte
	text := buffer[:0]
	for _, field := range []string{e.ID, e.Service, e.Address, e.Domain} {
		text = append(append(text, field...), ' ')
	}
	text = append(strconv.AppendInt(text, int64(e.Slots), 10), ' ')
	return hash.OfBytes(strconv.AppendBool(text, e.Draining))
}

func (l *List) remove(at time.Time, id string) {
	e := l.endpoints[id].endpoint
	if !l.outdated.contains(id) {
		l.lapsed.add(at, e)
	}
	l.digest -= digestOf(e)
	delete(l.endpoints, id)
	delete(l.cold, id)
	l.touch(id)
	l.removed = append(l.removed, changedEndpoint{id: id, changed: l.revision})
	if len(l.removed) > maxRemoved {
		l.deltaFloor = l.removed[0].changed
		l.removed = slices.Delete(l.removed, 0, 1)
	}
}

// NeedsFull reports whether a list at the given revision can be brought up to date only by the full
// list.
func (l *List) NeedsFull(revision catalog.Revision) bool {
	return revision < l.deltaFloor || revision == 0
}

// Version returns the present revision and the digest of all endpoints, and false if this list is
// known to differ from the store's.
func (l *List) Version() (revision catalog.Revision, digest uint64, ok bool) {
	return l.revision, l.digest, !l.diverged
}

// ChangesSince returns the changes since a revision, or an empty Delta if this list is
// known to differ from the store's.
func (l *List) ChangesSince(revision catalog.Revision) Delta {
	if l.diverged {
		return Delta{}
	}
	d := Delta{Revision: l.revision, Digest: l.digest}
	if l.NeedsFull(revision) {
		d.Full = true
		d.Changed = l.listed()
		return d
	}
	d.Changed = l.changedSince(revision)
	for _, g := range l.removed {
		if _, back := l.endpoints[g.id]; g.changed > revision && !back {
			d.Removed = append(d.Removed, g.id)
		}
	}
	return d
}

// changedSince returns the listed endpoints that changed after a revision, sorted by id.
func (l *List) changedSince(revision catalog.Revision) []catalog.Endpoint {
	var list []catalog.Endpoint
	if revision < l.recentFloor {
		for _, k := range l.endpoints {
			if k.changed > revision {
				list = append(list, *k.endpoint)
			}
		}
		sortByID(list)
		return list
	}
	added := make(map[string]bool)
	for i := len(l.recent) - 1; i >= 0 && l.recent[i].changed > revision; i-- {
		id := l.recent[i].id
		if k, ok := l.endpoints[id]; ok && !added[id] {
			added[id] = true
			list = append(list, *k.endpoint)
		}
	}
	sortByID(list)
	return list
}

// ApplyChanges applies the changes since the present revision as read from the store at a time,
// and reports whether anything but the revision changed. Changes up to an older revision are
// ignored.
func (l *List) ApplyChanges(at time.Time, changed []catalog.Endpoint, removed []string, revision catalog.Revision) bool {
	if revision < l.revision || revision.Era() != l.revision.Era() {
		return false
	}
	known := l.diverged
	c := l.applyChanges(at, Delta{Revision: revision, Changed: changed, Removed: removed})
	l.diverged = known
	return c
}

// ApplyDelta applies another node's answer, whose list matched the store as of a time, and
// reports whether anything but the revision changed. An answer with an older revision is
// ignored, so that a list never moves back. One with the same revision still advances the
// list's time. If the lists differ nevertheless, the full list is requested next.
func (l *List) ApplyDelta(at time.Time, d Delta) bool {
	switch {
	case d.Revision == 0 || d.Revision < l.revision:
		return false
	case d.Full:
		return l.replace(at, byID(d.Changed), d.Revision)
	case d.Revision == l.revision:
		l.diverged = l.digest != d.Digest
		if l.diverged {
			return false
		}
		l.advance(at)
		return l.expire(at)
	}
	return l.applyChanges(at, d)
}

// applyChanges applies the changes since the present revision.
func (l *List) applyChanges(at time.Time, d Delta) bool {
	l.observe(at, func() map[string]*catalog.Endpoint { return l.listedAfterDelta(d) })
	l.revision = d.Revision
	changed := false
	for i := range d.Changed {
		changed = l.upsert(at, &d.Changed[i]) || changed
	}
	for _, id := range d.Removed {
		if _, ok := l.endpoints[id]; ok {
			l.remove(at, id)
			changed = true
		}
	}
	l.diverged = l.digest != d.Digest
	return l.expire(at) || changed
}
