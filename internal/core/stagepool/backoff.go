package stagepool

import "time"

// Backoff stops all requests to an endpoint, both calls and frees, until the given time.
func (p *Pool) Backoff(now time.Time, endpoint string, until time.Time) []Action {
	for _, s := range p.services {
		s.version++
		for _, w := range s.endpoints {
			if w.spec.ID == endpoint && until.After(w.backoffUntil) {
				w.backoffUntil = until
			}
		}
	}
	p.dispatchAll(now)
	return p.takeActions()
}

func (w *endpoint) inBackoff(now time.Time) bool { return now.Before(w.backoffUntil) }

// backoffEnd returns the earliest end of backoff and true if all endpoints of a service are in
// backoff or leaving, and at least one is in backoff.
func (s *service) backoffEnd(now time.Time) (at time.Time, closed bool) {
	for _, w := range s.endpoints {
		switch {
		case w.leaving:
		case !w.inBackoff(now):
			return time.Time{}, false
		case at.IsZero() || w.backoffUntil.Before(at):
			at = w.backoffUntil
		}
	}
	return at, !at.IsZero()
}

// maxBackoffWaitShare is the fraction of the time until its soft deadline that a task may spend
// waiting for the end of a backoff.
const maxBackoffWaitShare = 0.5

// backoffWait returns how long a task has to wait until a service has an endpoint out of backoff,
// and false if that is too long.
func (s *service) backoffWait(now time.Time, t Task) (time.Duration, bool) {
	at, closed := s.backoffEnd(now)
	if !closed {
		return 0, true
	}
	wait := at.Sub(now)
	return wait, wait <= time.Duration(maxBackoffWaitShare*float64(t.SoftDeadline.Sub(now)))
}

// retryAfter returns the retry delay of a task that is rejected because a service has no available
// endpoint.
func (p *Pool) retryAfter(now time.Time, t Task) time.Duration {
	retryAfter := closedRetryAfter
	for _, st := range t.Stages {
		s, ok := p.services[st.Service]
		if !ok || st.Pieces == 0 {
			continue
		}
		if at, closed := s.backoffEnd(now); closed {
			retryAfter = max(retryAfter, at.Sub(now))
		}
	}
	return retryAfter
}
