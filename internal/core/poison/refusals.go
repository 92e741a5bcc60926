package poison

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/gossip"
	"gradetiller.example/internal/core/hash"
)

const (
	// minRefusal is the duration of the first refusal of a request. It doubles each time,
	// up to maxRefusal.
	minRefusal = 10 * time.Minute
	maxRefusal = 4 * time.Hour
	// maxRefusals bounds the refused requests. Those that end first are evicted, so all
	// nodes evict the same ones.
	maxRefusals = 1024
	// endTimeTolerance is how far apart the end times of one refusal may lie on two
	// nodes, because of the delay of gossip.
	endTimeTolerance = 2 * time.Second
)

// Refusal is a refused request as sent between nodes.
type Refusal struct {
	Request ID
	// Version orders the states of one request.
	Version uint64
	// Remaining is how much longer the request is refused. It is negative while the request
	// is on probation. For cleared requests it is how much longer that state is kept.
	Remaining time.Duration
	// Age is the time since the first crash that counts against the request.
	Age time.Duration
	// Count is how often the request was refused.
	Count int
	// Cleared is true if the request is no longer refused, because it was served or
	// because the crashes that counted against it did not happen.
	Cleared bool
}

// Refusals is the set of refused requests. It is the same on all nodes except for updates
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
	cleared    bool
}

// NewRefusals returns an empty set.
func NewRefusals() *Refusals {
	return &Refusals{byID: make(map[ID]*refusal), log: gossip.NewChangeLog[ID]()}
}

// Len returns the number of requests that are refused, cleared or on probation.
func (r *Refusals) Len() int { return len(r.byID) }

// refusalPeriod returns the duration of the given refusal of a request, counted from 1.
func refusalPeriod(count int) time.Duration {
	d := minRefusal
	for range count - 1 {
		d = min(2*d, maxRefusal)
	}
	return d
}

// expiresAt returns when all state of the request expires. Its probation lasts as long as
// its refusal did.
func (f *refusal) expiresAt() time.Time {
	if f.cleared {
		return f.until
	}
	return f.until.Add(refusalPeriod(f.count))
}

// Remaining reports whether a request is refused, and for how much longer.
func (r *Refusals) Remaining(now time.Time, id ID) (time.Duration, bool) {
	f, ok := r.byID[id]
	if !ok || f.cleared || !now.Before(f.until) {
		return 0, false
	}
	return f.until.Sub(now), true
}

// Contains reports whether the set holds a request that is not cleared.
func (r *Refusals) Contains(id ID) bool {
	f, ok := r.byID[id]
	return ok && !f.cleared
}

// OnProbation reports whether a request was refused before and is admitted again, so that
// one more crash suffices to refuse it.
func (r *Refusals) OnProbation(now time.Time, id ID) bool {
	f, ok := r.byID[id]
	return ok && !f.cleared && !now.Before(f.until) && now.Before(f.expiresAt())
}

// FirstCrash returns when the first crash that counts against a refused request happened.
func (r *Refusals) FirstCrash(id ID) time.Time {
	if f, ok := r.byID[id]; ok {
		return f.firstCrash
	}
	return time.Time{}
}

// Refuse refuses a request whose first crash happened at the given time. It returns false
// if the request is refused already.
func (r *Refusals) Refuse(now time.Time, id ID, firstCrash time.Time) bool {
	if _, refused := r.Remaining(now, id); refused {
		return false
	}
	r.expire(now)
	next := refusal{version: 1, count: 1, firstCrash: firstCrash}
	if f, ok := r.byID[id]; ok {
		next.version = f.version + 1
		if !f.cleared {
			next.count = f.count + 1
		}
	}
	next.until = now.Add(refusalPeriod(next.count))
	r.put(id, next)
	return true
}

// Clear ends a refusal and the probation after it, and reports whether there was one.
func (r *Refusals) Clear(now time.Time, id ID) bool {
	f, ok := r.byID[id]
	if !ok || f.cleared {
		return false
	}
	r.put(id, refusal{version: f.version + 1, until: now.Add(minRefusal), cleared: true})
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

// expire drops expired requests.
func (r *Refusals) expire(now time.Time) {
	for id, f := range r.byID {
		if !now.Before(f.expiresAt()) {
			r.drop(id)
		}
	}
}

// Merge applies refusals from another node, and returns the requests that are newly
// refused. Expired ones are ignored, so that two nodes do not keep them alive by sending
// them to each other.
func (r *Refusals) Merge(now time.Time, received []Refusal) []ID {
	var newlyRefused []ID
	for _, t := range received {
		next := refusal{version: t.Version, until: now.Add(min(t.Remaining, maxRefusal)), firstCrash: now.Add(-t.Age), count: max(t.Count, 1), cleared: t.Cleared}
		if !now.Before(next.expiresAt()) {
			continue
		}
		if f, ok := r.byID[t.Request]; ok && !next.newer(f) {
			continue
		}
		_, before := r.Remaining(now, t.Request)
		r.put(t.Request, next)
		if _, refused := r.Remaining(now, t.Request); refused && !before {
			newlyRefused = append(newlyRefused, t.Request)
		}
	}
	return newlyRefused
}

// newer reports whether a refusal replaces another one of the same request. If both have
// the same version a cleared request wins, and otherwise the one that lasts longer.
func (f *refusal) newer(old *refusal) bool {
	switch {
	case f.version != old.version:
		return f.version > old.version
	case f.cleared != old.cleared:
		return f.cleared
	}
	return f.until.After(old.until.Add(endTimeTolerance))
}

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
		list[i] = Refusal{Request: id, Version: f.version, Remaining: f.until.Sub(now), Age: now.Sub(f.firstCrash), Count: f.count, Cleared: f.cleared}
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
