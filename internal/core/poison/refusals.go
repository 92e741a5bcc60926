package poison

import (
	"cmp"
	"slices"
	"time"

	"gradetiller.example/internal/core/gossip"
	"gradetiller.example/internal/core/hash"
)

const (
	// minRefusal is the duration of the first refusal of a subject. It doubles each time,
	// up to maxRefusal.
	minRefusal = 10 * time.Minute
	maxRefusal = 4 * time.Hour
	// maxRefusals bounds the known subjects. Suspects are evicted first, then cleared ones, and of these
	// those that end first, so all nodes evict the same ones.
	maxRefusals = 1024
	// trialTimeout is how long a request may take that is admitted on probation.
	trialTimeout = time.Minute
	// endTimeTolerance is how far apart the end times of one refusal may lie on two
	// nodes, because of the delay of gossip.
	endTimeTolerance = 2 * time.Second
)

// Refusal is a refused or suspected subject as sent between nodes.
type Refusal struct {
	Subject Subject
	// Version orders the states of one subject.
	Version uint64
	// Remaining is how much longer the subject is refused. It is negative while the subject
	// is on probation or suspected. For cleared subjects it is how much longer that state is kept.
	Remaining time.Duration
	// Age is the time since the first crash that counts against the subject.
	Age time.Duration
	// Count is how often the subject was refused.
	Count int
	// Cleared is true if the subject is no longer refused, because it was served or
	// because the crashes that counted against it did not happen.
	Cleared bool
	// Suspected is true if the subject is not refused yet. Nodes that served it tell its owners.
	Suspected bool
	// Companions are subjects that a request must have too to be refused.
	Companions []ID
}

// Validate returns an error if no node sends such a refusal.
func (r Refusal) Validate() error { return validateCompanions(r.Companions) }

// Refusals is the set of refused subjects. It is the same on all nodes except for updates
// in transit. It is not safe for concurrent use.
type Refusals struct {
	byID map[ID]*refusal
	log  *gossip.ChangeLog[ID]
}

type refusal struct {
	version    uint64
	until      time.Time
	firstCrash time.Time
	count      int
	part       bool
	cleared    bool
	suspected  bool
	companions []ID
	// trialUntil is the time until which this node admits no other request on probation.
	trialUntil time.Time
}

// NewRefusals returns an empty set.
func NewRefusals() *Refusals {
	return &Refusals{byID: make(map[ID]*refusal), log: gossip.NewChangeLog[ID]()}
}

// Len returns the number of subjects that are suspected, refused, cleared or on probation.
func (r *Refusals) Len() int { return len(r.byID) }

// refusalPeriod returns the duration of the given refusal of a subject, counted from 1.
func refusalPeriod(count int) time.Duration {
	d := minRefusal
	for ; count > 1 && d < maxRefusal; count-- {
		d = min(2*d, maxRefusal)
	}
	return d
}

// expiresAt returns when all state of the subject expires. Its probation lasts as long as
// its refusal did.
func (f *refusal) expiresAt() time.Time {
	if f.cleared {
		return f.until
	}
	return f.until.Add(refusalPeriod(f.count))
}

// Remaining reports whether a subject is refused, and for how much longer.
func (r *Refusals) Remaining(now time.Time, id ID) (time.Duration, bool) {
	f, ok := r.byID[id]
	if !ok || f.cleared || f.suspected || !now.Before(f.until) {
		return 0, false
	}
	return f.until.Sub(now), true
}

// Companions returns the subjects that a request must have besides a refused one to be refused. Those
// that are cleared no longer matter.
func (r *Refusals) Companions(id ID) []ID {
	f, ok := r.byID[id]
	if !ok {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(f.companions), func(c ID) bool {
		other, ok := r.byID[c]
		return ok && other.cleared
	})
}

// RefusedElsewhere reports whether a part is refused at another service.
func (r *Refusals) RefusedElsewhere(now time.Time, id ID) bool {
	for other, f := range r.byID {
		if other != id && f.part && SamePart(other, id) {
			if _, refused := r.Remaining(now, other); refused {
				return true
			}
		}
	}
	return false
}

// Suspected reports whether a subject is suspected.
func (r *Refusals) Suspected(id ID) bool {
	f, ok := r.byID[id]
	return ok && f.suspected
}

