package soak

import (
	"slices"
	"strings"
	"time"

	"gradetiller.example/platform/platformtest"
	"gradetiller.example/platform/platformtest/signaltest"
)

const (
	// signalsSeed parts the draws of signals from the others, signalShare is how many troubles
	// there are for one worker that rejects requests with a backoff.
	signalsSeed = 29
	signalOdds  = 3
	// signalPhaseTime is how long workers announce signals in the last phase with no node harmed, and
	// again while one is paused and one killed.
	signalPhaseTime = 6 * time.Second
	// storeOutage is how long the store is away meanwhile.
	storeOutage = 2 * time.Second
	// maxRejectInterval is the most requests of which a worker rejects one.
	maxRejectInterval = 4
)

// signalPhase is what the last phase recorded.
type signalPhase struct {
	draining []*platformtest.Worker
	// announced is when they announced draining.
	announced time.Time
	rejecting []*platformtest.Worker
	// calm is until when no node was harmed.
	from, calm, to time.Time
}

func (r *run) randomBackoff() time.Duration { return randomDuration(r.signalRand, 500, 3000) }

func (r *run) reject(w *platformtest.Worker) {
	w.RejectEvery(1+r.signalRand.IntN(maxRejectInterval), r.randomBackoff())
}

// maybeRejectRequests has, now and then, a worker reject requests with a backoff for a while, and with
// another one after a part of it.
func (r *run) maybeRejectRequests() {
	if r.signalRand.IntN(signalOdds) > 0 {
		return
	}
	w := r.pickWorker(r.signalRand)
	length := randomDuration(r.signalRand, minFaultMS, maxFaultMS)
	every, second := 1+r.signalRand.IntN(maxRejectInterval), r.randomBackoff()
	r.reject(w)
	time.AfterFunc(length/2, func() { w.RejectEvery(every, second) })
	time.AfterFunc(length, func() { w.RejectEvery(0, 0) })
}

// runSignalPhase has workers announce draining that the store lists as ready, and others reject
// requests with backoffs that come and go, while the store is away for a part; then again while
// nodes are paused and killed.
func (r *run) runSignalPhase() {
	s := &r.signalPhase
	all := []string{"desk", "model", "encode", "rank"}
	crowded := all[r.signalRand.IntN(len(all))]
	for _, service := range all {
		s.rejecting = append(s.rejecting, r.pickRejecting(service, service == crowded)...)
		s.draining = append(s.draining, r.site.AddWorkers(service, 2)...)
	}
	time.Sleep(listingTime)
	s.from = time.Now()
	for _, w := range s.draining {
		w.AnnounceDraining(true)
	}
	s.announced = time.Now()
	r.rejectAll()
	r.takeStoreDown()
	time.Sleep(signalPhaseTime - storeOutage)
	s.calm = time.Now()
	r.rejectAll()
	r.pauseAndKill(r.signalRand, 0)
	time.Sleep(signalPhaseTime)
	s.to = time.Now()
	for _, w := range s.rejecting {
		w.RejectEvery(0, 0)
	}
	for _, w := range s.draining {
		w.Drain()
		r.retired = append(r.retired, retired{worker: w, at: time.Now()})
	}
}

// pickRejecting lists two of a service's workers that run and stay, or all.
func (r *run) pickRejecting(service string, crowded bool) []*platformtest.Worker {
	var list []*platformtest.Worker
	for _, w := range r.workers[service] {
		if r.hasLeft(w) || slices.Contains(r.leaving, w) || !isRunning(w) || len(list) == 2 && !crowded {
			continue
		}
		list = append(list, w)
	}
	return list
}

func (r *run) rejectAll() {
	for _, w := range r.signalPhase.rejecting {
		r.reject(w)
	}
}

// takeStoreDown has the store be away for a while.
func (r *run) takeStoreDown() {
	began := time.Now()
	r.beginUnplanned()
	r.site.Store.SetDown(true)
	time.Sleep(storeOutage)
	r.site.Store.SetDown(false)
	r.endUnplanned()
	r.storeFaults.add(began, time.Now())
}

// checkSignals holds the arrivals at the workers of the last phase against the rules on draining
// and backoffs.
func (r *run) checkSignals() {
	s := &r.signalPhase
	if s.from.IsZero() {
		return
	}
	log := r.signalLog()
	requests := 0
	for _, w := range s.draining {
		arrivals := arrivalsBetween(w.Arrivals(), s.from, s.to)
		requests += len(arrivals)
		r.failures = append(r.failures, withPrefix("DRAINING", log.DrainingViolations(w.ID, arrivals))...)
	}
	rejected := 0
	for _, w := range s.rejecting {
		rejections := slices.DeleteFunc(w.Rejections(), func(x platformtest.Rejection) bool {
			// Calls carry no id: of whom they are is known only while their leader stays.
			over := x.At.Add(x.Backoff)
			return x.At.Before(s.from) || over.After(s.to) || x.ID == "" && over.After(s.calm)
		})
		rejected += len(rejections)
		r.failures = append(r.failures, withPrefix("BACKOFF", log.BackoffViolations(rejections, w.Arrivals()))...)
	}
	r.t.Logf("%d workers drained and got %d requests, %d rejected %d", len(s.draining), requests, len(s.rejecting), rejected)
}

// signalLog is what clients saw of the workers that drained.
func (r *run) signalLog() *signaltest.Log {
	log := &signaltest.Log{Excused: func(node string, from, to time.Time) bool {
		return slices.ContainsFunc(r.excuses, func(e excuse) bool {
			return e.front == node && e.from.Before(to) && e.to.After(from)
		})
	}}
	for _, sent := range r.record.list {
		log.RecordRequest(sent.id, sent.node, sent.at)
		parts := strings.Split(sent.response.Stamp, ".")
		if len(parts) < 2 || sent.at.Before(r.signalPhase.announced) {
			continue
		}
		if slices.ContainsFunc(r.signalPhase.draining, func(w *platformtest.Worker) bool { return w.ID == parts[1] }) {
			log.RecordDraining(parts[1], sent.node, sent.at.Add(sent.took))
		}
	}
	return log
}

// arrivalsBetween returns the arrivals between two moments.
func arrivalsBetween(list []platformtest.Arrival, from, to time.Time) []platformtest.Arrival {
	return slices.DeleteFunc(list, func(a platformtest.Arrival) bool { return a.At.Before(from) || a.At.After(to) })
}

func withPrefix(kind string, found []string) []string {
	for i := range found {
		found[i] = kind + ": " + found[i]
	}
	return found
}
