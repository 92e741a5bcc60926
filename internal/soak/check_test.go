package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// check verifies everything that clients and workers observed.
func (r *run) check() {
	byID := make(map[string]sentRequest)
	served := 0
	for _, s := range r.record.list {
		byID[s.id] = s
		if s.response.Status == http.StatusOK && s.response.Err == nil {
			served++
		}
	}
	runs, forwarded := r.countRuns(byID)
	for _, s := range r.record.list {
		r.checkResponse(s, runs[s.id])
		r.checkNotLost(s, forwarded[s.id])
	}
	r.checkStops()
	if r.faults != baseFaults {
		r.checkLeaving()
	}
	r.checkPoisons()
	r.checkEvacuation()
	r.checkLimits()
	r.checkCold()
	r.checkSignals()
	r.returners.check()
	if served < len(r.record.list)/4 {
		r.fail("%d of %d requests were served", served, len(r.record.list))
	}
	for _, p := range r.nodes {
		r.failures = append(r.failures, p.unexpectedExits()...)
	}
	r.checkRetired()
	r.checkBudget(byID, runs)
	r.asyncMu.Lock()
	r.failures = append(r.failures, r.asyncFailures...)
	r.asyncMu.Unlock()
	r.t.Logf("%d requests, %d served, %d workers retired", len(r.record.list), served, len(r.retired))
}

// checkRetired verifies that nothing reaches a worker later than maxDrainTime after the store
// has accepted that the worker leaves. While the store is unavailable, and until workers whose
// entries expired during the outage are listed again, a node cannot distinguish a worker that
// left from one whose entry expired. A request therefore counts only if the store was healthy
// for maxDrainTime before it.
func (r *run) checkRetired() {
	for _, left := range r.retired {
		for _, late := range left.worker.LateRuns() {
			if late.After > maxDrainTime && !r.storeFaults.overlap(late.At.Add(-maxDrainTime), late.At) {
				r.fail("%s of %s received a request %v after the store had accepted that it leaves", left.worker.ID, left.worker.Service, late.After)
			}
		}
	}
}

// countRuns counts how often each request ran at its last service, and reports which requests
// were forwarded to any worker. It verifies that every request that ran was sent by a client.
func (r *run) countRuns(byID map[string]sentRequest) (runs map[string]int, forwarded map[string]bool) {
	runs, forwarded = make(map[string]int), make(map[string]bool)
	for service, list := range r.workers {
		for _, w := range list {
			for id, n := range w.RunCounts() {
				s, ok := byID[id]
				if !ok && !strings.HasPrefix(id, probePrefix) {
					r.fail("%s of %s ran %q, which no client sent", w.ID, service, id)
				}
				forwarded[id] = true
				if service == "desk" || service == "model" {
					runs[id] += n
				}
				if tenant := w.Tenant(id); ok && tenant != account && (service == "desk" || service == "model") {
					r.fail("%s ran at %s for account %q", s.id, w.ID, tenant)
				}
			}
		}
	}
	return runs, forwarded
}

func (r *run) checkResponse(s sentRequest, runs int) {
	a := s.response
	complete := a.Err == nil && a.Status == http.StatusOK
	switch {
	case complete && withoutMarks(a.Body) != s.expectedBody():
		r.fail("%s%s at %s: 200 with unexpected body %q", s.kind.path, s.id, s.node, a.Body)
	case complete && !strings.HasSuffix(a.Stamp, "."+s.id):
		r.fail("%s%s at %s: 200 with unexpected stamp %q", s.kind.path, s.id, s.node, a.Stamp)
	case a.Err == nil && a.Status == http.StatusServiceUnavailable && s.kind.atMostOnce && runs > 0:
		r.fail("%s%s at %s: 503, but ran %d times", s.kind.path, s.id, s.node, runs)
	case a.Err == nil && slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest}, a.Status):
		r.fail("%s%s at %s: %d", s.kind.path, s.id, s.node, a.Status)
	}
	if s.kind.atMostOnce && runs > 1 {
		r.fail("%s%s at %s ran %d times", s.kind.path, s.id, s.node, runs)
	}
}

