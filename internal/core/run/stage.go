package run

import (
	"time"

	"gradetiller.example/config"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/budget"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/workqueue"
)

// splitQuantile is the quantile of the stage times in proportion to which the
// time left is divided.
const splitQuantile = 0.9

// pumpInterval is how soon a queue is retried after no endpoint was available.
const pumpInterval = 25 * time.Millisecond

// overloadRetryAfter is the Retry-After of runs that failed or were refused by a
// full queue.
const overloadRetryAfter = 100 * time.Millisecond

func (e *Engine) enterStage(now time.Time, r *activeRun) {
	r.stageStart = now
	r.attempts = 0
	r.tokens = 0
	r.writers = nil
	r.exclude = place.None
	r.stages = append(r.stages, StageSummary{Name: r.current().Name()})
	e.splitBudget(now, r)
	if !r.repeatable() && !r.recorded {
		e.pendingRecords[r.id] = recordKey{r.req.Account, r.req.RequestID}
		e.emit(Record{Run: r.id, Account: r.req.Account, RequestID: r.req.RequestID, Deadline: r.deadline})
		return
	}
	e.enqueue(now, r)
}

// splitBudget divides the time left among the remaining stages and sets the
// time at which an optional stage is skipped.
func (e *Engine) splitBudget(now time.Time, r *activeRun) {
	stages := r.pipeline.Stages()
	expected := make([]time.Duration, 0, len(stages)-r.stage)
	for i := r.stage; i < len(stages); i++ {
		expected = append(expected, e.estimate(now, r.pipeline.Name(), stages[i].Name()).callTimes.Quantile(now, splitQuantile))
	}
	shares, _ := budget.Split(r.deadline.Sub(now), expected)
	r.stageDue = now.Add(shares[0])
	if r.current().Optional() {
		e.schedule(r.stageDue, timer{kind: timerStage, run: r.id, stage: r.stage})
	}
}

// Recorded passes in the result of a Record action.
func (e *Engine) Recorded(now time.Time, id ID, result RecordResult) []Action {
	key, ok := e.pendingRecords[id]
	if !ok {
		return e.takeActions()
	}
	delete(e.pendingRecords, id)
	r, ok := e.runs[id]
	if !ok {
		if result == RecordStored {
			// The run ended as "not run" while its record was being stored,
			// so the record is abandoned.
			e.emit(Abandon{Run: id, Account: key.account, RequestID: key.requestID})
		}
		return e.takeActions()
	}
	switch result {
	case RecordStored:
		r.recorded = true
		e.enqueue(now, r)
	case RecordDuplicate:
		e.finish(now, r, nil, failure.New(failure.AlreadyStarted, "a run with this request id was started before", failure.WithStage(r.current().Name())))
	default:
		e.finish(now, r, nil, e.storeUnavailable(r))
	}
	return e.takeActions()
}

func (e *Engine) storeUnavailable(r *activeRun) *failure.Error {
	kind := failure.StoreAway
	if r.mayHaveRun {
		kind = failure.StageUnknown
	}
	return failure.New(kind, "the store that keeps at-most-once records does not answer",
		failure.WithStage(r.current().Name()), failure.WithRetryAfter(time.Second))
}

func (e *Engine) enqueue(now time.Time, r *activeRun) {
	p, ok := e.pools[r.current().PoolName()]
	if !ok || p.place.Len() == 0 {
		e.failLocally(now, r, failure.NoEndpoint, "the pool has no endpoint")
		return
	}
	if p.queue.Len() >= p.conf.Queue() {
		e.failLocally(now, r, failure.Overloaded, "the pool's queue is full")
		return
	}
	r.item = workqueue.Item{
		Deadline:  r.deadline,
		Remaining: e.remainingTime(now, r.pipeline, r.stage),
		Account:   r.accountIndex,
		Weight:    r.weight,
	}
	r.queuedIn = p
	r.queued = p.queue.Push(r, r.item)
	e.pump(now, p)
}

// pump sends queued calls while endpoints are available.
func (e *Engine) pump(now time.Time, p *pool) {
	for {
		r, ok := p.queue.Peek()
		if !ok {
			return
		}
		if e.missesDeadline(now, r) {
			p.queue.Pop()
			r.queued = nil
			e.failLocally(now, r, failure.DeadlineUnreachable, "the time left is less than the stages need")
			continue
		}
		req := e.placeRequest(r)
		i, ok := p.place.Choose(now, req)
		if !ok {
			e.pumpLater(now, p)
			return
		}
		p.queue.Pop()
		r.queued = nil
		e.startCall(now, r, p, i)
	}
}

// pumpLater schedules a retry of the queue, since the ejection of an endpoint
// expires without an event.
func (e *Engine) pumpLater(now time.Time, p *pool) {
	if p.nextPump.After(now) {
		return
	}
	p.nextPump = now.Add(pumpInterval)
	e.schedule(p.nextPump, timer{kind: timerPump, pool: p})
}

func (e *Engine) missesDeadline(now time.Time, r *activeRun) bool {
	if !e.cfg.Policies().EarlyRefusal() {
		return !now.Before(r.deadline)
	}
	left := r.deadline.Sub(now)
	if e.remainingTimeAt(now, r.pipeline, r.stage, dispatchQuantile) <= left {
		return false
	}
	if now.Sub(e.lastProbe) >= probeInterval {
		e.lastProbe = now
		return left <= 0
	}
	return true
}

func (e *Engine) placeRequest(r *activeRun) place.Request {
	req := place.Request{
		Policy:  r.policy,
		Version: r.current().Version(r.hash),
		Exclude: r.exclude,
	}
	if req.Version == "" {
		req.SoftwareVersions = r.writers
	}
	if r.current().Streams() {
		req.Prefix = r.req.Prefix
	}
	if r.pipeline.Objective() == config.ObjectiveCost {
		req.CostWeight = e.cfg.Policies().CostPrice()
	}
	return req
}

func (e *Engine) skipStage(now time.Time, r *activeRun, reason string) {
	e.counters.Skips++
	e.emit(Decision{Name: DecideSkip, RequestID: r.req.RequestID, Run: r.id, Stage: r.current().Name(), Reason: reason})
	e.leaveQueue(r)
	e.dropCalls(r)
	r.stages[len(r.stages)-1].Skipped = true
	e.advance(now, r)
}

// advance starts the next stage, or finishes the run.
func (e *Engine) advance(now time.Time, r *activeRun) {
	r.stages[len(r.stages)-1].Took = now.Sub(r.stageStart)
	if r.stage+1 == len(r.pipeline.Stages()) {
		e.finish(now, r, r.input, nil)
		return
	}
	r.stage++
	e.enterStage(now, r)
}
