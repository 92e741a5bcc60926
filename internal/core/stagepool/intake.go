package stagepool

import (
	"maps"
	"slices"
	"time"
)

// called counts a call that goes out to the endpoint.
func (w *endpoint) called(now time.Time) {
	w.sends.Add(now, w.pace)
	w.freeTurn = w.pace.Bounded(now) && len(w.unfreed) > 0
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

// giveUp has results given up at their maker. One that bounds the requests that it takes from
// all nodes together gets them in few: one for each stage of a task would leave no turn for
// calls.
func (p *Pool) giveUp(now time.Time, w *endpoint, handles []string, bytes int64) {
	w.unfreed = append(w.unfreed, handles...)
	w.unfreedBytes += bytes
	if !w.pace.Bounded(now) && !w.inBackoff(now) {
		p.free(w)
	}
}

// free gives up all that is to be.
func (p *Pool) free(w *endpoint) {
	p.emit(Free{Endpoint: w.spec.ID, Address: w.spec.Address, Domain: w.spec.Domain, Handles: w.unfreed})
	w.unfreed, w.unfreedBytes, w.freeTurn = nil, 0, false
}

// freeBounded gives up what is to be at endpoints that bound the requests that they take, as
// far as these have a turn. Those of an endpoint that leaves end by themselves: late as they
// are, they would reach it when it must get nothing more.
func (p *Pool) freeBounded(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		for _, w := range s.endpoints {
			if w.leaving {
				w.unfreed, w.unfreedBytes, w.freeTurn = nil, 0, false
			}
			callFirst := w.pace.Bounded(now) && len(s.queue) > 0 && !w.freeTurn && w.idle(now)
			if len(w.unfreed) == 0 || w.inBackoff(now) || !w.pace.Due(now, &w.sends) || callFirst {
				continue
			}
			w.sends.Add(now, w.pace)
			p.free(w)
		}
	}
}

// crowdedOutReason is the reason of tasks that wait for a service of which all endpoints bound
// what they take, and would be late.
const crowdedOutReason = "no endpoint of a stage takes it in time"

// endCrowdedOut gives up the tasks for which no work was done, and that would be late, at
// services of which all endpoints bound what they take, and any that would miss their deadline
// since all are in backoff. They were let in when more was taken; behind those that are still in
// time they would wait for their deadline in vain.
func (p *Pool) endCrowdedOut(now time.Time) {
	var out []*task
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		if len(s.queue) == 0 || !s.bounded(now) {
			continue
		}
		wait := time.Duration(0)
		if at, closed := s.reopens(now); closed {
			wait = at.Sub(now)
		}
		for _, e := range s.queue {
			ends := now.Add(wait + p.need(e.task, e.stage))
			if !e.task.worked && ends.After(e.task.SoftDeadline) || wait > 0 && ends.After(e.task.Deadline) {
				out = append(out, e.task)
			}
		}
	}
	for _, t := range out {
		if _, ok := p.tasks[t.id]; ok {
			p.fail(now, t, crowdedOutReason, p.retryAfter(now, t.Task))
		}
	}
}

// bounded reports whether all endpoints of a service that are not leaving bound what they take, or
// are in backoff.
func (s *service) bounded(now time.Time) bool {
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
