package stagepool

import "time"

// Backoff has nothing go to an endpoint until a moment, neither calls nor results to give up.
func (p *Pool) Backoff(now time.Time, endpoint string, until time.Time) []Action {
	for _, s := range p.services {
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

// backoffEnd is the first end of a backoff of a service of which all endpoints are in backoff or
// leave, or false.
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

// maxBackoffWaitShare is the share of the time until its aim that a task may wait for the end of a backoff.
const maxBackoffWaitShare = 0.5

// backoffWait is how long a task has to wait until a service is out of backoff, and false if that is
// too long.
func (s *service) backoffWait(now time.Time, t Task) (time.Duration, bool) {
	at, closed := s.backoffEnd(now)
	if !closed {
		return 0, true
	}
	wait := at.Sub(now)
	return wait, wait <= time.Duration(maxBackoffWaitShare*float64(t.SoftDeadline.Sub(now)))
}

// retryAfter is when a task may come back for which a service has no endpoint.
func (p *Pool) retryAfter(now time.Time, t Task) time.Duration {
	again := closedRetryAfter
	for _, st := range t.Stages {
		s, ok := p.services[st.Service]
		if !ok || st.Pieces == 0 {
			continue
		}
		if at, closed := s.backoffEnd(now); closed {
			again = max(again, at.Sub(now))
		}
	}
	return again
}
