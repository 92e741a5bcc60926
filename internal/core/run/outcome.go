package run

import (
	"fmt"
	"time"

	"gradetiller.example/failure"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/place"
)

// CallEnded records the end of a call.
func (e *Engine) CallEnded(now time.Time, id AttemptID, end CallResult) []Action {
	c, ok := e.calls[id]
	if !ok {
		e.counters.LateAnswers++
		return e.takeActions()
	}
	delete(e.calls, id)
	e.release(now, c, end)
	if c.dropped {
		e.dropLate(c, end)
	} else {
		e.finishCall(now, c, end)
	}
	e.pump(now, c.pool)
	return e.takeActions()
}

// release frees the call's slot at its endpoint and records its result and cost.
func (e *Engine) release(now time.Time, c *call, end CallResult) {
	took := now.Sub(c.started)
	spec := c.pool.place.At(c.endpoint).Spec()
	result := place.Result{
		Latency: took,
		OK:      end.Event == attempt.Complete || end.Event == attempt.Rejected,
		Neutral: c.dropped || end.Event == attempt.Rejected,
		Load:    end.Load,
	}
	if c.pool.place.Finish(now, c.endpoint, result) {
		e.counters.Ejections++
		e.emit(Decision{Name: DecideEject, Endpoint: spec.Name, Stage: c.run.pipeline.Stages()[c.stage].Name(), Reason: end.Reason})
	}
	if end.Draining {
		e.drainEndpoint(c.pool, c.endpoint)
	}
	if end.Event == attempt.NotSent {
		return
	}
	e.emit(CallCost{
		Pipeline: c.run.pipeline.Name(),
		Stage:    c.run.pipeline.Stages()[c.stage].Name(),
		Arm:      c.run.arm,
		Account:  c.run.req.Account,
		Cost:     spec.Cost * took.Seconds(),
		Took:     took,
	})
}

func (e *Engine) dropLate(c *call, end CallResult) {
	if end.Event != attempt.Complete {
		return
	}
	e.counters.LateAnswers++
	e.emit(Decision{Name: DecideDropLate, RequestID: c.run.req.RequestID, Run: c.run.id, Stage: c.run.pipeline.Stages()[c.stage].Name(), Reason: "the run went on without this call"})
}

func (e *Engine) finishCall(now time.Time, c *call, end CallResult) {
	r := c.run
	r.removeCall(c)
	if err := c.machine.Apply(end.Event); err != nil {
		end.Event = attempt.NoResponse
		end.Reason = err.Error()
		_ = c.machine.Apply(end.Event)
	}
	if c.machine.State().MayHaveRun() {
		c.markMayHaveRun()
	}
	if c.machine.State() == attempt.Done {
		e.completeStage(now, c, end)
		return
	}
	if end.Tokens > r.tokens {
		r.tokens = end.Tokens
	}
	if len(r.calls) > 0 {
		// The other call of a hedged stage is still in flight.
		return
	}
	e.retry(now, c, end)
}

func (e *Engine) completeStage(now time.Time, c *call, end CallResult) {
	r := c.run
	took := now.Sub(c.started)
	e.estimate(now, r.pipeline.Name(), r.current().Name()).callTimes.Observe(now, took)
	c.pool.callTimes.Observe(now, took)
	e.dropCalls(r)
	r.input = end.Output
	e.advance(now, r)
}

