package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/platform/platformtest"
)

const (
	// minAdvertiseTime is the minimum time for which a worker advertises one rate limit.
	// maxUnlimitedTime is the maximum time for which it advertised none before.
	minAdvertiseTime = 8 * time.Second
	maxUnlimitedTime = time.Second
	// rateLimitedModels is the number of model workers, out of four, that advertise rate
	// limits.
	rateLimitedModels = 2
)

// boundsRateLimits are the rate limits that workers advertise, in requests per second.
var boundsRateLimits = []float64{0, 0.5, 1, 2, 5}

// pickRateLimited moves some model workers to those that advertise rate limits. These don't
// restart.
func (r *boundsRun) pickRateLimited() {
	for range rateLimitedModels {
		i := slices.IndexFunc(r.otherWorkers, func(w *platformtest.Worker) bool { return w.Service == "model" })
		r.rateLimiting = append(r.rateLimiting, r.otherWorkers[i])
		r.otherWorkers = slices.Delete(r.otherWorkers, i, i+1)
	}
}

// advertiseLimits makes workers advertise rate limits until ctx ends: each keeps one limit for
// a long time and then changes it every second for a while.
func (r *boundsRun) advertiseLimits(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxUnlimitedTime))))
		count := 1 + rng.IntN(len(r.rateLimiting))
		from := time.Now()
		var advertised []rateLimitedWorker
		for _, w := range r.rateLimiting[:count] {
			l := rateLimitedWorker{worker: w, perSecond: boundsRateLimits[rng.IntN(len(boundsRateLimits))], from: from}
			advertiseLimit(w, l.perSecond)
			advertised = append(advertised, l)
		}
		sleep(ctx, minAdvertiseTime+time.Duration(rng.Int64N(int64(minAdvertiseTime))))
		r.mu.Lock()
		for _, l := range advertised {
			l.to = time.Now()
			r.rateLimited = append(r.rateLimited, l)
		}
		r.mu.Unlock()
		for range rng.IntN(4) {
			for _, l := range advertised {
				advertiseLimit(l.worker, boundsRateLimits[rng.IntN(len(boundsRateLimits))])
			}
			sleep(ctx, time.Second)
		}
		for _, l := range advertised {
			l.worker.AnnounceRateLimit("")
		}
	}
}

// limitViolations returns a message for each worker that received more requests than its rate
// limit allows. It ignores requests from nodes that a fault affected during the grace period
// before.
func (r *boundsRun) limitViolations() (found []string) {
	excused := func(a platformtest.Arrival) bool {
		node, ok := r.nodeOf[a.ID]
		if !ok {
			var number int64
			if n, _ := fmt.Sscanf(a.ID, probePrefix+"%d-%d", &node, &number); n < 2 {
				return false
			}
		}
		return overlaps(r.history.disturbed[node], a.At.Add(-intaketest.GracePeriod), a.At)
	}
	highest, sent := 0.0, 0
	for _, l := range r.rateLimited {
		allowed := intaketest.Allowed(l.perSecond)
		got, count := l.maxArrivals(excused)
		sent += count
		highest = max(highest, float64(got)/float64(allowed))
		if got > allowed {
			found = append(found, fmt.Sprintf("%s LIMIT: %s of %s advertised %v requests per second and received %d in %v, %d are allowed", l.from.Format("05.000"), l.worker.ID, l.worker.Service, l.perSecond, got, intaketest.Span, allowed))
		}
	}
	r.t.Logf("%d advertised rate limits, %d requests received meanwhile, at most %.2f of what is allowed", len(r.rateLimited), sent, highest)
	return found
}
