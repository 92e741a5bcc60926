package stagepool

import (
	"maps"
	"slices"
	"time"
)

// recordCall counts a call that goes out to the endpoint.
func (w *endpoint) recordCall(now time.Time) {
	w.sends.Add(now, w.pace)
	w.nextTurnFrees = w.pace.Bounded(now) && len(w.pendingFrees) > 0
}

// callRate is how many calls a second the endpoint takes, of those that it could work on. An
// endpoint that bounds its requests gets a call and what is to be given up by turns.
func (w *endpoint) callRate(now time.Time, works float64) float64 {
	rate, bounded := w.pace.PerSecond(now)
	if !bounded {
		return works
	}
	return min(works, rate/2)
}

// queueFree has results given up at their maker. One that bounds the requests that it takes from
// all nodes together gets them in few: one for each stage of a task would leave no turn for
// calls.
func (p *Pool) queueFree(now time.Time, w *endpoint, handles []string, bytes int64) {
	w.pendingFrees = append(w.pendingFrees, handles...)
	w.pendingFreeBytes += bytes
	if !w.pace.Bounded(now) && !w.inBackoff(now) {
		p.sendFree(w)
	}
}

// sendFree gives up all that is to be.
func (p *Pool) sendFree(w *endpoint) {
	p.emit(Free{Endpoint: w.spec.ID, Address: w.spec.Address, Domain: w.spec.Domain, Handles: w.pendingFrees})
	w.pendingFrees, w.pendingFreeBytes, w.nextTurnFrees = nil, 0, false
}

// flushFrees gives up what is to be at endpoints that bound the requests that they take, as
// far as these have a turn. Those of an endpoint that leaves end by themselves: late as they
// are, they would reach it when it must get nothing more.
func (p *Pool) flushFrees(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		for _, w := range s.endpoints {
			if w.leaving {
				w.pendingFrees, w.pendingFreeBytes, w.nextTurnFrees = nil, 0, false
			}
			callFirst := w.pace.Bounded(now) && len(s.queue) > 0 && !w.nextTurnFrees && w.available(now)
			if len(w.pendingFrees) == 0 || w.inBackoff(now) || !w.pace.Due(now, &w.sends) || callFirst {
				continue
			}
			w.sends.Add(now, w.pace)
			p.sendFree(w)
		}
	}
}

// reasonRateLimited is the reason of tasks that wait for a service of which all endpoints bound
// what they take, and would be late.
const reasonRateLimited = "no endpoint of a stage takes it in time"

// failRateLimited gives up the tasks for which no work was done, and that would be late, at
// services of which all endpoints bound what they take, and any that would miss their deadline
// since all are in backoff. They were let in when more was taken; behind those that are still in
// time they would wait for their deadline in vain.
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

// allLimited reports whether all endpoints of a service that are not leaving bound what they take, or
// are in backoff.
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
