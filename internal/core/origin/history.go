package origin

import (
	"maps"
	"slices"
	"time"
)

// maxListGap is the longest time without a list of endpoints in which versions can't come and go unseen: an endpoint that was
// listed only within it served hardly any streams.
const maxListGap = 3 * time.Second

// History knows which software versions the endpoints of services had lately. It knows nothing of the time before its process
// followed the list of endpoints. It is not safe for concurrent use.
type History struct {
	// followedSince is since when the list is followed without a gap, and listedAt the time of the newest one.
	followedSince, listedAt time.Time
	// leftAt holds when endpoints were last removed from the list, by what they served.
	leftAt map[Origin]time.Time
	// recoveredSince holds, by service, since when the versions are known from the record of other processes.
	recoveredSince map[string]time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{leftAt: make(map[Origin]time.Time), recoveredSince: make(map[string]time.Time)}
}

// Follow records that the list of endpoints is known as of a time.
func (h *History) Follow(asOf time.Time) {
	if h.followedSince.IsZero() || asOf.Sub(h.listedAt) > maxListGap {
		h.followedSince = asOf
	}
	if asOf.After(h.listedAt) {
		h.listedAt = asOf
	}
}

// Left records that an endpoint is listed no more.
func (h *History) Left(now time.Time, o Origin) {
	maps.DeleteFunc(h.leftAt, func(_ Origin, at time.Time) bool { return now.Sub(at) > MaxTTL })
	h.leftAt[o] = now
}

// Recover adds the versions that a service's endpoints had since a time, as other processes recorded them. When those left that
// are not listed is not known, so that they count as having left now.
func (h *History) Recover(now, since time.Time, service string, recorded, listed []string) {
	for _, version := range recorded {
		if o := (Origin{Service: service, Version: version}); !slices.Contains(listed, version) && !h.leftSince(o, since) {
			h.Left(now, o)
		}
	}
	h.recoveredSince[service] = since
}

// leftSince reports whether endpoints were removed from the list since a time.
func (h *History) leftSince(o Origin, since time.Time) bool {
	at, ok := h.leftAt[o]
	return ok && !at.Before(since)
}

// Sole returns the only version of a service's endpoints since the given time, of those that are listed and
// those that have left, or false if there are several or none, or if the history does not reach back so far.
func (h *History) Sole(since time.Time, service string, listed []string) (string, bool) {
	versions := h.Recent(since, service, listed)
	if len(listed) == 0 || len(versions) != 1 || !h.reaches(since, service) {
		return "", false
	}
	return versions[0], true
}

// Recent returns the versions of a service's endpoints since the given time, as far as they are known, without duplicates and in
// order.
func (h *History) Recent(since time.Time, service string, listed []string) []string {
	versions := slices.Clone(listed)
	for o, at := range h.leftAt {
		if o.Service == service && !at.Before(since) {
			versions = append(versions, o.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// reaches reports whether all versions of a service since the given time are known.
func (h *History) reaches(since time.Time, service string) bool {
	if h.followedSince.IsZero() {
		return false
	}
	recovered, ok := h.recoveredSince[service]
	return !h.followedSince.After(since) || ok && !recovered.After(since)
}
