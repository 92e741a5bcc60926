package run

import (
	"time"

	"gradetiller.example/config"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/budget"
	"gradetiller.example/internal/core/order"
	"gradetiller.example/internal/core/place"
)

// splitQuantile of the stage times is what the time left is divided by.
const splitQuantile = 0.9

// pumpGap is how soon a queue that found no endpoint is looked at again.
const pumpGap = 25 * time.Millisecond

// fullQueueRetry is told to callers when a pool's queue is full.
const fullQueueRetry = 100 * time.Millisecond

func (e *Engine) enterStage(now time.Time, r *activeRun) {
	r.stageStart = now
	r.tries = 0
	r.tokens = 0
	r.exclude = place.None
	r.stages = append(r.stages, StageSummary{Name: r.current().Name()})
	e.splitBudget(now, r)
	if !r.repeatable() && !r.recorded {
		e.recording[r.id] = recordKey{r.req.Account, r.req.RequestID}
		e.emit(Record{Run: r.id, Account: r.req.Account, RequestID: r.req.RequestID, Deadline: r.deadline})
		return
	}
	e.enqueue(now, r)
}

// splitBudget divides the time left over the stages left, and sets the time
// at which an optional stage is skipped.
func (e *Engine) splitBudget(now time.Time, r *activeRun) {
	stages := r.pipeline.Stages()
	expected := make([]time.Duration, 0, len(stages)-r.stage)
	for i := r.stage; i < len(stages); i++ {
		expected = append(expected, e.estimate(now, r.pipeline.Name(), stages[i].Name()).took.Quantile(now, splitQuantile))
	}
	shares, _ := budget.Split(r.deadline.Sub(now), expected)
	r.stageDue = now.Add(shares[0])
	if r.current().Optional() {
		e.after(r.stageDue, timer{kind: timerStage, run: r.id, stage: r.stage})
	}
}

// Recorded answers a Record action.
func (e *Engine) Recorded(now time.Time, id ID, result RecordResult) []Action {
	key, ok := e.recording[id]
	if !ok {
		return e.take()
	}
	delete(e.recording, id)
	r, ok := e.runs[id]
	if !ok {
		if result == RecordStored {
			// The run ended while its record was being stored, and its
			// Finish said "not run", so the record is taken back.
			e.emit(Abandon{Run: id, Account: key.account, RequestID: key.requestID})
		}
		return e.take()
	}
	switch result {
	case RecordStored:
		r.recorded = true
		e.enqueue(now, r)
	case RecordDuplicate:
		e.finish(now, r, nil, failure.New(failure.AlreadyStarted, "a run with this request id was started before", failure.WithStage(r.current().Name())))
	default:
		e.finish(now, r, nil, e.storeAway(r))
	}
	return e.take()
}

func (e *Engine) storeAway(r *activeRun) *failure.Error {
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
		e.fail(now, r, failure.NoEndpoint, "the pool has no endpoint")
		return
	}
	if p.queue.Len() >= p.conf.Queue() {
		e.fail(now, r, failure.Overloaded, "the pool's queue is full")
		return
	}
	r.item = order.Item{
		Deadline:  r.deadline,
		Remaining: e.needed(now, r.pipeline, r.stage),
		Account:   r.index,
		Weight:    r.weight,
	}
	r.waitPool = p
	r.waiting = p.queue.Push(r, r.item)
	e.pump(now, p)
}

// pump sends waiting runs to endpoints while there is room.
func (e *Engine) pump(now time.Time, p *pool) {
	for {
		r, ok := p.queue.Peek()
		if !ok {
			return
		}
		if e.hopeless(now, r) {
			p.queue.Pop()
			r.waiting = nil
			e.fail(now, r, failure.DeadlineUnreachable, "the time left is less than the stages need")
			continue
		}
		req := e.placeRequest(r)
		i, ok := p.place.Choose(now, req)
		if !ok {
			e.pumpLater(now, p)
			return
		}
		p.queue.Pop()
		r.waiting = nil
		e.start(now, r, p, i)
	}
}

// pumpLater has the queue looked at again soon, since an endpoint that was set
// aside comes back by time alone.
func (e *Engine) pumpLater(now time.Time, p *pool) {
	if p.pumpAt.After(now) {
		return
	}
	p.pumpAt = now.Add(pumpGap)
	e.after(p.pumpAt, timer{kind: timerPump, pool: p})
}

func (e *Engine) hopeless(now time.Time, r *activeRun) bool {
	if !e.cfg.Policies().EarlyRefusal() {
		return !now.Before(r.deadline)
	}
	left := r.deadline.Sub(now)
	if e.neededAt(now, r.pipeline, r.stage, startQuantile) <= left {
		return false
	}
	if now.Sub(e.lastProbe) >= probeGap {
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
	if r.current().Streams() {
		req.Prefix = r.req.Prefix
	}
	if r.pipeline.Objective() == config.ObjectiveCost {
		req.CostWeight = e.cfg.Policies().CostPrice()
	}
	return req
}

func (e *Engine) skip(now time.Time, r *activeRun, reason string) {
	e.counters.Skips++
	e.emit(Decision{Name: DecideSkip, RequestID: r.req.RequestID, Run: r.id, Stage: r.current().Name(), Reason: reason})
	e.leaveQueue(r)
	e.dropCalls(r)
	r.stages[len(r.stages)-1].Skipped = true
	e.next(now, r)
}

// next goes on to the following stage, or finishes the run.
func (e *Engine) next(now time.Time, r *activeRun) {
	r.stages[len(r.stages)-1].Took = now.Sub(r.stageStart)
	if r.stage+1 == len(r.pipeline.Stages()) {
		e.finish(now, r, r.input, nil)
		return
	}
	r.stage++
	e.enterStage(now, r)
}
