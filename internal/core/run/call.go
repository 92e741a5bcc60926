package run

import (
	"time"

	"gradetiller.example/internal/core/attempt"
)

const (
	// hedgeQuantile and hedgeFactor: a second call is sent when the first
	// takes longer than this many times what nearly all calls take.
	hedgeQuantile = 0.95
	hedgeFactor   = 1.5
	leastHedge    = 10 * time.Millisecond
	// maxTries bounds the calls of one stage of one run.
	maxTries = 4
	// idleFactor and leastIdle bound the gap between two tokens.
	idleFactor = 20
	leastIdle  = 250 * time.Millisecond
)

func (e *Engine) start(now time.Time, r *activeRun, p *pool, endpoint int) {
	e.lastCall++
	c := &call{id: e.lastCall, run: r, pool: p, endpoint: endpoint, stage: r.stage, started: now, once: !r.repeatable()}
	// The shell may send from here on, so the call counts as sent.
	_ = c.machine.Apply(attempt.Send)
	e.calls[c.id] = c
	r.calls = append(r.calls, c)
	if r.tries == 0 {
		p.retries.AddRequest()
	}
	r.tries++
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
		IdleTimeout: e.idle(now, r),
		ResumeFrom:  r.tokens,
		Input:       r.input,
	})
	if e.mayHedge(r) {
		if d := e.hedgeDelay(now, r); d > 0 {
			e.after(now.Add(d), timer{kind: timerHedge, run: r.id, call: c.id})
		}
	}
}

// priority follows the slack: a run whose needs fill its time is urgent.
func (e *Engine) priority(now time.Time, r *activeRun) int {
	left := r.deadline.Sub(now)
	if left <= 0 {
		return MaxPriority
	}
	need := e.needed(now, r.pipeline, r.stage)
	return min(MaxPriority, int(float64(MaxPriority)*float64(need)/float64(left)))
}

func (e *Engine) idle(now time.Time, r *activeRun) time.Duration {
	if !r.current().Streams() || e.cfg.Policies().PlainRetry() {
		return 0
	}
	took := e.estimate(now, r.pipeline.Name(), r.current().Name()).took.Quantile(now, hedgeQuantile)
	gap := took / time.Duration(max(r.current().MaxTokens(), 1))
	return max(idleFactor*gap, leastIdle)
}

func (e *Engine) mayHedge(r *activeRun) bool {
	return r.repeatable() && !e.cfg.Policies().PlainRetry()
}

func (e *Engine) hedgeDelay(now time.Time, r *activeRun) time.Duration {
	est := e.estimate(now, r.pipeline.Name(), r.current().Name())
	measured := est.took
	if r.current().Streams() {
		measured = est.first
	}
	q := measured.Quantile(now, hedgeQuantile)
	if q == 0 {
		return 0
	}
	return max(time.Duration(hedgeFactor*float64(q)), leastHedge)
}

// hedge is called when a call is late: its endpoint looks slower from now on,
// and a second call goes elsewhere if the retry budget allows it.
func (e *Engine) hedge(now time.Time, c *call) {
	r := c.run
	if c.dropped || c.machine.State().Final() {
		return
	}
	if r.current().Streams() && c.machine.State() == attempt.Answering {
		return
	}
	c.pool.place.Late(now, c.endpoint, now.Sub(c.started))
	if len(r.calls) > 1 || r.tries >= maxTries {
		return
	}
	r.exclude = c.endpoint
	i, ok := c.pool.place.Choose(now, e.placeRequest(r))
	if !ok || !c.pool.retries.TryAcquire() {
		return
	}
	e.counters.Hedges++
	e.emit(Decision{Name: DecideHedge, RequestID: r.req.RequestID, Run: r.id, Stage: r.current().Name(), Endpoint: c.pool.place.At(i).Spec().Name, Reason: "the first call is late"})
	e.start(now, r, c.pool, i)
}

// FirstToken tells that the first token of a call has come. It reports whether
// the call's tokens are to be taken; the other calls of the stage are then
// canceled.
func (e *Engine) FirstToken(now time.Time, id AttemptID) (bool, []Action) {
	c, ok := e.calls[id]
	if !ok || c.dropped {
		return false, e.take()
	}
	if c.machine.Apply(attempt.FirstByte) != nil {
		return false, e.take()
	}
	r := c.run
	if r.tokens == 0 {
		// A resumed stream says nothing about the time to a first token.
		e.estimate(now, r.pipeline.Name(), r.current().Name()).first.Observe(now, now.Sub(c.started))
	}
	for _, other := range r.calls {
		if other != c {
			e.drop(other)
		}
	}
	r.calls = append(r.calls[:0], c)
	return true, e.take()
}

// drop gives a call up; its end will only be counted.
func (e *Engine) drop(c *call) {
	c.dropped = true
	if c.machine.State().MayHaveRun() {
		c.sentBytes()
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
	if r.waiting != nil {
		r.waitPool.queue.Remove(r.waiting)
		r.waiting = nil
	}
}

func (r *activeRun) remove(c *call) {
	for i, other := range r.calls {
		if other == c {
			r.calls = append(r.calls[:i], r.calls[i+1:]...)
			return
		}
	}
}
