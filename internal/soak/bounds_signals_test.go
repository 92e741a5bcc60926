package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"gradetiller.example/platform/platformtest"
)

// A worker that announces draining stays listed as ready for drainingListed at least, and as long
// again at most.
const minDrainingListed = 4 * time.Second

// drainedWorker is a worker that announced draining, until the store was to list it so.
type drainedWorker struct {
	worker *platformtest.Worker
	from   time.Time
	to     time.Time
}

// announceDraining has one worker after the other announce draining in its answers, while the store
// lists it as ready.
func (r *boundsRun) announceDraining(ctx context.Context, draw *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		service := []string{"desk", "model"}[n%2]
		w := r.addWorker(service)
		sleep(ctx, listingTime)
		a := drainedWorker{worker: w, from: time.Now()}
		r.mu.Lock()
		r.drainingSince[w.ID] = a.from
		r.mu.Unlock()
		w.AnnounceDraining(true)
		sleep(ctx, minDrainingListed+time.Duration(draw.Int64N(int64(minDrainingListed))))
		a.to = time.Now()
		w.Drain()
		r.mu.Lock()
		r.drainedWorkers = append(r.drainedWorkers, a)
		r.mu.Unlock()
	}
}

func (r *boundsRun) addWorker(service string) *platformtest.Worker {
	w := r.site.AddWorkers(service, 1)[0]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceOf[w.ID] = service
	return w
}

// rejectRequests has two workers of a desk and two of the models reject requests with backoffs that
// come and go.
func (r *boundsRun) rejectRequests(ctx context.Context, draw *rand.Rand) {
	for _, service := range []string{"desk", "desk", "model", "model"} {
		r.rejecting = append(r.rejecting, r.addWorker(service))
	}
	for ctx.Err() == nil {
		for _, w := range r.rejecting[:1+draw.IntN(len(r.rejecting))] {
			w.RejectEvery(1+draw.IntN(maxRejectInterval), randomDuration(draw, 500, 3000))
		}
		sleep(ctx, randomDuration(draw, 500, 5000))
		for _, w := range r.rejecting {
			w.RejectEvery(0, 0)
		}
		sleep(ctx, randomDuration(draw, 200, 1500))
	}
}

// recordSent records a request for the checks of signals.
func (r *boundsRun) recordSent(id string, node int, at time.Time) {
	r.signals.RecordRequest(id, strconv.Itoa(node), at)
}

// recordAnswer records the answer to a request that was sent at a moment.
func (r *boundsRun) recordAnswer(a platformtest.Response, node int, sent time.Time) {
	parts := strings.Split(a.Stamp, ".")
	if len(parts) < 2 {
		return
	}
	r.mu.Lock()
	from, ok := r.drainingSince[parts[1]]
	r.mu.Unlock()
	if ok && sent.After(from) {
		r.signals.RecordDraining(parts[1], strconv.Itoa(node), time.Now())
	}
}

// signalViolations finds the requests that reached workers which drain or are in backoff, from nodes
// that were neither restarted nor frozen.
func (r *boundsRun) signalViolations() (found []string) {
	r.signals.Excused = func(node string, from, to time.Time) bool {
		n, err := strconv.Atoi(node)
		return err == nil && overlaps(r.restarted[n], from, to)
	}
	known, late := 0, 0
	for _, a := range r.drainedWorkers {
		known += r.signals.NodesNotified(a.worker.ID)
		arrivals := arrivalsBetween(a.worker.Arrivals(), a.from, a.to)
		late += len(arrivals)
		found = append(found, withPrefix("DRAINING", r.signals.DrainingViolations(a.worker.ID, arrivals))...)
	}
	rejected := 0
	for _, w := range r.rejecting {
		// Calls of other nodes than the leader, for lists of what a model holds, carry no id.
		arrivals := slices.DeleteFunc(w.Arrivals(), func(a platformtest.Arrival) bool { return a.ID == "" })
		rejected += len(w.Rejections())
		found = append(found, withPrefix("BACKOFF", r.signals.BackoffViolations(w.Rejections(), arrivals))...)
	}
	r.t.Logf("%d workers drained unlisted, told %d nodes and got %d requests; %d requests were rejected with a backoff", len(r.drainedWorkers), known, late, rejected)
	return found
}