// checkNotLost verifies that, while only planned operations are active, a request that a node
// has read is neither cut off nor left without a response, whenever it was sent. A request that
// exceeds the client's own deadline is not lost. Either side may end it then: the node's deadline
// begins when the request has arrived, but on a busy machine the client's timer may fire later. The
// deadline is passed on in whole milliseconds, so that a worker may end it up to one earlier.
func (r *run) checkNotLost(s sentRequest, forwarded bool) {
	a := s.response
	expired := errors.Is(a.Err, context.DeadlineExceeded) || s.took > clientDeadline-time.Millisecond
	if a.Err == nil || expired || !s.plannedOnly || r.poisons.crashedDuring(s.at, s.took) {
		return
	}
	outcome := ""
	switch {
	case forwarded:
		outcome = "cut off"
	case s.took > maxReadDelay:
		outcome = "left without a response"
	default:
		return
	}
	r.fail("%s%s at %s: %s by planned operations%s, after %v with %d of %d events: %v", s.kind.path, s.id, s.node, outcome,
		r.sinceStop(s), s.took.Round(time.Millisecond), strings.Count(a.Body, "\n\n"), s.events, a.Err)
}

// checkPoisons verifies that all nodes refuse requests that crash workers, and no other
// requests for this reason.
func (r *run) checkPoisons() {
	found, summary := r.poisons.lateCrashes(poisonContact, func(t poisonAttempt) bool {
		return r.wasStableAt(t.at) && !r.nodes[t.node].startedWithin(poisonContact, t.at)
	})
	r.failures = append(r.failures, found...)
	for _, s := range r.record.list {
		if refusedAsPoison(s.response) {
			r.fail("%s%s at %s is wrongly refused as a request that crashes workers", s.kind.path, s.id, s.node)
		}
	}
	r.t.Logf("requests that crash workers: %v", summary)
}

// sinceStop describes how long after the SIGTERM of its node a request was sent. It returns ""
// if its node was not stopping.
func (r *run) sinceStop(s sentRequest) string {
	for _, p := range r.nodes {
		if since, ok := p.sinceStop(s.at); ok && p.Front == s.node {
			return fmt.Sprintf(", sent %v after SIGTERM", since.Round(time.Millisecond))
		}
	}
	return ""
}

// checkStops verifies that some requests were sent to nodes that were stopping. Without them,
// checkNotLost would not cover stops.
func (r *run) checkStops() {
	late, long, last := 0, 0, time.Duration(0)
	for _, s := range r.record.list {
		for _, p := range r.nodes {
			since, ok := p.sinceStop(s.at)
			if !ok || p.Front != s.node || !s.plannedOnly {
				continue
			}
			late++
			if s.events > shortEvents {
				long++
			}
			if s.response.Err == nil {
				last = max(last, since)
			}
		}
	}
	if late == 0 {
		r.fail("no request was sent to a node after its SIGTERM")
	}
	r.t.Logf("%d requests, %d of them long streams, sent to nodes after their SIGTERM, the last one with a response after %v; %d stops exceeded the grace period",
		late, long, last.Round(time.Millisecond), r.overdueStops.Load())
}

// checkBudget compares the retries of all nodes with the retry budget over the whole run.
func (r *run) checkBudget(byID map[string]sentRequest, runs map[string]int) {
	const ratio, slack, window = 0.2, 54, 10
	retries := 0
	for _, n := range runs {
		retries += max(n-1, 0)
	}
	windows := 1 + (*secondsEach+recoveryTime.Seconds())/window
	if allowed := ratio*float64(len(byID)) + slack*windows; float64(retries) > allowed {
		r.fail("%d retries, %.0f are allowed", retries, allowed)
	}
}