// Contains reports whether the set holds a subject that is not cleared.
func (r *Refusals) Contains(id ID) bool {
	f, ok := r.byID[id]
	return ok && !f.cleared
}

// OnProbation reports whether a subject was refused before and is admitted again, so that
// one more crash suffices to refuse it.
func (r *Refusals) OnProbation(now time.Time, id ID) bool {
	f, ok := r.byID[id]
	return ok && !f.cleared && !f.suspected && !now.Before(f.until) && now.Before(f.expiresAt())
}

// TryTrial admits one request with a subject on probation, and reports whether it did. Another one is
// admitted only if the outcome of the first isn't known after trialTimeout.
func (r *Refusals) TryTrial(now time.Time, id ID) bool {
	f, ok := r.byID[id]
	if !ok || now.Before(f.trialUntil) {
		return false
	}
	f.trialUntil = now.Add(trialTimeout)
	return true
}

// FirstCrash returns when the first crash that counts against a refused subject happened.
func (r *Refusals) FirstCrash(id ID) time.Time {
	if f, ok := r.byID[id]; ok {
		return f.firstCrash
	}
	return time.Time{}
}

// Suspect makes a part known to all nodes whose first crash happened at the given time. It returns false
// if it is known already.
func (r *Refusals) Suspect(now time.Time, id ID, firstCrash time.Time) bool {
	if r.Contains(id) {
		return false
	}
	r.expire(now)
	next := refusal{version: r.nextVersion(id, 1), count: 1, firstCrash: firstCrash, until: now, part: true, suspected: true}
	r.put(id, next)
	return true
}

// nextVersion returns the next version of a part that is odd or even as the given number is. Suspicions have
// odd versions and refusals even ones, so that two nodes that don't know of each other's state never give
// both the same.
func (r *Refusals) nextVersion(id ID, parity uint64) uint64 {
	next := uint64(1)
	if f, ok := r.byID[id]; ok {
		next = f.version + 1
	}
	return next + (next^parity)&1
}

// Refuse refuses a subject whose first crash happened at the given time, of requests that have the given
// companions too. It returns false if the subject is refused already.
func (r *Refusals) Refuse(now time.Time, subject Subject, firstCrash time.Time, companions []ID) bool {
	id := subject.ID
	if _, refused := r.Remaining(now, id); refused {
		return false
	}
	r.expire(now)
	next := refusal{version: 1, count: 1, firstCrash: firstCrash, part: subject.Part, companions: companions}
	if f, ok := r.byID[id]; ok {
		next.version = f.version + 1
		if !f.cleared && !f.suspected {
			next.count = f.count + 1
		}
	}
	if subject.Part {
		next.version = r.nextVersion(id, 0)
	}
	next.until = now.Add(refusalPeriod(next.count))
	r.put(id, next)
	return true
}

// RetainCompanions drops the companions of a refused subject that are not among the given ones, and
// reports whether there were any.
func (r *Refusals) RetainCompanions(now time.Time, id ID, companions []ID) bool {
	f, ok := r.byID[id]
	if _, refused := r.Remaining(now, id); !ok || !refused {
		return false
	}
	next := *f
	next.companions = slices.DeleteFunc(slices.Clone(f.companions), func(c ID) bool { return !slices.Contains(companions, c) })
	if len(next.companions) == len(f.companions) {
		return false
	}
	next.version = r.nextVersion(id, 0)
	r.put(id, next)
	return true
}

// Clear ends a suspicion, a refusal and the probation after it, and reports whether there was one.
func (r *Refusals) Clear(now time.Time, id ID) bool {
	f, ok := r.byID[id]
	if !ok || f.cleared {
		return false
	}
	r.put(id, refusal{version: f.version + 1, until: now.Add(minRefusal), part: f.part, cleared: true})
	return true
}

func (r *Refusals) put(id ID, f refusal) {
	r.log.MarkChanged(id)
	r.byID[id] = &f
	if len(r.byID) <= maxRefusals {
		return
	}
	first := id
	for other, f := range r.byID {
		if f.evictedBefore(r.byID[first], compareIDs(other, first)) {
			first = other
		}
	}
	r.drop(first)
}

