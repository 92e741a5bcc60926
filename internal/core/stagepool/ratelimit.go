package stagepool

import (
	"maps"
	"slices"
	"time"
)

// recordCall records a call sent to the endpoint.
func (w *endpoint) recordCall(now time.Time) {
	w.sends.Add(now, w.pace)
	w.nextSendFrees = w.pace.Bounded(now) && len(w.pendingFrees) > 0
}

// callRate returns how many calls per second the endpoint accepts, at most the maxRate that it can
// process. At a rate-limited endpoint, calls and frees alternate, so calls get half of the limit.
func (w *endpoint) callRate(now time.Time, maxRate float64) float64 {
	rate, bounded := w.pace.PerSecond(now)
	if !bounded {
		return maxRate
	}
	return min(maxRate, rate/2)
}

// queueFree queues results to be freed at the endpoint that holds them. Frees for a rate-limited
// endpoint are merged into few requests: one per task stage would use up the limit and leave none
// for calls.
func (p *Pool) queueFree(now time.Time, w *endpoint, handles []string, bytes int64) {
	w.pendingFrees = append(w.pendingFrees, handles...)
	w.pendingFreeBytes += bytes
	if !w.pace.Bounded(now) && !w.inBackoff(now) {
		p.sendFree(w)
	}
}

// sendFree frees all queued results of an endpoint.
func (p *Pool) sendFree(w *endpoint) {
	p.emit(Free{Endpoint: w.spec.ID, Address: w.spec.Address, Domain: w.spec.Domain, Handles: w.pendingFrees})
	w.pendingFrees, w.pendingFreeBytes, w.nextSendFrees = nil, 0, false
}

// flushFrees sends the queued frees of the endpoints that may be sent a request now, that is, whose
// rate limit permits it and whose backoff has ended. Frees for a leaving endpoint are dropped: its
// results end with it, and a late free would reach it when it must not get any more requests.
func (p *Pool) flushFrees(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		for _, w := range s.endpoints {
			if w.leaving {
				w.pendingFrees, w.pendingFreeBytes, w.nextSendFrees = nil, 0, false
			}
			callFirst := w.pace.Bounded(now) && len(s.queue) > 0 && !w.nextSendFrees && w.available(now)
			if len(w.pendingFrees) == 0 || w.inBackoff(now) || !w.pace.Due(now, &w.sends) || callFirst {
				continue
			}
			w.sends.Add(now, w.pace)
			p.sendFree(w)
		}
	}
}

// reasonRateLimited is the failure reason of tasks that wait for a service whose endpoints are all
// rate-limited, and would be late.
const reasonRateLimited = "no endpoint of a stage takes it in time"

// failRateLimited fails the tasks without any started work that would miss their soft deadline at a
// service whose endpoints are all rate-limited, and any task that would miss its deadline because
// all endpoints are in backoff. They were admitted when the service accepted more, and would wait
// until their deadline behind tasks that can still be on time.
func (p *Pool) failRateLimited(now time.Time) {
	var out []*task
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		if len(s.queue) == 0 || !s.allLimited(now) {
			continue
		}
		wait := time.Duration(0)
		if at, closed := s.backoffEnd(now); closed {
			wait = at.Sub(now)
		}
		for _, e := range s.queue {
			ends := now.Add(wait + p.minRemaining(e.task, e.stage))
			if !e.task.started && ends.After(e.task.SoftDeadline) || wait > 0 && ends.After(e.task.Deadline) {
				out = append(out, e.task)
			}
		}
	}
	for _, t := range out {
		if _, ok := p.tasks[t.id]; ok {
			p.fail(now, t, reasonRateLimited, p.retryAfter(now, t.Task))
		}
	}
}

// allLimited reports whether all endpoints of a service, other than leaving ones, are rate-limited
// or in backoff.
func (s *service) allLimited(now time.Time) bool {
	any := false
	for _, w := range s.endpoints {
		if w.leaving {
			continue
		}
		if !w.pace.Bounded(now) && !w.inBackoff(now) {
			return false
		}
		any = true
	}
	return any
}
