package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"
)

// probeName is the id of a probe, which tells the node it was sent to.
func probeName(node int, number int64) string {
	return fmt.Sprintf("%s%d-%d", probePrefix, node, number)
}

// drainViolations finds the probes that nodes in touch sent to workers which had left long
// before, with or without a word.
func (r *boundsRun) drainViolations() []string {
	var found []string
	for _, w := range r.retired {
		for _, late := range w.LateRuns() {
			var node int
			var number int64
			if n, _ := fmt.Sscanf(late.ID, probePrefix+"%d-%d", &node, &number); n < 2 || late.After <= ms(r.deployment.DrainMS) {
				continue
			}
			calm := late.At.Add(-r.history.contact - ms(r.deployment.DrainMS))
			if overlaps(r.history.disturbed[node], calm, late.At) || overlaps(r.history.storeOutages, calm, late.At) {
				continue
			}
			found = append(found, fmt.Sprintf("%s node-%d DRAIN: sent a request to %s %v after the store had taken that it leaves", late.At.Format("05.000"), node+1, w.ID, late.After.Round(time.Millisecond)))
		}
	}
	return found
}

// poisonViolations finds the requests that crash workers and are not refused by all nodes, and
// others that are. How many workers they crash late is held against the bound only in runs
// of a given deployment.
func (r *boundsRun) poisonViolations(timed bool) []string {
	found := r.poisons.settle()
	late, told := r.poisons.lateCrashes(r.history.contact, func(t poisonAttempt) bool {
		calm := t.at.Add(-r.history.contact)
		return !overlaps(r.history.disturbed[t.node], calm, t.at) && !overlaps(r.history.storeOutages, calm, t.at)
	})
	r.t.Logf("requests that crash workers: %v", told)
	if timed {
		found = append(found, late...)
	}
	for _, id := range r.wronglyRefused {
		found = append(found, fmt.Sprintf("OTHERS: %s is refused as if it crashed workers", id))
	}
	return found
}

// countAfterExpiry counts the questions in the seconds after the store's return, when entries had
// lapsed, and those that were refused for want of a worker. The workers served all the
// while.
func (r *boundsRun) countAfterExpiry() (asked, refused int) {
	for _, o := range r.observations {
		if !overlaps(r.history.expired, o.sent, o.sent) || overlaps(r.history.disturbed[o.node], o.sent.Add(-r.history.contact), o.got) {
			continue
		}
		asked++
		if o.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	return asked, refused
}

// maxRefusedOneIn is the part of the questions after the store's return, as a divisor, that
// may be refused.
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

// mostHeld is how many answers may come more than slowEnd after their route's time, if
// they are no more than a quarter of those on the route.
const (
	maxOverdue   = 7
	overdueSlack = 500 * time.Millisecond
)

// verify holds all answers against the bounds; those that the machine's speed decides
// only if timed.
func (r *boundsRun) verify(timed bool) {
	lives := make(map[[2]int][]observation)
	counts := make(map[string]int)
	var found []string
	report := func(o observation, text string) {
		found = append(found, fmt.Sprintf("%s node-%d %s", o.sent.Format("05.000"), o.node+1, text))
	}
	inTouch, refusedMany, askedMany, held, askedMute := 0, 0, 0, 0, 0
	for _, o := range r.observations {
		lives[[2]int{o.node, o.incarnation}] = append(lives[[2]int{o.node, o.incarnation}], o)
		counts[fmt.Sprintf("%s %d", o.kind, o.status)]++
		if why := r.history.checkStale(o); timed && why != "" {
			report(o, why)
		}
		if !overlaps(r.history.disturbed[o.node], o.sent.Add(-r.history.contact), o.got) {
			inTouch++
			if o.kind == probeMute {
				askedMute++
				if r.history.overdue(o) > overdueSlack {
					held++
				}
			}
			if o.kind == probeMany && o.status != http.StatusNotFound {
				askedMany++
				if o.status != http.StatusOK {
					refusedMany++
				}
			}
		}
		for _, v := range r.invalidVersions {
			if (o.kind == probeMark || o.kind == probeKey) && o.version == v && o.status == http.StatusOK {
				report(o, fmt.Sprintf("INVALID: version %d was served", v))
			}
		}
	}
	for life, list := range lives {
		for _, why := range r.history.findRollbacks(list) {
			found = append(found, fmt.Sprintf("node-%d %s", life[0]+1, why))
		}
	}
	if timed {
		found = append(found, r.drainViolations()...)
	}
	found = append(found, r.poisonViolations(timed)...)
	found = append(found, r.limitViolations()...)
	found = append(found, r.signalViolations()...)
	afterReturn, refusedThen := r.countAfterExpiry()
	if timed && refusedThen*maxRefusedOneIn > afterReturn {
		found = append(found, fmt.Sprintf("LAPSED: %d of %d questions after the store's return were refused, though the workers served", refusedThen, afterReturn))
	}
	if timed && held > maxOverdue && held > askedMute/4 {
		found = append(found, fmt.Sprintf("HELD: %d of %d requests had no answer %v after their route's time", held, askedMute, overdueSlack))
	}
	if timed && askedMany > 20 && refusedMany > askedMany/4 {
		found = append(found, fmt.Sprintf("ADDED: %d of %d requests on added routes were not served", refusedMany, askedMany))
	}
	r.t.Logf("%d versions, %d must be refused, %d workers replaced, %d answers, %d from nodes in touch, %d of %d held, %d of %d refused after lapses; %v", len(r.history.versions), len(r.invalidVersions), len(r.retired), len(r.observations), inTouch, held, askedMute, refusedThen, afterReturn, counts)
	r.logDelays()
	if len(found) > 0 {
		sort.Strings(found)
		var b bytes.Buffer
		for _, f := range found[:min(len(found), 40)] {
			fmt.Fprintln(&b, f)
		}
		r.t.Errorf("%d answers out of bounds (%v), logs in %s:\n%s", len(found), kindsOf(found), r.logs, b.String())
	}
}

// kindsOf counts what was found by its kind, the word in capitals.
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

// logDelays logs how long after its acknowledgement a version was first seen on
// nodes in touch.
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
		calm := r.history.versions[i].acknowledged.Add(-r.history.contact)
		if overlaps(r.history.disturbed[o.node], calm, o.got) || overlaps(r.history.storeOutages, calm, o.got) {
			continue
		}
		delays = append(delays, o.got.Sub(r.history.versions[i].acknowledged))
	}
	if len(delays) == 0 {
		return
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	r.t.Logf("%d first answers by a version on nodes in touch: median %v, 95th %v, 99th %v, latest %v after its acknowledgement", len(delays),
		delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)*95/100].Round(time.Millisecond), delays[len(delays)*99/100].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond))
}
