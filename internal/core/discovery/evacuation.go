package discovery

import (
	"maps"
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
)

// Evacuations is the set of failure domains to whose endpoints no more work is sent, as of
// a store revision. The zero value is an unknown set. Values are immutable.
type Evacuations struct {
	revision catalog.Revision
	domains  map[string]bool
	// held maps evacuations that the store acknowledged, but lacks after a restore from an
	// older copy, to the time until which they still apply.
	held map[string]time.Time
	// ended holds when the last evacuation of each failure domain was seen to end.
	ended map[string]time.Time
}

// EvacuationChange reports the start or the end of a failure domain's evacuation.
type EvacuationChange struct {
	Domain string
	Ended  bool
}

// Known reports whether the set of evacuated failure domains is known.
func (v Evacuations) Known() bool { return v.revision > 0 }

// Revision returns the store revision up to which all evacuations are included.
func (v Evacuations) Revision() catalog.Revision { return v.revision }

// Contains reports whether a failure domain is evacuated.
func (v Evacuations) Contains(domain string) bool {
	_, held := v.held[domain]
	return held || v.domains[domain]
}

// Listed returns the evacuated failure domains that the store lists. Only these are sent to
// other nodes.
func (v Evacuations) Listed() []string { return slices.Sorted(maps.Keys(v.domains)) }

// Domains returns the failure domains to whose endpoints no work may be sent.
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

// restoreHoldPeriod is how long an evacuation stays in force that a restored store lacks.
// The operator writes it again like any other lost change. An evacuation that was ended
// meanwhile stays in force for this time.
const restoreHoldPeriod = 10 * time.Second

// Expire returns the evacuations without the held ones whose hold period has ended.
func (v Evacuations) Expire(now time.Time) Evacuations {
	for d, until := range v.held {
		if now.Before(until) {
			continue
		}
		next := v
		next.held = maps.Clone(v.held)
		delete(next.held, d)
		if !v.domains[d] {
			next.ended = withTime(v.ended, d, now)
		}
		v = next
	}
	return v
}

// withTime returns a copy of a map with one more time.
func withTime(all map[string]time.Time, domain string, at time.Time) map[string]time.Time {
	next := make(map[string]time.Time, len(all)+1)
	maps.Copy(next, all)
	next[domain] = at
	return next
}

// EndedAt returns when the last evacuation of a failure domain was seen to end, or the zero
// time. Its endpoints may be cold from then on, before the list of endpoints shows it.
func (v Evacuations) EndedAt(domain string) time.Time { return v.ended[domain] }

// AcceptsWork reports whether an endpoint may be sent more work. It is the single check for
// everything that is sent to an endpoint: new requests, retries, stage pool calls, probes
// and released results.
func (v Evacuations) AcceptsWork(e catalog.Endpoint) bool {
	return !e.Draining && !v.Contains(e.Domain)
}

// Replace returns the complete set of evacuations as of a revision. Revisions that are not
// above the present one are ignored.
func (v Evacuations) Replace(now time.Time, revision catalog.Revision, domains []string) Evacuations {
	if revision <= v.revision {
		return v
	}
	listed := make(map[string]bool, len(domains))
	held := make(map[string]time.Time, len(v.held))
	maps.Copy(held, v.held)
	for _, d := range domains {
		listed[d] = true
		// The evacuation was written again.
		delete(held, d)
	}
	if v.Known() && revision.Era() > v.revision.Era() {
		for _, d := range v.Domains() {
			if !listed[d] {
				held[d] = now.Add(restoreHoldPeriod)
			}
		}
	}
	return v.withEnded(now, Evacuations{revision: revision, domains: listed, held: held})
}

// ApplyChanges returns the evacuations as of a revision, given the last change of each
// failure domain since an earlier revision. That one must not be above the present revision
// and must be of its era.
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
	return v.withEnded(now, Evacuations{revision: revision, domains: listed, held: held})
}

// withEnded sets, in the evacuations that follow v, the end times of those that are over.
func (v Evacuations) withEnded(now time.Time, next Evacuations) Evacuations {
	next.ended = v.ended
	for _, d := range v.Domains() {
		if !next.Contains(d) {
			next.ended = withTime(next.ended, d, now)
		}
	}
	return next
}

// Same reports whether the evacuations apply equally: the same failure domains are evacuated, and the
// ends of earlier evacuations are the same.
func (v Evacuations) Same(o Evacuations) bool { return v.Equal(o) && maps.Equal(v.ended, o.ended) }

// Equal reports whether the same failure domains are evacuated.
func (v Evacuations) Equal(o Evacuations) bool { return slices.Equal(v.Domains(), o.Domains()) }
