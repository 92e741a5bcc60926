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
	// namesFor is how long a worker of the check of bounds names one limit at least, and
	// namesNone how long it names none at most before.
	namesFor  = 8 * time.Second
	namesNone = time.Second
	// modelsLimited are the models that name limits, of four.
	modelsLimited = 2
)

// boundsLimits are what the workers of the check of bounds name, in requests a second.
var boundsLimits = []float64{0, 0.5, 1, 2, 5}

// limitSome has some of the models name limits as well, which then don't begin anew.
func (r *boundsRun) limitSome() {
	for range modelsLimited {
		i := slices.IndexFunc(r.engines, func(w *platformtest.Worker) bool { return w.Service == "model" })
		r.limiting = append(r.limiting, r.engines[i])
		r.engines = slices.Delete(r.engines, i, i+1)
	}
}

// limitWorkers has workers name limits until ctx ends: each one for long, then others every
// second for a while.
func (r *boundsRun) limitWorkers(ctx context.Context, draw *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(draw.Int64N(int64(namesNone))))
		count := 1 + draw.IntN(len(r.limiting))
		from := time.Now()
		var named []limitedWorker
		for _, w := range r.limiting[:count] {
			l := limitedWorker{worker: w, perSecond: boundsLimits[draw.IntN(len(boundsLimits))], from: from}
			nameLimit(w, l.perSecond)
			named = append(named, l)
		}
		sleep(ctx, namesFor+time.Duration(draw.Int64N(int64(namesFor))))
		r.mu.Lock()
		for _, l := range named {
			l.to = time.Now()
			r.limited = append(r.limited, l)
		}
		r.mu.Unlock()
		for range draw.IntN(4) {
			for _, l := range named {
				nameLimit(l.worker, boundsLimits[draw.IntN(len(boundsLimits))])
			}
			sleep(ctx, time.Second)
		}
		for _, l := range named {
			l.worker.AnnounceRateLimit("")
		}
	}
}

// overLimit finds the workers that got more than they allowed, from the nodes to which nothing
// was done in the contact time before.
func (r *boundsRun) overLimit() (found []string) {
	excused := func(a platformtest.Arrival) bool {
		node, ok := r.sentTo[a.ID]
		if !ok {
			var number int64
			if n, _ := fmt.Sscanf(a.ID, probeID+"%d-%d", &node, &number); n < 2 {
				return false
			}
		}
		return overlaps(r.history.disturbed[node], a.At.Add(-intaketest.GracePeriod), a.At)
	}
	highest, sent := 0.0, 0
	for _, l := range r.limited {
		allowed := intaketest.Allowed(l.perSecond)
		got, all := l.most(excused)
		sent += all
		highest = max(highest, float64(got)/float64(allowed))
		if got > allowed {
			found = append(found, fmt.Sprintf("%s LIMIT: %s of %s named %v requests a second and got %d in %v, %d are allowed", l.from.Format("05.000"), l.worker.ID, l.worker.Service, l.perSecond, got, intaketest.Span, allowed))
		}
	}
	r.t.Logf("%d times workers named limits, %d requests reached them then, at most %.2f of what is allowed", len(r.limited), sent, highest)
	return found
}
