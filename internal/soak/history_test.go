package soak

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// bounds are what a deployment's operators ask of changes of the configuration.
type bounds struct {
	// apply is from the store's acknowledgement until a change is in force on
	// all nodes in touch.
	apply time.Duration
	// rollback is from an answer by a version until none may be by an older one.
	rollback time.Duration
	// contact is how long nothing must have been wrong with a node, or the
	// store, for the node to count as in touch.
	contact time.Duration
	// skew is added to apply while the store serves some nodes only.
	skew time.Duration
}

// published is one version as it was written to the store.
type published struct {
	version uint64
	// service serves the route that moves.
	service string
	// hasManyRoutes tells that the many further routes are there.
	hasManyRoutes bool
	// timeout is that of the route whose worker never answers.
	timeout time.Duration
	// sent is when the write began, acknowledged when the store had it.
	sent, acknowledged time.Time
}

// probeKind is what a probe asks.
type probeKind int

const (
	// probeMark asks for the route that only one version has.
	probeMark probeKind = iota
	// probeKey uses the key that only one version has.
	probeKey
	// probeMoved asks for the route that moves between services.
	probeMoved
	// probeMany asks for one of the many further routes.
	probeMany
	// probeMute asks for the route whose worker never answers.
	probeMute
)

func (q probeKind) String() string {
	return [...]string{"mark", "key", "moved route", "further route", "mute route"}[q]
}

// observation is one probe's answer.
type observation struct {
	node, incarnation int
	kind              probeKind
	// version is the version whose mark or key was used.
	version   uint64
	sent, got time.Time
	status    int
	// service is that of the worker which answered.
	service string
}

// span is a time in which something was wrong.
type span struct{ from, to time.Time }

// history is all that was published, in order, and what was wrong when.
type history struct {
	bounds
	versions []published
	// disturbed lists what was wrong with each node, store what was wrong with
	// the store for all, partly what was wrong with it for some nodes only.
	disturbed                    map[int][]span
	storeOutages, partialOutages []span
	// expired lists the seconds after the store's return in which workers whose entries
	// had lapsed listed themselves again.
	expired []span
}

// matches reports whether an answer is one that a version gives. An answer that
// tells nothing of the configuration, such as a refusal for want of a worker, is
// one that all versions give.
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

// anyMatches reports whether one of the versions from an index on that were sent before
// a moment gives the answer.
func (h *history) anyMatches(o observation, from int) bool {
	for i := from; i < len(h.versions) && h.versions[i].sent.Before(o.got); i++ {
		if o.matches(h.versions[i]) {
			return true
		}
	}
	return false
}

// oldestInForce is the index of the oldest version that may still be in force at a
// moment, when a change takes a time.
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

// checkStale judges one answer by the bound of changes: it returns why the answer is
// out of it, or "".
func (h *history) checkStale(o observation) string {
	calm := o.sent.Add(-h.contact)
	if overlaps(h.disturbed[o.node], calm, o.got) || overlaps(h.storeOutages, calm, o.got) {
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
	return fmt.Sprintf("LATE: %s of %d answered %d %s; it is that of version %s, the oldest allowed is %d", o.kind, o.version, o.status, o.service, behind, h.versions[oldest].version)
}

// findRollbacks finds answers by which a node went back within one life. The list is of
// one node's life.
func (h *history) findRollbacks(list []observation) []string {
	sort.Slice(list, func(i, j int) bool { return list[i].got.Before(list[j].got) })
	// shown are the moments at which the newest version that was shown changed.
	type shown struct {
		got    time.Time
		newest int
	}
	var found []string
	var steps []shown
	for _, o := range list {
		before := sort.Search(len(steps), func(i int) bool { return !steps[i].got.Add(h.rollback).Before(o.sent) })
		if before > 0 && !h.anyMatches(o, steps[before-1].newest) {
			found = append(found, fmt.Sprintf("BACK: %s of %d answered %d %s after version %d had been served", o.kind, o.version, o.status, o.service, h.versions[steps[before-1].newest].version))
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

// overdue is how long after the longest time that the route could have an answer came,
// or less than 0.
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
