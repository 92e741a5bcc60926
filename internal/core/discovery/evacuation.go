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
	revision uint64
	domains  map[string]bool
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
func (v Evacuations) Revision() uint64 { return v.revision }

// Has reports whether a failure domain is evacuated.
func (v Evacuations) Has(domain string) bool { return v.domains[domain] }

// Domains lists the evacuated failure domains.
func (v Evacuations) Domains() []string { return slices.Sorted(maps.Keys(v.domains)) }

// EndedAt is when the last evacuation of a failure domain was found to be over, or zero.
// Its endpoints may be cold from then on, before the list of endpoints tells so.
func (v Evacuations) EndedAt(domain string) time.Time { return v.ended[domain] }

// Takes reports whether an endpoint takes further work. It is the one decision by which
// anything is sent to an endpoint: new requests, repeats, calls of a stage pool, questions
// and results that are given up.
func (v Evacuations) Takes(e catalog.Endpoint) bool { return !e.Draining && !v.Has(e.Domain) }

// Replace returns the evacuations as of a revision, which are all there are. What is not
// ahead of the present ones changes nothing.
func (v Evacuations) Replace(now time.Time, revision uint64, domains []string) Evacuations {
	if revision <= v.revision {
		return v
	}
	next := make(map[string]bool, len(domains))
	for _, d := range domains {
		next[d] = true
	}
	return v.advance(now, revision, next)
}

// Change returns the evacuations as of a revision, given the last change of each failure
// domain since one that is not after the present one.
func (v Evacuations) Change(now time.Time, revision uint64, changes []EvacuationChange) Evacuations {
	if revision <= v.revision {
		return v
	}
	next := maps.Clone(v.domains)
	if next == nil {
		next = make(map[string]bool)
	}
	for _, c := range changes {
		if c.Ended {
			delete(next, c.Domain)
			continue
		}
		next[c.Domain] = true
	}
	return v.advance(now, revision, next)
}

func (v Evacuations) advance(now time.Time, revision uint64, domains map[string]bool) Evacuations {
	next := Evacuations{revision: revision, domains: domains, ended: v.ended}
	for d := range v.domains {
		if domains[d] {
			continue
		}
		if next.ended = maps.Clone(next.ended); next.ended == nil {
			next.ended = make(map[string]time.Time)
		}
		next.ended[d] = now
	}
	return next
}

// Same reports whether the same failure domains are evacuated.
func (v Evacuations) Same(o Evacuations) bool { return maps.Equal(v.domains, o.domains) }
