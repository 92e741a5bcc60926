package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"
)

// probeName returns the ID of a probe, which contains the node it is sent to.
func probeName(node int, number int64) string {
	return fmt.Sprintf("%s%d-%d", probePrefix, node, number)
}

// drainViolations returns a message for each probe that a node in contact sent to a worker that
// had left, announced or not, longer ago than the drain bound.
func (r *boundsRun) drainViolations() []string {
	var found []string
	for _, w := range r.retired {
		for _, late := range w.LateRuns() {
			var node int
			var number int64
			if n, _ := fmt.Sscanf(late.ID, probePrefix+"%d-%d", &node, &number); n < 2 || late.After <= ms(r.deployment.DrainMS) {
				continue
			}
			since := late.At.Add(-r.history.contact - ms(r.deployment.DrainMS))
			if overlaps(r.history.disturbed[node], since, late.At) || overlaps(r.history.storeOutages, since, late.At) {
				continue
			}
			found = append(found, fmt.Sprintf("%s node-%d DRAIN: sent a request to %s %v after the store had accepted that it leaves", late.At.Format("05.000"), node+1, w.ID, late.After.Round(time.Millisecond)))
		}
	}
	return found
}

// poisonViolations returns a message for each request that crashes workers and is not refused
// by all nodes, and for each other request that is refused for this reason. It checks the
// number of late crashes only if timed is set.
func (r *boundsRun) poisonViolations(timed bool) []string {
	found := r.poisons.awaitRefusals()
	late, summary := r.poisons.lateCrashes(r.history.contact, func(t poisonAttempt) bool {
		since := t.at.Add(-r.history.contact)
		return !overlaps(r.history.disturbed[t.node], since, t.at) && !overlaps(r.history.storeOutages, since, t.at)
	})
	r.t.Logf("requests that crash workers: %v", summary)
	if timed {
		found = append(found, late...)
	}
	for _, id := range r.wronglyRefused {
		found = append(found, fmt.Sprintf("OTHERS: %s is wrongly refused as a request that crashes workers", id))
	}
	return found
}

