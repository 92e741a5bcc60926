package poison

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/gossip"
	"gradetiller.example/internal/core/hash"
)

const (
	// firstRefusal is how long a request is refused at first, longestRefusal at most. In
	// between it is twice as long each time.
	firstRefusal   = 10 * time.Minute
	longestRefusal = 4 * time.Hour
	// mostRefusals bounds the refused requests. Those that end first make room: all nodes
	// choose the same ones.
	mostRefusals = 1024
	// sameMoment is how far the ends of one refusal may lie apart on two nodes, by the
	// time that the news takes between them.
	sameMoment = 2 * time.Second
)

// Refusal is a refused request as nodes tell each other.
type Refusal struct {
	Request ID
	// Version orders what is said of one request.
	Version uint64
	// Left is how long it is refused still. It is negative while the request is on
	// probation, and for Pardoned requests how long that is remembered.
	Left time.Duration
	// Age is how long ago the first end was that counts against it.
	Age time.Duration
	// Times counts how often the request was refused.
	Times int
	// Pardoned requests are not refused: they were served, or the ends that counted
	// against them were none.
	Pardoned bool
}

// Refusals are the requests that are refused. They are the same on all nodes, but for what
// is on its way. Not safe for concurrent use.
type Refusals struct {
	byID map[ID]*refusal
	log  *gossip.ChangeLog[ID]
}

type refusal struct {
	version  uint64
	until    time.Time
	since    time.Time
	times    int
	pardoned bool
}

// NewRefusals returns an empty set.
func NewRefusals() *Refusals {
	return &Refusals{byID: make(map[ID]*refusal), log: gossip.NewChangeLog[ID]()}
}

// Len returns the number of refused, pardoned and probationary requests.
func (r *Refusals) Len() int { return len(r.byID) }

// refusedFor is how long the n-th refusal lasts.
func refusedFor(times int) time.Duration {
	d := firstRefusal
	for range times - 1 {
		d = min(2*d, longestRefusal)
	}
	return d
}

// forgotten is when nothing is known of the request any more: its probation lasts as long
// as its refusal did.
func (f *refusal) forgotten() time.Time {
	if f.pardoned {
		return f.until
	}
	return f.until.Add(refusedFor(f.times))
}

// Left reports whether a request is refused, and for how long still.
func (r *Refusals) Left(now time.Time, id ID) (time.Duration, bool) {
	f, ok := r.byID[id]
	if !ok || f.pardoned || !now.Before(f.until) {
		return 0, false
	}
	return f.until.Sub(now), true
}

// Knows reports whether anything is known of a request that is not pardoned.
func (r *Refusals) Knows(id ID) bool {
	f, ok := r.byID[id]
	return ok && !f.pardoned
}

// OnProbation reports whether a request was refused before and is let in again, so that
// one more end is enough.
func (r *Refusals) OnProbation(now time.Time, id ID) bool {
	f, ok := r.byID[id]
	return ok && !f.pardoned && !now.Before(f.until) && now.Before(f.forgotten())
}

// Since returns when the first end was that counts against a refused request.
func (r *Refusals) Since(id ID) time.Time {
	if f, ok := r.byID[id]; ok {
		return f.since
	}
	return time.Time{}
}

// Refuse refuses a request for its time, under which a first endpoint ended at a moment. It
// reports false when it is refused already.
func (r *Refusals) Refuse(now time.Time, id ID, since time.Time) bool {
	if _, refused := r.Left(now, id); refused {
		return false
	}
	r.forget(now)
	next := refusal{version: 1, times: 1, since: since}
	if f, ok := r.byID[id]; ok {
		next.version = f.version + 1
		if !f.pardoned {
			next.times = f.times + 1
		}
	}
	next.until = now.Add(refusedFor(next.times))
	r.put(id, next)
	return true
}

// Pardon ends a refusal, and the probation after it. It reports whether there was one.
func (r *Refusals) Pardon(now time.Time, id ID) bool {
	f, ok := r.byID[id]
	if !ok || f.pardoned {
		return false
	}
	r.put(id, refusal{version: f.version + 1, until: now.Add(firstRefusal), pardoned: true})
	return true
}

func (r *Refusals) put(id ID, f refusal) {
	r.log.MarkChanged(id)
	r.byID[id] = &f
	if len(r.byID) <= mostRefusals {
		return
	}
	first := id
	for other, f := range r.byID {
		if c := f.until.Compare(r.byID[first].until); c < 0 || c == 0 && slices.Compare(other[:], first[:]) < 0 {
			first = other
		}
	}
	r.drop(first)
}

func (r *Refusals) drop(id ID) {
	delete(r.byID, id)
	r.log.Remove(id)
}

// forget drops what has ended.
func (r *Refusals) forget(now time.Time) {
	for id, f := range r.byID {
		if !now.Before(f.forgotten()) {
			r.drop(id)
		}
	}
}

// Take takes in what another node tells, and returns the requests that are refused now and
// were not before. What has ended meanwhile is left out, so that no two nodes keep it alive
// between them.
func (r *Refusals) Take(now time.Time, told []Refusal) []ID {
	var fresh []ID
	for _, t := range told {
		next := refusal{version: t.Version, until: now.Add(min(t.Left, longestRefusal)), since: now.Add(-t.Age), times: max(t.Times, 1), pardoned: t.Pardoned}
		if !now.Before(next.forgotten()) {
			continue
		}
		if f, ok := r.byID[t.Request]; ok && !next.newer(f) {
			continue
		}
		_, before := r.Left(now, t.Request)
		r.put(t.Request, next)
		if _, refused := r.Left(now, t.Request); refused && !before {
			fresh = append(fresh, t.Request)
		}
	}
	return fresh
}

// newer reports whether a refusal takes the place of another one of the same request. Of
// two of one version a pardon holds, then the one that lasts longer.
func (f *refusal) newer(old *refusal) bool {
	switch {
	case f.version != old.version:
		return f.version > old.version
	case f.pardoned != old.pardoned:
		return f.pardoned
	}
	return f.until.After(old.until.Add(sameMoment))
}

// Sum is the same on nodes that know the same. Nodes compare it with each heartbeat.
func (r *Refusals) Sum(now time.Time) uint64 {
	if len(r.byID) == 0 {
		return 0
	}
	r.forget(now)
	sum := uint64(0)
	for id, f := range r.byID {
		part := f.version << 1
		if f.pardoned {
			part |= 1
		}
		sum ^= hash.Pair(id.Key(), hash.Mix(part))
	}
	return sum
}

// News returns what a peer was not told yet, most entries at a time, the oldest first. It
// counts as told.
func (r *Refusals) News(now time.Time, to string, most int) []Refusal {
	ids := r.log.NextUpdates(to, most)
	list := make([]Refusal, len(ids))
	for i, id := range ids {
		f := r.byID[id]
		list[i] = Refusal{Request: id, Version: f.version, Left: f.until.Sub(now), Age: now.Sub(f.since), Times: f.times, Pardoned: f.pardoned}
	}
	return list
}

// Compare takes in the sum of a peer, and reports whether there is anything to tell it.
func (r *Refusals) Compare(now time.Time, from string, sum uint64) bool {
	return sum != r.Sum(now) && r.log.HandleMismatch(now, from)
}

// Forget drops what is known of peers that are gone.
func (r *Refusals) Forget(gone func(peer string) bool) { r.log.ForgetPeers(gone) }
