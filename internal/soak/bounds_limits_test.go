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
	// minAdvertiseTime is how long a worker of the check of bounds names one limit at least, and
	// namesNone how long it names none at most before.
	minAdvertiseTime = 8 * time.Second
	maxUnlimitedTime = time.Second
	// rateLimitedModels are the models that name limits, of four.
	rateLimitedModels = 2
)

// boundsRateLimits are what the workers of the check of bounds name, in requests a second.
var boundsRateLimits = []float64{0, 0.5, 1, 2, 5}

// pickRateLimited has some of the models name limits as well, which then don't begin anew.
func (r *boundsRun) pickRateLimited() {
	for range rateLimitedModels {
		i := slices.IndexFunc(r.otherWorkers, func(w *platformtest.Worker) bool { return w.Service == "model" })
		r.rateLimiting = append(r.rateLimiting, r.otherWorkers[i])
		r.otherWorkers = slices.Delete(r.otherWorkers, i, i+1)
	}
}

// advertiseLimits has workers name limits until ctx ends: each one for long, then others every
// second for a while.
func (r *boundsRun) advertiseLimits(ctx context.Context, draw *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(draw.Int64N(int64(maxUnlimitedTime))))
		count := 1 + draw.IntN(len(r.rateLimiting))
		from := time.Now()
		var named []rateLimitedWorker
		for _, w := range r.rateLimiting[:count] {
			l := rateLimitedWorker{worker: w, perSecond: boundsRateLimits[draw.IntN(len(boundsRateLimits))], from: from}
			advertiseLimit(w, l.perSecond)
			named = append(named, l)
		}
		sleep(ctx, minAdvertiseTime+time.Duration(draw.Int64N(int64(minAdvertiseTime))))
		r.mu.Lock()
		for _, l := range named {
			l.to = time.Now()
			r.rateLimited = append(r.rateLimited, l)
		}
		r.mu.Unlock()
		for range draw.IntN(4) {
			for _, l := range named {
				advertiseLimit(l.worker, boundsRateLimits[draw.IntN(len(boundsRateLimits))])
			}
			sleep(ctx, time.Second)
		}
		for _, l := range named {
			l.worker.AnnounceRateLimit("")
		}
	}
}

// limitViolations finds the workers that got more than they allowed, from the nodes to which nothing
// was done in the contact time before.
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
		got, all := l.maxArrivals(excused)
		sent += all
		highest = max(highest, float64(got)/float64(allowed))
		if got > allowed {
			found = append(found, fmt.Sprintf("%s LIMIT: %s of %s named %v requests a second and got %d in %v, %d are allowed", l.from.Format("05.000"), l.worker.ID, l.worker.Service, l.perSecond, got, intaketest.Span, allowed))
		}
	}
	r.t.Logf("%d times workers named limits, %d requests reached them then, at most %.2f of what is allowed", len(r.rateLimited), sent, highest)
	return found
}
