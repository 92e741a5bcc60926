package run

import (
	"time"

	"gradetiller.example/internal/core/attempt"
)

const (
	// A hedged call is sent once the first call has taken hedgeFactor times
	// the hedgeQuantile of the call times.
	hedgeQuantile = 0.95
	hedgeFactor   = 1.5
	minHedgeDelay = 10 * time.Millisecond
	// maxAttempts bounds the calls of one stage of one run, hedges included.
	maxAttempts = 4
	// The idle timeout between two tokens is idleFactor times the expected
	// gap, and at least minIdleTimeout.
	idleFactor     = 20
	minIdleTimeout = 250 * time.Millisecond
)

func (e *Engine) startCall(now time.Time, r *activeRun, p *pool, endpoint int) {
	e.lastCall++
	c := &call{id: e.lastCall, run: r, pool: p, endpoint: endpoint, stage: r.stage, started: now, atMostOnce: !r.repeatable()}
	// The call may be sent from here on, so it counts as sent.
	_ = c.machine.Apply(attempt.Send)
	e.calls[c.id] = c
	r.calls = append(r.calls, c)
	if r.attempts == 0 {
		p.retries.AddRequest()
	}
	r.attempts++
	req := e.placeRequest(r)
	p.place.Start(now, endpoint, req)
	spec := p.place.At(endpoint).Spec()
	summary := &r.stages[len(r.stages)-1]
	summary.Endpoint = spec.Name
	summary.Calls++
	stage := r.current()
	e.emit(Decision{Name: DecidePlace, RequestID: r.req.RequestID, Run: r.id, Stage: stage.Name(), Endpoint: spec.Name, Policy: p.conf.Place(), Reason: r.arm})
	e.emit(Call{
		Attempt:     c.id,
		Run:         r.id,
		RequestID:   r.req.RequestID,
		Pipeline:    r.pipeline.Name(),
		Stage:       stage.Name(),
		Endpoint:    spec.Name,
		Address:     spec.Address,
		Streams:     stage.Streams(),
		LastStage:   r.stage+1 == len(r.pipeline.Stages()),
		Version:     req.Version,
		MaxTokens:   stage.MaxTokens(),
		Repeatable:  r.repeatable(),
		Priority:    e.priority(now, r),
		Deadline:    r.deadline,
		IdleTimeout: e.idleTimeout(now, r),
		ResumeFrom:  r.tokens,
		Input:       r.input,
	})
	if e.mayHedge(r) {
		if d := e.hedgeDelay(now, r); d > 0 {
			e.schedule(now.Add(d), timer{kind: timerHedge, run: r.id, call: c.id})
		}
	}
}

// priority returns the share of the time left that the remaining stages need,
// scaled to MaxPriority.
func (e *Engine) priority(now time.Time, r *activeRun) int {
	left := r.deadline.Sub(now)
	if left <= 0 {
		return MaxPriority
	}
	need := e.remainingTime(now, r.pipeline, r.stage)
	return min(MaxPriority, int(float64(MaxPriority)*float64(need)/float64(left)))
}

func (e *Engine) idleTimeout(now time.Time, r *activeRun) time.Duration {
	if !r.current().Streams() || e.cfg.Policies().PlainRetry() {
		return 0
	}
	took := e.estimate(now, r.pipeline.Name(), r.current().Name()).callTimes.Quantile(now, hedgeQuantile)
	gap := took / time.Duration(max(r.current().MaxTokens(), 1))
	return max(idleFactor*gap, minIdleTimeout)
}

func (e *Engine) mayHedge(r *activeRun) bool {
	return r.repeatable() && !e.cfg.Policies().PlainRetry()
}

func (e *Engine) hedgeDelay(now time.Time, r *activeRun) time.Duration {
	est := e.estimate(now, r.pipeline.Name(), r.current().Name())
	measured := est.callTimes
	if r.current().Streams() {
		measured = est.firstTokenTimes
	}
	q := measured.Quantile(now, hedgeQuantile)
	if q == 0 {
		return 0
	}
	return max(time.Duration(hedgeFactor*float64(q)), minHedgeDelay)
}

// hedge handles a call that exceeded its hedge delay: it lowers the speed
// estimate of the endpoint and sends a second call to another endpoint if the
// retry budget allows it.
func (e *Engine) hedge(now time.Time, c *call) {
	r := c.run
	if c.dropped || c.machine.State().Final() {
		return
	}
	if r.current().Streams() && c.machine.State() == attempt.Answering {
		return
	}
	c.pool.place.ObserveOverdue(now, c.endpoint, now.Sub(c.started))
	if len(r.calls) > 1 || r.attempts >= maxAttempts {
		return
	}
	r.exclude = c.endpoint
	i, ok := c.pool.place.Choose(now, e.placeRequest(r))
	if !ok || !c.pool.retries.TryAcquire() {
		return
	}
	e.counters.Hedges++
	e.emit(Decision{Name: DecideHedge, RequestID: r.req.RequestID, Run: r.id, Stage: r.current().Name(), Endpoint: c.pool.place.At(i).Spec().Name, Reason: "the first call is late"})
	e.startCall(now, r, c.pool, i)
}

// FirstToken records the arrival of a call's first token. It reports whether the
// call's tokens are used; if so, the other calls of the stage are canceled.
func (e *Engine) FirstToken(now time.Time, id AttemptID) (bool, []Action) {
	c, ok := e.calls[id]
	if !ok || c.dropped {
		return false, e.takeActions()
	}
	if c.machine.Apply(attempt.FirstByte) != nil {
		return false, e.takeActions()
	}
	r := c.run
	if r.tokens == 0 {
		// The first token of a resumed stream is no measure of the time to
		// first token of a new one.
		e.estimate(now, r.pipeline.Name(), r.current().Name()).firstTokenTimes.Observe(now, now.Sub(c.started))
	}
	for _, other := range r.calls {
		if other != c {
			e.drop(other)
		}
	}
	r.calls = append(r.calls[:0], c)
	return true, e.takeActions()
}

// drop cancels a call; its result is counted but not delivered.
func (e *Engine) drop(c *call) {
	c.dropped = true
	if c.machine.State().MayHaveRun() {
		c.markMayHaveRun()
	}
	e.emit(CancelCall{Attempt: c.id})
}

func (e *Engine) dropCalls(r *activeRun) {
	for _, c := range r.calls {
		e.drop(c)
	}
	r.calls = nil
}

func (e *Engine) leaveQueue(r *activeRun) {
	if r.queued != nil {
		r.queuedIn.queue.Remove(r.queued)
		r.queued = nil
	}
}

func (r *activeRun) removeCall(c *call) {
	for i, other := range r.calls {
		if other == c {
			r.calls = append(r.calls[:i], r.calls[i+1:]...)
			return
		}
	}
}
