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
	// many tells that the many further routes are there.
	many bool
	// timeout is that of the route whose worker never answers.
	timeout time.Duration
	// sent is when the write began, acknowledged when the store had it.
	sent, acknowledged time.Time
}

// question is what a probe asks.
type question int

const (
	// askMark asks for the route that only one version has.
	askMark question = iota
	// askKey uses the key that only one version has.
	askKey
	// askMoved asks for the route that moves between services.
	askMoved
	// askMany asks for one of the many further routes.
	askMany
	// askMute asks for the route whose worker never answers.
	askMute
)

func (q question) String() string {
	return [...]string{"mark", "key", "moved route", "further route", "mute route"}[q]
}

// observation is one probe's answer.
type observation struct {
	node, life int
	asks       question
	// about is the version whose mark or key was used.
	about     uint64
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
	disturbed     map[int][]span
	store, partly []span
	// lapsed lists the seconds after the store's return in which workers whose entries
	// had lapsed listed themselves again.
	lapsed []span
}

// shows reports whether an answer is one that a version gives. An answer that
// tells nothing of the configuration, such as a refusal for want of a worker, is
// one that all versions give.
func (o observation) shows(v published) bool {
	switch {
	case o.asks == askMark && o.status == http.StatusOK, o.asks == askKey && o.status == http.StatusOK:
		return v.version == o.about
	case o.asks == askMark && o.status == http.StatusNotFound, o.asks == askKey && o.status == http.StatusUnauthorized:
		return v.version != o.about
	case o.asks == askMoved && o.status == http.StatusOK:
		return v.service == o.service
	case o.asks == askMany && o.status == http.StatusOK:
		return v.many
	case o.asks == askMany && o.status == http.StatusNotFound:
		return !v.many
	case o.status == http.StatusUnauthorized, o.status == http.StatusForbidden, o.status == http.StatusNotFound:
		return false
	}
	return true
}

// any reports whether one of the versions from an index on that were sent before
// a moment gives the answer.
func (h *history) any(o observation, from int) bool {
	for i := from; i < len(h.versions) && h.versions[i].sent.Before(o.got); i++ {
		if o.shows(h.versions[i]) {
			return true
		}
	}
	return false
}

// inForce is the index of the oldest version that may still be in force at a
// moment, when a change takes a time.
func (h *history) inForce(at time.Time, apply time.Duration) int {
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

// late judges one answer by the bound of changes: it returns why the answer is
// out of it, or "".
func (h *history) late(o observation) string {
	calm := o.sent.Add(-h.contact)
	if overlaps(h.disturbed[o.node], calm, o.got) || overlaps(h.store, calm, o.got) {
		return ""
	}
	apply := h.apply
	if overlaps(h.partly, o.sent.Add(-h.contact-h.skew), o.got) {
		apply += h.skew
	}
	oldest := h.inForce(o.sent, apply)
	if h.any(o, oldest) {
		return ""
	}
	behind := "unknown"
	for i := oldest - 1; i >= 0; i-- {
		if o.shows(h.versions[i]) {
			behind = fmt.Sprintf("%d, replaced %v before", h.versions[i].version, o.sent.Sub(h.versions[i+1].acknowledged).Round(time.Millisecond))
			break
		}
	}
	return fmt.Sprintf("LATE: %s of %d answered %d %s; it is that of version %s, the oldest allowed is %d", o.asks, o.about, o.status, o.service, behind, h.versions[oldest].version)
}

// backward finds answers by which a node went back within one life. The list is of
// one node's life.
func (h *history) backward(list []observation) []string {
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
		if before > 0 && !h.any(o, steps[before-1].newest) {
			found = append(found, fmt.Sprintf("BACK: %s of %d answered %d %s after version %d had been served", o.asks, o.about, o.status, o.service, h.versions[steps[before-1].newest].version))
		}
		if o.status != http.StatusOK || o.asks != askMark && o.asks != askKey {
			continue
		}
		if i := h.index(o.about); len(steps) == 0 || i > steps[len(steps)-1].newest {
			steps = append(steps, shown{got: o.got, newest: i})
		}
	}
	return found
}

// held is how long after the longest time that the route could have an answer came,
// or less than 0.
func (h *history) held(o observation) time.Duration {
	longest := time.Duration(0)
	for i := h.inForce(o.sent, h.apply+h.skew); i < len(h.versions) && h.versions[i].sent.Before(o.got); i++ {
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
