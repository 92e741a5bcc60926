package stagepool

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/share"
)

const (
	// softMissDeadlineShare is the fraction of the time until the deadline within which a task that
	// can't meet its soft deadline must be predicted to finish.
	softMissDeadlineShare = 0.6
	// One marginDivisor-th of the predicted time is added as a safety margin: a task admitted at
	// the limit is late after any disturbance, and delays others.
	marginDivisor = 16
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// fastestCallTime returns the expected duration of a call for n pieces at the fastest endpoint of a
// service.
func (p *Pool) fastestCallTime(name string, n int) time.Duration {
	s, ok := p.services[name]
	if !ok {
		return 0
	}
	return time.Duration(s.fastestSpeed() * float64(s.callDuration(min(n, s.conf.Batch))))
}

// piecesAhead returns the number of unassigned pieces that are served before a task of the given
// priority.
func (s *service) piecesAhead(priority int) int {
	n := 0
	for at, pieces := range s.backlog {
		if at <= priority {
			n += pieces
		}
	}
	return n
}

// inputsReadyAt returns when all stages in after are finished.
func inputsReadyAt(finish []time.Duration, after []int) time.Duration {
	ready := time.Duration(0)
	for _, i := range after {
		ready = max(ready, finish[i])
	}
	return ready
}

// forecast returns the predicted time until the last result of a task: its estimate plus the
// overrun learned for its depth.
func (p *Pool) forecast(t Task, planned time.Duration) time.Duration {
	if p.off.Has(mechanism.Forecast) {
		return planned
	}
	return planned + p.overruns[t.depth()].value()
}

// mayServe reports whether an endpoint of the service is in a failure domain that the task may use.
func (s *service) mayServe(t *Task) bool {
	return t.Domains == nil || slices.ContainsFunc(s.endpoints, func(w *endpoint) bool { return !w.leaving && t.Domains(w.spec.Domain) })
}

// estimate returns the time until the last result of a task, given the current queues, calls and
// room, and false when a service has no endpoint.
func (p *Pool) estimate(now time.Time, t Task) (time.Duration, bool) {
	finish := make([]time.Duration, len(t.Stages))
	longest := time.Duration(0)
	for i, st := range t.Stages {
		ready := inputsReadyAt(finish, st.After)
		if st.Pieces == 0 {
			finish[i] = ready
			continue
		}
		s, ok := p.services[st.Service]
		if !ok || !s.mayServe(&t) {
			return 0, false
		}
		backoff, ok := s.backoffWait(now, t)
		if !ok {
			return 0, false
		}
		rate := s.pieceRate(now.Add(backoff))
		if rate == 0 {
			return 0, false
		}
		ahead := s.piecesAhead(t.Priority)
		queue := time.Duration(float64(ahead) / rate * float64(time.Second))
		wait := max(queue-ready, backoff-ready, 0)
		if ready == 0 {
			wait = max(wait, s.untilFree(now))
		} else if queue > 0 {
			wait = max(wait, s.callDuration(1)/time.Duration(2*max(len(s.endpoints), 1)))
		}
		calls := (st.Pieces + s.conf.Batch - 1) / s.conf.Batch
		share := st.Pieces + min(s.piecesAhead(t.Priority)/max(len(s.endpoints), 1), s.conf.Batch)
		work := s.callDuration(min(share, s.conf.Batch))
		rounds := (calls + len(s.endpoints) - 1) / max(len(s.endpoints), 1)
		finish[i] = ready + wait + time.Duration(rounds)*time.Duration(s.fastestSpeed()*float64(work))
		longest = max(longest, finish[i])
	}
	return longest, true
}

// minDuration returns how long a task would take on an idle pool.
func (p *Pool) minDuration(t Task) time.Duration {
	finish := make([]time.Duration, len(t.Stages))
	longest := time.Duration(0)
	for i, st := range t.Stages {
		ready := inputsReadyAt(finish, st.After)
		finish[i] = ready
		if st.Pieces > 0 {
			finish[i] += p.fastestCallTime(st.Service, st.Pieces)
		}
		longest = max(longest, finish[i])
	}
	return longest
}

// admit rejects a task that would miss its soft deadline because of other tasks. A task that would
// miss it even on an idle pool is admitted if its deadline is safe.
func (p *Pool) admit(now time.Time, t *Task, finish time.Duration, booked bool) (Admission, bool) {
	softLimit := t.SoftDeadline.Sub(now)
	misfit, ok := p.inTime(now, t, finish, booked)
	if ok || p.off.Has(mechanism.Admission) {
		return Admission{}, false
	}
	unloaded := p.minDuration(*t)
	hardLimit := time.Duration(softMissDeadlineShare * float64(t.Deadline.Sub(now)))
	if unloaded > softLimit && finish <= hardLimit && finish < 2*unloaded {
		return Admission{}, false
	}
	retryAfter := min(max(finish-max(softLimit, unloaded), minRetryAfter), maxRetryAfter)
	if p.scheduled && t.Patience > 0 {
		// The predicted time doesn't tell when there is room for the task: new requests take it as soon
		// as it is there. The later a client returns, the more likely is it that the peak is over.
		retryAfter = max(t.Patience, minRetryAfter)
	}
	return Admission{Finish: finish, RetryAfter: retryAfter, Misfit: misfit}, true
}

// inTime reports whether a task can be admitted without being late or making others late. Others left
// room for a task that uses a booking.
func (p *Pool) inTime(now time.Time, t *Task, finish time.Duration, booked bool) (Misfit, bool) {
	if p.scheduled && booked {
		return p.fitsBooked(now, t)
	}
	if p.scheduled {
		return p.fits(now, t, p.headroom(now, t))
	}
	return Misfit{}, finish+finish/marginDivisor <= t.SoftDeadline.Sub(now)+t.Allowance
}

// headroom returns which part of the room that a task may be asked for it has to leave. A return without a
// booking leaves all of it to new requests.
func (p *Pool) headroom(now time.Time, t *Task) float64 {
	if p.books() && p.book.Returned(now, t.Content) {
		// Otherwise each return that is admitted takes the room of a new request, which returns in its
		// turn, so that a load peak lasts on in the returns.
		return 1
	}
	if p.off.Has(mechanism.Shares) {
		return 0
	}
	return p.shares.Headroom(now, t.shareRequest())
}

// shareRequest returns what the shares need to know of the task.
func (t *Task) shareRequest() share.Request {
	return share.Request{
		Route: t.Route, Account: t.Account, Priority: share.Priority{Account: t.Priority, Route: t.RoutePriority},
		Tokens: t.Tokens, Content: t.Content,
	}
}
