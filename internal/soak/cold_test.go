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
	coldSeed  = 23
	coldShare = 3
	// coldPerSecond is what a cold worker handles, and coldAllowed how many requests it may get
	// in any second: 1.5 times that, and 5 more.
	coldPerSecond = 10.0
	coldAllowed   = 20
	// coldTime is how long workers are cold in the last phase, coldKnown how long nodes may take
	// to know it: two heartbeats and what the list takes to be read and passed on.
	coldTime  = 7 * time.Second
	coldKnown = 2500 * time.Millisecond
)

// cooled is a worker that was cold in the last phase.
type cooled struct {
	worker   *platformtest.Worker
	from, to time.Time
}

// coolNowAndThen has, now and then, a worker turn cold for a while.
func (r *run) coolNowAndThen() {
	if r.colds.IntN(coldShare) > 0 {
		return
	}
	r.drawWorker(r.colds).SetCold(between(r.colds, shortestFault, longestFault))
}

// coolWorkers has two of the workers of a service, or all of them, turn cold with nothing else
// wrong.
func (r *run) coolWorkers() {
	crowded := []string{"desk", "model"}[r.colds.IntN(2)]
	from := time.Now()
	for _, service := range []string{"desk", "model"} {
		count := 0
		for _, w := range r.workers[service] {
			if r.hasLeft(w) || slices.Contains(r.leaving, w) || !runs(w) || count == 2 && service != crowded {
				continue
			}
			count++
			w.SetCold(coldTime)
			r.cooled = append(r.cooled, cooled{worker: w, from: from, to: from.Add(coldTime)})
		}
	}
	time.Sleep(coldTime)
}

// checkCold holds that no worker got more than it could handle while it was cold, from when all
// nodes had time to know it.
func (r *run) checkCold() {
	highest := 0
	for _, c := range r.cooled {
		var times []time.Time
		for _, at := range c.worker.ArrivalTimes() {
			if at.After(c.from.Add(coldKnown)) && at.Before(c.to) {
				times = append(times, at)
			}
		}
		got := intaketest.MaxIn(times, time.Second)
		highest = max(highest, got)
		if got > coldAllowed {
			r.fail("COLD: %s of %s got %d requests in a second while it was cold, %d are allowed", c.worker.ID, c.worker.Service, got, coldAllowed)
		}
	}
	if len(r.cooled) > 0 {
		r.t.Logf("%d workers were cold, at most %d requests in a second, %d are allowed", len(r.cooled), highest, coldAllowed)
	}
}
