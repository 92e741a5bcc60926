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

// check holds all that clients and workers saw against the promises.
func (r *run) check() {
	asked := make(map[string]sentRequest)
	served := 0
	for _, s := range r.record.list {
		asked[s.id] = s
		if s.response.Status == http.StatusOK && s.response.Err == nil {
			served++
		}
	}
	runs, passedOn := r.countRuns(asked)
	for _, s := range r.record.list {
		r.checkAnswer(s, runs[s.id])
		r.checkNotLost(s, passedOn[s.id])
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
	if served < len(r.record.list)/4 {
		r.fail("%d of %d requests were served", served, len(r.record.list))
	}
	for _, p := range r.nodes {
		r.failures = append(r.failures, p.unexpectedExits()...)
	}
	r.checkRetired()
	r.checkBudget(asked, runs)
	r.asyncMu.Lock()
	r.failures = append(r.failures, r.asyncFailures...)
	r.asyncMu.Unlock()
	r.t.Logf("%d requests, %d served, %d workers retired", len(r.record.list), served, len(r.retired))
}

// checkRetired holds that nothing reaches a worker long after the store has taken that it
// leaves. While the store is away, and until the entries that lapsed meanwhile have had time
// to be back, a node can't tell one that left from one whose entry lapsed, so a request counts
// only if nothing was wrong with the store for as long before it.
func (r *run) checkRetired() {
	for _, gone := range r.retired {
		for _, late := range gone.worker.LateRuns() {
			if late.After > maxDrainTime && !r.storeFaults.overlap(late.At.Add(-maxDrainTime), late.At) {
				r.fail("%s of %s got a request %v after the store had taken that it leaves", gone.worker.ID, gone.worker.Service, late.After)
			}
		}
	}
}

// countRuns counts how often each request ran at its last service, and tells which
// were passed on to any worker. It checks that nothing ran that no client sent.
func (r *run) countRuns(asked map[string]sentRequest) (runs map[string]int, passedOn map[string]bool) {
	runs, passedOn = make(map[string]int), make(map[string]bool)
	for service, list := range r.workers {
		for _, w := range list {
			for id, n := range w.RunCounts() {
				s, ok := asked[id]
				if !ok && !strings.HasPrefix(id, probePrefix) {
					r.fail("%s of %s ran %q, which no client sent", w.ID, service, id)
				}
				passedOn[id] = true
				if service == "desk" || service == "model" {
					runs[id] += n
				}
				if tenant := w.Tenant(id); ok && tenant != account && (service == "desk" || service == "model") {
					r.fail("%s ran at %s for account %q", s.id, w.ID, tenant)
				}
			}
		}
	}
	return runs, passedOn
}

func (r *run) checkAnswer(s sentRequest, runs int) {
	a := s.response
	whole := a.Err == nil && a.Status == http.StatusOK
	switch {
	case whole && a.Body != s.expectedBody():
		r.fail("%s%s at %s: 200 with another body %q", s.kind.path, s.id, s.node, a.Body)
	case whole && !strings.HasSuffix(a.Stamp, "."+s.id):
		r.fail("%s%s at %s: 200 with the signature %q", s.kind.path, s.id, s.node, a.Stamp)
	case a.Err == nil && a.Status == http.StatusServiceUnavailable && s.kind.atMostOnce && runs > 0:
		r.fail("%s%s at %s: 503, and ran %d times", s.kind.path, s.id, s.node, runs)
	case a.Err == nil && slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest}, a.Status):
		r.fail("%s%s at %s: %d", s.kind.path, s.id, s.node, a.Status)
	}
	if s.kind.atMostOnce && runs > 1 {
		r.fail("%s%s at %s ran %d times", s.kind.path, s.id, s.node, runs)
	}
}

// checkNotLost holds that a request that a node has read is neither cut off nor
// left without an answer while only planned work is under way, whenever it was
// sent. The client's own deadline is no loss.
func (r *run) checkNotLost(s sentRequest, passedOn bool) {
	a := s.response
	if a.Err == nil || errors.Is(a.Err, context.DeadlineExceeded) || !s.plannedOnly || r.poisons.crashedDuring(s.at, s.took) {
		return
	}
	how := ""
	switch {
	case passedOn:
		how = "cut off"
	case s.took > maxReadDelay:
		how = "left without an answer"
	default:
		return
	}
	r.fail("%s%s at %s: %s by planned work%s, after %v with %d of %d events: %v", s.kind.path, s.id, s.node, how,
		r.sinceStop(s), s.took.Round(time.Millisecond), strings.Count(a.Body, "\n\n"), s.events, a.Err)
}

// checkPoisons holds that requests that crash workers are refused by all nodes, and no
// others.
func (r *run) checkPoisons() {
	found, told := r.poisons.lateCrashes(poisonContact, func(t poisonAttempt) bool {
		return r.wasCalmAt(t.at) && !r.nodes[t.node].startedWithin(poisonContact, t.at)
	})
	r.failures = append(r.failures, found...)
	for _, s := range r.record.list {
		if refusedAsPoison(s.response) {
			r.fail("%s%s at %s is refused as if it crashed workers", s.kind.path, s.id, s.node)
		}
	}
	r.t.Logf("requests that crash workers: %v", told)
}

// sinceStop tells how long after the SIGTERM of its node a request was sent, or
// nothing when there was none.
func (r *run) sinceStop(s sentRequest) string {
	for _, p := range r.nodes {
		if since, ok := p.sinceStop(s.at); ok && p.Front == s.node {
			return fmt.Sprintf(", sent %v after SIGTERM", since.Round(time.Millisecond))
		}
	}
	return ""
}

// checkStops holds that requests were sent to nodes that were being stopped, for
// without them the check of lost requests would prove nothing of stops.
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
	r.t.Logf("%d requests, %d of them long streams, sent to nodes after their SIGTERM, the last that was answered after %v; %d stops outlasted the grace period",
		late, long, last.Round(time.Millisecond), r.overdueStops.Load())
}

// checkBudget compares the repeats of all nodes with what is allowed, over the
// whole run.
func (r *run) checkBudget(asked map[string]sentRequest, runs map[string]int) {
	const ratio, slack, window = 0.2, 54, 10
	again := 0
	for _, n := range runs {
		again += max(n-1, 0)
	}
	windows := 1 + (*secondsEach+recoveryTime.Seconds())/window
	if allowed := ratio*float64(len(asked)) + slack*windows; float64(again) > allowed {
		r.fail("%d requests were sent again, %.0f are allowed", again, allowed)
	}
}
