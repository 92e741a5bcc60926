package soak

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// bounds are a deployment's bounds for configuration changes.
type bounds struct {
	// apply is the maximum time from the store's acknowledgement until a change is in force on
	// all nodes in contact.
	apply time.Duration
	// rollback is the time after a response from one version after which responses from older
	// versions are not allowed.
	rollback time.Duration
	// contact is how long a node and the store must have been undisturbed for the node to count
	// as in contact.
	contact time.Duration
	// skew is added to apply while the store serves only some nodes.
	skew time.Duration
}

// published is one version written to the store.
type published struct {
	version uint64
	// service serves the route that alternates between services.
	service string
	// hasManyRoutes reports whether the version has the many additional routes.
	hasManyRoutes bool
	// timeout is the timeout of the route whose worker never responds.
	timeout time.Duration
	// sent is when the write began, acknowledged when the store had accepted it.
	sent, acknowledged time.Time
}

// probeKind is the property of the configuration that a probe tests.
type probeKind int

const (
	// probeMark requests the route that only one version has.
	probeMark probeKind = iota
	// probeKey uses the API key that only one version has.
	probeKey
	// probeMoved requests the route that alternates between services.
	probeMoved
	// probeMany requests one of the many additional routes.
	probeMany
	// probeUnresponsive requests the route whose worker never responds.
	probeUnresponsive
)

func (q probeKind) String() string {
	return [...]string{"mark", "key", "moved route", "additional route", "unresponsive route"}[q]
}

// observation is the response to one probe.
type observation struct {
	node, incarnation int
	kind              probeKind
	// version is the version whose route or key was used.
	version   uint64
	sent, got time.Time
	status    int
	// service is the service of the worker that responded.
	service string
}

// span is a time span, such as that of a fault. It has not ended if to is zero.
type span struct{ from, to time.Time }

// history contains all published versions in order, and the times of all faults.
type history struct {
	bounds
	versions []published
	// disturbed are the faults of each node, storeOutages the outages of the store for all
	// nodes, and partialOutages those for some nodes only.
	disturbed                    map[int][]span
	storeOutages, partialOutages []span
	// expired are the times after an outage of the store in which workers whose entries had
	// expired were listed again.
	expired []span
}

// matches reports whether a response is consistent with a version. A response that reveals
// nothing about the configuration, such as a refusal because no worker is available, is
// consistent with all versions.
func (o observation) matches(v published) bool {
	switch {
	case o.kind == probeMark && o.status == http.StatusOK, o.kind == probeKey && o.status == http.StatusOK:
		return v.version == o.version
	case o.kind == probeMark && o.status == http.StatusNotFound, o.kind == probeKey && o.status == http.StatusUnauthorized:
		return v.version != o.version
	case o.kind == probeMoved && o.status == http.StatusOK:
		return v.service == o.service
	case o.kind == probeMany && o.status == http.StatusOK:
		return v.hasManyRoutes
	case o.kind == probeMany && o.status == http.StatusNotFound:
		return !v.hasManyRoutes
	case o.status == http.StatusUnauthorized, o.status == http.StatusForbidden, o.status == http.StatusNotFound:
		return false
	}
	return true
}

// anyMatches reports whether the response matches any version that has at least the given index
// and was sent before the response.
func (h *history) anyMatches(o observation, from int) bool {
	for i := from; i < len(h.versions) && h.versions[i].sent.Before(o.got); i++ {
		if o.matches(h.versions[i]) {
			return true
		}
	}
	return false
}

// oldestInForce returns the index of the oldest version that may be in force at a point in time
// if changes take up to the given time.
func (h *history) oldestInForce(at time.Time, apply time.Duration) int {
	oldest := 0
	for i, v := range h.versions {
		if !v.acknowledged.IsZero() && v.acknowledged.Add(apply).Before(at) {
			oldest = i
		}
	}
	return oldest
}

func overlaps(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// checkStale checks one response against the bound on changes. It returns a message if the
// response is too old, else "".
func (h *history) checkStale(o observation) string {
	since := o.sent.Add(-h.contact)
	if overlaps(h.disturbed[o.node], since, o.got) || overlaps(h.storeOutages, since, o.got) {
		return ""
	}
	apply := h.apply
	if overlaps(h.partialOutages, o.sent.Add(-h.contact-h.skew), o.got) {
		apply += h.skew
	}
	oldest := h.oldestInForce(o.sent, apply)
	if h.anyMatches(o, oldest) {
		return ""
	}
	behind := "unknown"
	for i := oldest - 1; i >= 0; i-- {
		if o.matches(h.versions[i]) {
			behind = fmt.Sprintf("%d, replaced %v before", h.versions[i].version, o.sent.Sub(h.versions[i+1].acknowledged).Round(time.Millisecond))
			break
		}
	}
	return fmt.Sprintf("LATE: %s of %d responded %d %s, which matches version %s; the oldest allowed is %d", o.kind, o.version, o.status, o.service, behind, h.versions[oldest].version)
}

// findRollbacks returns a message for each response that shows an older version than a response that
// arrived more than the rollback slack before the request. The list must be from a single
// incarnation of one node.
func (h *history) findRollbacks(list []observation) []string {
	sort.Slice(list, func(i, j int) bool { return list[i].got.Before(list[j].got) })
	// shown is a point in time at which the newest version seen changed.
	type shown struct {
		got    time.Time
		newest int
	}
	var found []string
	var steps []shown
	for _, o := range list {
		before := sort.Search(len(steps), func(i int) bool { return !steps[i].got.Add(h.rollback).Before(o.sent) })
		if before > 0 && !h.anyMatches(o, steps[before-1].newest) {
			found = append(found, fmt.Sprintf("BACK: %s of %d responded %d %s after version %d had been served", o.kind, o.version, o.status, o.service, h.versions[steps[before-1].newest].version))
		}
		if o.status != http.StatusOK || o.kind != probeMark && o.kind != probeKey {
			continue
		}
		if i := h.index(o.version); len(steps) == 0 || i > steps[len(steps)-1].newest {
			steps = append(steps, shown{got: o.got, newest: i})
		}
	}
	return found
}

// overdue returns how long after the longest possible timeout of the route a response arrived.
// It is negative if the response arrived before that.
func (h *history) overdue(o observation) time.Duration {
	longest := time.Duration(0)
	for i := h.oldestInForce(o.sent, h.apply+h.skew); i < len(h.versions) && h.versions[i].sent.Before(o.got); i++ {
		longest = max(longest, h.versions[i].timeout)
	}
	return o.got.Sub(o.sent) - longest
}

func (h *history) index(version uint64) int {
	for i, v := range h.versions {
		if v.version == version {
			return i
		}
	}
	return -1
}
