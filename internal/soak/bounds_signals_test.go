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

// minDrainingListed is the minimum time for which a worker that announces draining stays listed
// as ready. The maximum is twice as long.
const minDrainingListed = 4 * time.Second

// drainedWorker is a worker that announced draining, with the time from the announcement until
// it was drained in the store.
type drainedWorker struct {
	worker *platformtest.Worker
	from   time.Time
	to     time.Time
}

// announceDraining makes one worker after the other announce draining in its responses while
// the store lists it as ready.
func (r *boundsRun) announceDraining(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		service := []string{"desk", "model"}[n%2]
		w := r.addWorker(service)
		sleep(ctx, listingTime)
		a := drainedWorker{worker: w, from: time.Now()}
		r.mu.Lock()
		r.drainingSince[w.ID] = a.from
		r.mu.Unlock()
		w.AnnounceDraining(true)
		sleep(ctx, minDrainingListed+time.Duration(rng.Int64N(int64(minDrainingListed))))
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

// rejectRequests makes two desk workers and two model workers reject requests with backoffs
// from time to time.
func (r *boundsRun) rejectRequests(ctx context.Context, rng *rand.Rand) {
	for _, service := range []string{"desk", "desk", "model", "model"} {
		r.rejecting = append(r.rejecting, r.addWorker(service))
	}
	for ctx.Err() == nil {
		for _, w := range r.rejecting[:1+rng.IntN(len(r.rejecting))] {
			w.RejectEvery(1+rng.IntN(maxRejectInterval), randomDuration(rng, 500, 3000))
		}
		sleep(ctx, randomDuration(rng, 500, 5000))
		for _, w := range r.rejecting {
			w.RejectEvery(0, 0)
		}
		sleep(ctx, randomDuration(rng, 200, 1500))
	}
}

// recordSent records a request for the checks of signals.
func (r *boundsRun) recordSent(id string, node int, at time.Time) {
	r.signals.RecordRequest(id, strconv.Itoa(node), at)
}

// recordResponse records the response to a request if it announces draining.
func (r *boundsRun) recordResponse(a platformtest.Response, node int, sent time.Time) {
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

// signalViolations returns a message for each violation of draining or backoff. It ignores
// requests from nodes that were being restarted or frozen.
func (r *boundsRun) signalViolations() (found []string) {
	r.signals.Excused = func(node string, from, to time.Time) bool {
		n, err := strconv.Atoi(node)
		return err == nil && overlaps(r.restarted[n], from, to)
	}
	notified, late := 0, 0
	for _, a := range r.drainedWorkers {
		notified += r.signals.NodesNotified(a.worker.ID)
		arrivals := arrivalsBetween(a.worker.Arrivals(), a.from, a.to)
		late += len(arrivals)
		found = append(found, withPrefix("DRAINING", r.signals.DrainingViolations(a.worker.ID, arrivals))...)
	}
	rejected := 0
	for _, w := range r.rejecting {
		// Nodes other than the leader also query a model worker for its cache contents. These
		// calls have no ID.
		arrivals := slices.DeleteFunc(w.Arrivals(), func(a platformtest.Arrival) bool { return a.ID == "" })
		rejected += len(w.Rejections())
		found = append(found, withPrefix("BACKOFF", r.signals.BackoffViolations(w.Rejections(), arrivals))...)
	}
	r.t.Logf("%d workers announced draining while listed as ready, notified %d nodes and received %d requests; %d requests were rejected with a backoff", len(r.drainedWorkers), notified, late, rejected)
	return found
}
