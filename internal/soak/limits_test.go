package soak

import (
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/platform/platformtest"
)

const (
	// limitsSeed parts the draws of limits from the others, limitShare is how many troubles
	// there are for one worker that names a limit.
	limitsSeed    = 19
	rateLimitOdds = 3
	// limitPhaseTime is how long workers name their limits in the end with nothing else wrong,
	// and again while a node is paused and another one killed.
	limitPhaseTime = intaketest.GracePeriod + 4*time.Second
	// limitPropagation is how long it may take until all nodes are told.
	limitPropagation = 1500 * time.Millisecond
)

// rateLimits are what workers name, in requests a second.
var rateLimits = []float64{0, 0.5, 1, 1.5, 3, 5}

// rateLimitedWorker is a worker that named a limit in the last phase.
type rateLimitedWorker struct {
	worker    *platformtest.Worker
	perSecond float64
	from, to  time.Time
}

// excuse is a node to which something was done in the last phase: what it sent then, and until
// intaketest.Contact after it, does not count.
type excuse struct {
	front    string
	from, to time.Time
}

func (r *run) randomLimit() float64 { return rateLimits[r.limitRand.IntN(len(rateLimits))] }

func advertiseLimit(w *platformtest.Worker, perSecond float64) {
	w.AnnounceRateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
}

// maybeAdvertiseLimit has, now and then, a worker name a limit for a while, another one after a
// part of it, or one that comes and goes.
func (r *run) maybeAdvertiseLimit() {
	if r.limitRand.IntN(rateLimitOdds) > 0 {
		return
	}
	w := r.pickWorker(r.limitRand)
	first, second := r.randomLimit(), r.randomLimit()
	length := randomDuration(r.limitRand, minFaultMS, maxFaultMS)
	flaps := r.limitRand.IntN(2) == 0
	advertiseLimit(w, first)
	time.AfterFunc(length/2, func() {
		if flaps {
			w.AnnounceRateLimit("")
			time.Sleep(length / 8)
		}
		advertiseLimit(w, second)
	})
	time.AfterFunc(length, func() { w.AnnounceRateLimit("") })
}

// runLimitPhase has two of the workers of each service, or all of one service, name limits,
// first with nothing else wrong, then while nodes are paused and killed.
func (r *run) runLimitPhase() {
	all := []string{"desk", "model", "encode", "rank"}
	crowded := all[r.limitRand.IntN(len(all))]
	from := time.Now()
	for _, service := range all {
		count := 0
		for _, w := range r.workers[service] {
			if r.hasLeft(w) || slices.Contains(r.leaving, w) || !isRunning(w) || count == 2 && service != crowded {
				continue
			}
			count++
			l := rateLimitedWorker{worker: w, perSecond: r.randomLimit(), from: from}
			advertiseLimit(w, l.perSecond)
			r.rateLimited = append(r.rateLimited, l)
		}
	}
	time.Sleep(limitPhaseTime)
	r.pauseAndKill(r.limitRand, intaketest.GracePeriod)
	time.Sleep(limitPhaseTime)
	for i := range r.rateLimited {
		r.rateLimited[i].to = time.Now()
		r.rateLimited[i].worker.AnnounceRateLimit("")
	}
}

// pauseAndKill pauses a node for a while and restarts another one, and excuses them until some time
// after that.
func (r *run) pauseAndKill(draw *rand.Rand, excused time.Duration) {
	paused, killed := r.nodes[draw.IntN(len(r.nodes))], r.nodes[draw.IntN(len(r.nodes))]
	began := time.Now()
	r.beginUnplanned()
	paused.signal(syscall.SIGSTOP)
	time.Sleep(randomDuration(draw, minFaultMS, maxFaultMS))
	paused.signal(syscall.SIGCONT)
	killed.end(syscall.SIGKILL)
	killed.start()
	r.awaitReady(killed)
	r.endUnplanned()
	for _, p := range []*process{paused, killed} {
		r.excuses = append(r.excuses, excuse{front: p.Front, from: began, to: time.Now().Add(excused)})
	}
}

// isRunning reports whether a worker runs. One that has crashed for good stays in the run's list.
func isRunning(w *platformtest.Worker) bool {
	c, err := net.Dial("tcp", w.Address())
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// checkLimits holds that no worker got more than it allowed in the last phase, from all nodes
// together but those to which something was done, and that those that take any were sent some.
func (r *run) checkLimits() {
	nodes := make(map[string]string)
	for _, s := range r.record.list {
		nodes[s.id] = s.node
	}
	excused := func(a platformtest.Arrival) bool {
		return slices.ContainsFunc(r.excuses, func(e excuse) bool {
			return e.front == nodes[a.ID] && a.At.After(e.from) && a.At.Before(e.to)
		})
	}
	highest := 0.0
	for _, l := range r.rateLimited {
		allowed := intaketest.Allowed(l.perSecond)
		got, all := l.maxArrivals(excused)
		highest = max(highest, float64(got)/float64(allowed))
		if got > allowed {
			r.fail("LIMIT: %s of %s named %v requests a second and got %d in %v, %d are allowed", l.worker.ID, l.worker.Service, l.perSecond, got, intaketest.Span, allowed)
		}
		if all == 0 && l.perSecond >= 1 && l.worker.Service == "desk" {
			r.fail("LIMIT: %s of %s named %v requests a second and got none in %v", l.worker.ID, l.worker.Service, l.perSecond, l.to.Sub(l.from))
		}
	}
	if len(r.rateLimited) > 0 {
		r.t.Logf("%d workers named limits, at most %.2f of what is allowed", len(r.rateLimited), highest)
	}
}

// maxArrivals is the most that reached the worker in any span that ends intaketest.Contact or more after
// it named its limit, counted from when all nodes had time to be told, and all that did.
func (l rateLimitedWorker) maxArrivals(excused func(platformtest.Arrival) bool) (highest, all int) {
	var times []time.Time
	for _, a := range l.worker.Arrivals() {
		if a.At.After(l.from.Add(limitPropagation)) && a.At.Before(l.to) && !excused(a) {
			times = append(times, a.At)
		}
	}
	return intaketest.MaxInSpan(times, l.from.Add(intaketest.GracePeriod)), len(times)
}
