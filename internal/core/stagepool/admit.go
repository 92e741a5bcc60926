package stagepool

import (
	"time"

	"gradetiller.example/internal/core/mechanism"
)

const (
	// softMissDeadlineShare is the part of the time left within which a task that
	// can't reach its aim must still end.
	softMissDeadlineShare = 0.6
	// marginDivisor of the predicted time is kept to spare: a task that is let in
	// on the edge is late as soon as anything goes wrong, and makes others late.
	marginDivisor = 16
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// fastestCallTime is the expected time of a call for n pieces of a service.
func (p *Pool) fastestCallTime(name string, n int) time.Duration {
	s, ok := p.services[name]
	if !ok {
		return 0
	}
	return time.Duration(s.fastestSpeed() * float64(s.callDuration(min(n, s.conf.Batch))))
}

// piecesAhead counts the waiting pieces that go before a task of a priority.
func (s *service) piecesAhead(priority int) int {
	n := 0
	for at, pieces := range s.backlog {
		if at <= priority {
			n += pieces
		}
	}
	return n
}

// inputsReadyAt is when all stages that another comes after are finished.
func inputsReadyAt(finish []time.Duration, after []int) time.Duration {
	ready := time.Duration(0)
	for _, i := range after {
		ready = max(ready, finish[i])
	}
	return ready
}

// forecast returns the time until the last result of a task with a plan.
func (p *Pool) forecast(t Task, planned time.Duration) time.Duration {
	if p.off.Has(mechanism.Forecast) {
		return planned
	}
	return planned + p.overruns[t.depth()].value()
}

// estimate returns the time until a task's last result as far as queues, calls and room
// tell it, and false when a service has no endpoint.
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
		if !ok {
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

// minDuration is the time that a task would take alone.
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

// admit refuses a task that would be late because others wait. A task that
// would be late even alone is taken as long as its deadline is safe.
func (p *Pool) admit(now time.Time, t Task, finish time.Duration) (Verdict, bool) {
	aim := t.SoftDeadline.Sub(now)
	if p.off.Has(mechanism.Admission) || finish+finish/marginDivisor <= aim+t.Allowance {
		return Verdict{}, false
	}
	alone := p.minDuration(t)
	limit := time.Duration(softMissDeadlineShare * float64(t.Deadline.Sub(now)))
	if alone > aim && finish <= limit && finish < 2*alone {
		return Verdict{}, false
	}
	again := finish - max(aim, alone)
	return Verdict{Finish: finish, RetryAfter: min(max(again, minRetryAfter), maxRetryAfter)}, true
}