// evictedBefore reports whether a subject is evicted before another one. order is that of their IDs.
func (f *refusal) evictedBefore(other *refusal, order int) bool {
	return cmp.Or(cmp.Compare(f.rank(), other.rank()), f.until.Compare(other.until), order) < 0
}

// rank orders subjects by how much depends on remembering them.
func (f *refusal) rank() int {
	switch {
	case f.suspected:
		return 0
	case f.cleared:
		return 1
	}
	return 2
}

func compareIDs(a, b ID) int { return slices.Compare(a[:], b[:]) }

func (r *Refusals) drop(id ID) {
	delete(r.byID, id)
	r.log.Remove(id)
}

// expire drops expired subjects.
func (r *Refusals) expire(now time.Time) {
	for id, f := range r.byID {
		if !now.Before(f.expiresAt()) {
			r.drop(id)
		}
	}
}

// Merge applies refusals from another node, and returns the subjects that are newly
// refused or suspected. Expired ones are ignored, so that two nodes do not keep them alive by
// sending them to each other.
func (r *Refusals) Merge(now time.Time, received []Refusal) (refused, suspected []Subject) {
	for _, t := range received {
		id := t.Subject.ID
		next := refusal{
			version: t.Version, until: now.Add(min(t.Remaining, maxRefusal)), firstCrash: now.Add(-t.Age), count: max(t.Count, 1),
			part: t.Subject.Part, cleared: t.Cleared, suspected: t.Suspected, companions: t.Companions,
		}
		if !now.Before(next.expiresAt()) {
			continue
		}
		f, known := r.byID[id]
		if known && !next.newer(f) {
			continue
		}
		_, before := r.Remaining(now, id)
		r.put(id, next)
		switch _, isRefused := r.Remaining(now, id); {
		case isRefused && !before:
			refused = append(refused, t.Subject)
		case next.suspected && !(known && f.suspected):
			suspected = append(suspected, t.Subject)
		}
	}
	return refused, suspected
}

// newer reports whether a refusal replaces another one of the same subject. If both have
// the same version a cleared subject wins, then a refused one over a suspected one, then the
// one that applies to more requests, and otherwise the one that lasts longer.
func (f *refusal) newer(old *refusal) bool {
	switch {
	case f.version != old.version:
		return f.version > old.version
	case f.cleared != old.cleared:
		return f.cleared
	case f.suspected != old.suspected:
		return old.suspected
	case len(f.companions) != len(old.companions):
		return len(f.companions) < len(old.companions)
	}
	return f.until.After(old.until.Add(endTimeTolerance))
}

// companionsShift places the number of companions above the version in the checksum of a refusal.
const companionsShift = 48

// Checksum returns a checksum that is the same on nodes with the same refusals. Nodes
// compare it with each heartbeat.
func (r *Refusals) Checksum(now time.Time) uint64 {
	if len(r.byID) == 0 {
		return 0
	}
	r.expire(now)
	sum := uint64(0)
	for id, f := range r.byID {
		part := f.version << 1
		if f.cleared {
			part |= 1
		}
		part ^= uint64(len(f.companions)) << companionsShift
		sum ^= hash.Pair(id.Key(), hash.Mix(part))
	}
	return sum
}

// NextUpdates returns up to limit refusals that were not sent to a peer yet, the oldest
// first, and marks them as sent.
func (r *Refusals) NextUpdates(now time.Time, to string, limit int) []Refusal {
	ids := r.log.NextUpdates(to, limit)
	list := make([]Refusal, len(ids))
	for i, id := range ids {
		f := r.byID[id]
		list[i] = Refusal{
			Subject: Subject{ID: id, Part: f.part}, Version: f.version, Remaining: f.until.Sub(now), Age: now.Sub(f.firstCrash), Count: f.count,
			Cleared: f.cleared, Suspected: f.suspected, Companions: f.companions,
		}
	}
	return list
}

// NeedsUpdate compares the checksum of a peer, and reports whether there is anything to
// send to it.
func (r *Refusals) NeedsUpdate(now time.Time, from string, sum uint64) bool {
	return sum != r.Checksum(now) && r.log.HandleMismatch(now, from)
}

// ForgetPeers drops the state of peers that are gone.
func (r *Refusals) ForgetPeers(gone func(peer string) bool) { r.log.ForgetPeers(gone) }
