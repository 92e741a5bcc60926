package discovery

import (
	"maps"
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
)

// Evacuations are the failure domains to whose endpoints nothing further is to be sent, as
// of a revision of the store. The zero value knows nothing yet. A value is never changed
// after it was made.
type Evacuations struct {
	revision catalog.Revision
	domains  map[string]bool
	// held are evacuations that the store had acknowledged before it came back from an older
	// copy which lacks them, and until when they are taken to hold all the same.
	held map[string]time.Time
	// ended is when an evacuation was last found to be over, by failure domain.
	ended map[string]time.Time
}

// EvacuationChange tells that a failure domain is evacuated, or no more.
type EvacuationChange struct {
	Domain string
	Ended  bool
}

// Known reports whether it is known which failure domains are evacuated.
func (v Evacuations) Known() bool { return v.revision > 0 }

// Revision is the store's count of changes up to which all evacuations are in.
func (v Evacuations) Revision() catalog.Revision { return v.revision }

// Contains reports whether a failure domain is evacuated.
func (v Evacuations) Contains(domain string) bool {
	_, held := v.held[domain]
	return held || v.domains[domain]
}

// Listed lists the failure domains that are evacuated by the store's word, as it goes to
// other nodes.
func (v Evacuations) Listed() []string { return slices.Sorted(maps.Keys(v.domains)) }

// Domains lists the failure domains to whose endpoints nothing is to be sent.
func (v Evacuations) Domains() []string {
	all := v.Listed()
	for d := range v.held {
		if !v.domains[d] {
			all = append(all, d)
		}
	}
	slices.Sort(all)
	return all
}

// heldFor is how long an evacuation holds that a restored store lacks. The operator writes
// it again as what else was lost; one that was taken back meanwhile costs this time.
const heldFor = 10 * time.Second

// Expire returns the evacuations without those whose time to be written again is over.
func (v Evacuations) Expire(now time.Time) Evacuations {
	for d, until := range v.held {
		if now.Before(until) {
			continue
		}
		next := v
		next.held = maps.Clone(v.held)
		delete(next.held, d)
		if !v.domains[d] {
			next.ended = marked(v.ended, d, now)
		}
		v = next
	}
	return v
}

// marked returns a copy of moments with one more.
func marked(all map[string]time.Time, domain string, at time.Time) map[string]time.Time {
	next := make(map[string]time.Time, len(all)+1)
	maps.Copy(next, all)
	next[domain] = at
	return next
}

// EndedAt is when the last evacuation of a failure domain was found to be over, or zero.
// Its endpoints may be cold from then on, before the list of endpoints tells so.
func (v Evacuations) EndedAt(domain string) time.Time { return v.ended[domain] }

// AcceptsWork reports whether an endpoint takes further work. It is the one decision by which
// anything is sent to an endpoint: new requests, repeats, calls of a stage pool, questions
// and results that are given up.
func (v Evacuations) AcceptsWork(e catalog.Endpoint) bool {
	return !e.Draining && !v.Contains(e.Domain)
}

// Replace returns the evacuations as of a revision, which are all there are. What is not
// ahead of the present ones changes nothing.
func (v Evacuations) Replace(now time.Time, revision catalog.Revision, domains []string) Evacuations {
	if revision <= v.revision {
		return v
	}
	listed := make(map[string]bool, len(domains))
	held := make(map[string]time.Time, len(v.held))
	maps.Copy(held, v.held)
	for _, d := range domains {
		listed[d] = true
		// It was written again.
		delete(held, d)
	}
	if v.Known() && revision.Era() > v.revision.Era() {
		for _, d := range v.Domains() {
			if !listed[d] {
				held[d] = now.Add(heldFor)
			}
		}
	}
	return v.after(now, Evacuations{revision: revision, domains: listed, held: held})
}

// ApplyChanges returns the evacuations as of a revision, given the last change of each failure
// domain since one that is not after the present one and of its era.
func (v Evacuations) ApplyChanges(now time.Time, revision catalog.Revision, changes []EvacuationChange) Evacuations {
	if revision <= v.revision {
		return v
	}
	listed := make(map[string]bool, len(v.domains)+len(changes))
	maps.Copy(listed, v.domains)
	held := make(map[string]time.Time, len(v.held))
	maps.Copy(held, v.held)
	for _, c := range changes {
		delete(held, c.Domain)
		if c.Ended {
			delete(listed, c.Domain)
			continue
		}
		listed[c.Domain] = true
	}
	return v.after(now, Evacuations{revision: revision, domains: listed, held: held})
}

// after completes the evacuations that come after v with what is over.
func (v Evacuations) after(now time.Time, next Evacuations) Evacuations {
	next.ended = v.ended
	for _, d := range v.Domains() {
		if !next.Contains(d) {
			next.ended = marked(next.ended, d, now)
		}
	}
	return next
}

// Equal reports whether nothing is to be sent to the same failure domains.
func (v Evacuations) Equal(o Evacuations) bool { return slices.Equal(v.Domains(), o.Domains()) }