// retry resends a failed call, or ends the run.
func (e *Engine) retry(now time.Time, c *call, end CallResult) {
	r := c.run
	state := c.machine.State()
	if state != attempt.NotRun && !r.repeatable() {
		e.failStage(now, r, state, end.Reason)
		return
	}
	if r.tokens > 0 && r.writers == nil {
		// The rest must fit the tokens that the client has.
		r.writers = []string{c.pool.place.At(c.endpoint).Spec().SoftwareVersion}
	}
	r.exclude = c.endpoint
	if c.pool.place.Len() == 1 || r.writers != nil && !c.pool.place.Lists(e.placeRequest(r)) {
		r.exclude = place.None
	}
	if r.writers != nil && !c.pool.place.Lists(e.placeRequest(r)) {
		e.failStage(now, r, state, "no endpoint of the version that began the stage is left")
		return
	}
	if r.attempts >= maxAttempts || !c.pool.retries.TryAcquire() {
		e.failStage(now, r, state, end.Reason)
		return
	}
	name := DecideRetry
	e.counters.Retries++
	if r.tokens > 0 {
		name = DecideResume
		e.counters.Resumes++
	}
	e.emit(Decision{Name: name, RequestID: r.req.RequestID, Run: r.id, Stage: r.current().Name(), Reason: end.Reason})
	e.enqueue(now, r)
}

func (e *Engine) failStage(now time.Time, r *activeRun, state attempt.State, reason string) {
	if r.current().Optional() && r.tokens == 0 {
		e.skipStage(now, r, reason)
		return
	}
	kind := failure.StageUnknown
	if state == attempt.Failed {
		kind = failure.StageFailed
	}
	if !r.mayHaveRun {
		kind = failure.StageNotRun
	}
	if r.mayHaveRun && state == attempt.NotRun {
		kind = failure.StageUnknown
	}
	e.finish(now, r, nil, failure.New(kind, reason, failure.WithStage(r.current().Name()), failure.WithRetryAfter(overloadRetryAfter)))
}

// failLocally ends a run that this node can't continue. The given kind means "not
// run"; it is replaced if an earlier call of the run may have run.
func (e *Engine) failLocally(now time.Time, r *activeRun, kind failure.Kind, message string) {
	if r.mayHaveRun {
		message = fmt.Sprintf("%s: %s", kind, message)
		kind = failure.StageUnknown
		if !now.Before(r.deadline) {
			kind = failure.DeadlineExceeded
		}
	}
	e.finish(now, r, nil, failure.New(kind, message, failure.WithStage(r.current().Name()), failure.WithRetryAfter(overloadRetryAfter)))
}

// Cancel ends a run because its client disconnected.
func (e *Engine) Cancel(now time.Time, id ID) []Action {
	r, ok := e.runs[id]
	if !ok {
		return e.takeActions()
	}
	e.abort(now, r, failure.CanceledNotRun, failure.Canceled, "the caller canceled")
	return e.takeActions()
}

func (e *Engine) abort(now time.Time, r *activeRun, notRun, unknown failure.Kind, message string, opts ...failure.Option) {
	e.leaveQueue(r)
	e.dropCalls(r)
	kind := notRun
	if r.mayHaveRun {
		kind = unknown
	}
	e.finish(now, r, nil, failure.New(kind, message, append(opts, failure.WithStage(r.current().Name()))...))
}

// finish ends a run. Every run ends here.
func (e *Engine) finish(now time.Time, r *activeRun, output []byte, err *failure.Error) {
	e.leaveQueue(r)
	e.dropCalls(r)
	delete(e.runs, r.id)
	r.account.Release()
	e.counters.Finished++
	if err != nil && r.recorded && !r.atMostOnceMayHaveRun {
		e.emit(Abandon{Run: r.id, Account: r.req.Account, RequestID: r.req.RequestID})
	}
	reason := "whole"
	if err != nil {
		reason = err.Error()
	}
	e.emit(Decision{Name: DecideFinish, RequestID: r.req.RequestID, Run: r.id, Reason: reason})
	e.emit(Finish{Run: r.id, Output: output, Err: err, Summary: Summary{
		RequestID: r.req.RequestID,
		Account:   r.req.Account,
		Pipeline:  r.pipeline.Name(),
		Class:     r.req.Class,
		Arm:       r.arm,
		Took:      now.Sub(r.started),
		OnTime:    err == nil && !now.After(r.deadline),
		Stages:    r.stages,
	}})
}