// countAfterExpiry counts the probes sent within relistTime after an outage of the store in
// which entries expired, and how many of them were refused because no worker was available. All
// workers kept serving.
func (r *boundsRun) countAfterExpiry() (probes, refused int) {
	for _, o := range r.observations {
		if !overlaps(r.history.expired, o.sent, o.sent) || overlaps(r.history.disturbed[o.node], o.sent.Add(-r.history.contact), o.got) {
			continue
		}
		probes++
		if o.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	return probes, refused
}

// At most one in maxRefusedOneIn probes may be refused after such an outage.
const maxRefusedOneIn = 20

// awaitNewest waits until every node serves the newest version.
func (r *boundsRun) awaitNewest() {
	waiting := &run{t: r.t}
	waiting.config.Version = r.history.versions[len(r.history.versions)-1].version
	waiting.nodes = r.nodes
	waiting.awaitConfig()
	for _, f := range waiting.failures {
		r.t.Error(f)
	}
}

// Up to maxOverdue responses, or a quarter of those on the route, may arrive more than overdueSlack
// after the route's timeout.
const (
	maxOverdue   = 7
	overdueSlack = 500 * time.Millisecond
)

// verify checks all responses. Bounds that depend on the speed of the machine are checked only
// if timed is set.
func (r *boundsRun) verify(timed bool) {
	byIncarnation := make(map[[2]int][]observation)
	counts := make(map[string]int)
	var found []string
	report := func(o observation, text string) {
		found = append(found, fmt.Sprintf("%s node-%d %s", o.sent.Format("05.000"), o.node+1, text))
	}
	inContact, manyRefused, manyProbes, overdue, unresponsiveProbes := 0, 0, 0, 0, 0
	for _, o := range r.observations {
		byIncarnation[[2]int{o.node, o.incarnation}] = append(byIncarnation[[2]int{o.node, o.incarnation}], o)
		counts[fmt.Sprintf("%s %d", o.kind, o.status)]++
		if violation := r.history.checkStale(o); timed && violation != "" {
			report(o, violation)
		}
		if !overlaps(r.history.disturbed[o.node], o.sent.Add(-r.history.contact), o.got) {
			inContact++
			if o.kind == probeUnresponsive {
				unresponsiveProbes++
				if r.history.overdue(o) > overdueSlack {
					overdue++
				}
			}
			if o.kind == probeMany && o.status != http.StatusNotFound {
				manyProbes++
				if o.status != http.StatusOK {
					manyRefused++
				}
			}
		}
		for _, v := range r.invalidVersions {
			if (o.kind == probeMark || o.kind == probeKey) && o.version == v && o.status == http.StatusOK {
				report(o, fmt.Sprintf("INVALID: version %d was served", v))
			}
		}
	}
	for key, list := range byIncarnation {
		for _, violation := range r.history.findRollbacks(list) {
			found = append(found, fmt.Sprintf("node-%d %s", key[0]+1, violation))
		}
	}
	if timed {
		found = append(found, r.drainViolations()...)
	}
	found = append(found, r.poisonViolations(timed)...)
	found = append(found, r.limitViolations()...)
	found = append(found, r.signalViolations()...)
	afterOutage, refusedAfter := r.countAfterExpiry()
	if timed && refusedAfter*maxRefusedOneIn > afterOutage {
		found = append(found, fmt.Sprintf("LAPSED: %d of %d probes after an outage of the store were refused, although the workers kept serving", refusedAfter, afterOutage))
	}
	if timed && overdue > maxOverdue && overdue > unresponsiveProbes/4 {
		found = append(found, fmt.Sprintf("HELD: %d of %d requests had no response %v after their route's timeout", overdue, unresponsiveProbes, overdueSlack))
	}
	if timed && manyProbes > 20 && manyRefused > manyProbes/4 {
		found = append(found, fmt.Sprintf("ADDED: %d of %d requests on added routes were not served", manyRefused, manyProbes))
	}
	r.t.Logf("%d versions, %d invalid ones, %d workers replaced, %d responses, %d from nodes in contact, %d of %d overdue, %d of %d refused after entries expired; %v", len(r.history.versions), len(r.invalidVersions), len(r.retired), len(r.observations), inContact, overdue, unresponsiveProbes, refusedAfter, afterOutage, counts)
	r.logDelays()
	if len(found) > 0 {
		sort.Strings(found)
		var b bytes.Buffer
		for _, f := range found[:min(len(found), 40)] {
			fmt.Fprintln(&b, f)
		}
		r.t.Errorf("%d violations (%v), logs in %s:\n%s", len(found), kindsOf(found), r.logs, b.String())
	}
}

// kindsOf counts the messages by kind, which is their first word in capitals.
func kindsOf(found []string) map[string]int {
	kinds := make(map[string]int)
	for _, f := range found {
		for _, word := range strings.Fields(f) {
			if strings.HasSuffix(word, ":") && word == strings.ToUpper(word) {
				kinds[strings.TrimSuffix(word, ":")]++
				break
			}
		}
	}
	return kinds
}

// logDelays logs how long after its acknowledgement a version first appeared on nodes in
// contact.
func (r *boundsRun) logDelays() {
	var delays []time.Duration
	first := make(map[[2]uint64]bool)
	sort.Slice(r.observations, func(i, j int) bool { return r.observations[i].got.Before(r.observations[j].got) })
	for _, o := range r.observations {
		i := r.history.index(o.version)
		key := [2]uint64{uint64(o.node), o.version}
		if i == 0 || o.kind != probeMark || o.status != http.StatusOK || first[key] {
			continue
		}
		first[key] = true
		since := r.history.versions[i].acknowledged.Add(-r.history.contact)
		if overlaps(r.history.disturbed[o.node], since, o.got) || overlaps(r.history.storeOutages, since, o.got) {
			continue
		}
		delays = append(delays, o.got.Sub(r.history.versions[i].acknowledged))
	}
	if len(delays) == 0 {
		return
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	r.t.Logf("%d first responses from a version on nodes in contact: median %v, 95th percentile %v, 99th percentile %v, maximum %v after its acknowledgement", len(delays),
		delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)*95/100].Round(time.Millisecond), delays[len(delays)*99/100].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond))
}
