package soak

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/platform/platformtest"
)

const (
	// coldSeed parts the draws of cold workers from the others, coldShare is how many troubles
	// there are for one worker that turns cold.
	coldSeed = 23
	coldOdds = 3
	// coldPerSecond is what a cold worker handles, and coldAllowed how many requests it may get
	// in any second: 1.5 times that, and 5 more.
	coldPerSecond    = 10.0
	maxColdPerSecond = 20
	// coldPhaseTime is how long workers are cold in the last phase, coldKnown how long nodes may take
	// to know it: two heartbeats and what the list takes to be read and passed on.
	coldPhaseTime   = 7 * time.Second
	coldPropagation = 2500 * time.Millisecond
)

// coldWorker is a worker that was cold in the last phase.
type coldWorker struct {
	worker   *platformtest.Worker
	from, to time.Time
}

// maybeTurnCold has, now and then, a worker turn cold for a while.
func (r *run) maybeTurnCold() {
	if r.coldRand.IntN(coldOdds) > 0 {
		return
	}
	r.pickWorker(r.coldRand).SetCold(randomDuration(r.coldRand, minFaultMS, maxFaultMS))
}

// runColdPhase has two of the workers of a service, or all of them, turn cold with nothing else
// wrong.
func (r *run) runColdPhase() {
	crowded := []string{"desk", "model"}[r.coldRand.IntN(2)]
	from := time.Now()
	for _, service := range []string{"desk", "model"} {
		count := 0
		for _, w := range r.workers[service] {
			if r.hasLeft(w) || slices.Contains(r.leaving, w) || !isRunning(w) || count == 2 && service != crowded {
				continue
			}
			count++
			w.SetCold(coldPhaseTime)
			r.coldWorkers = append(r.coldWorkers, coldWorker{worker: w, from: from, to: from.Add(coldPhaseTime)})
		}
	}
	time.Sleep(coldPhaseTime)
}

// checkCold holds that no worker got more than it could handle while it was cold, from when all
// nodes had time to know it.
func (r *run) checkCold() {
	highest := 0
	for _, c := range r.coldWorkers {
		var times []time.Time
		for _, at := range c.worker.ArrivalTimes() {
			if at.After(c.from.Add(coldPropagation)) && at.Before(c.to) {
				times = append(times, at)
			}
		}
		got := intaketest.MaxIn(times, time.Second)
		highest = max(highest, got)
		if got > maxColdPerSecond {
			r.fail("COLD: %s of %s got %d requests in a second while it was cold, %d are allowed", c.worker.ID, c.worker.Service, got, maxColdPerSecond)
		}
	}
	if len(r.coldWorkers) > 0 {
		r.t.Logf("%d workers were cold, at most %d requests in a second, %d are allowed", len(r.coldWorkers), highest, maxColdPerSecond)
	}
}
