package stagepool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gradetiller.example/internal/core/mechanism"
)

const (
	// maxRetriesPerPiece limits the average number of retries per piece of a stage.
	// maxConsecutiveBreaks limits successive calls of a task whose connection broke, since the task
	// may be what crashes the endpoints. maxRestarts limits how often a task restarts because a
	// result is gone; a request that crashes endpoints may destroy its results that often.
	maxRetriesPerPiece   = 6
	maxConsecutiveBreaks = 3
	maxRestarts          = maxConsecutiveBreaks
	// The pieces of a call are queued again after overdueFactor times its expected duration plus
	// overdueMargin, although the call has not ended.
	overdueFactor = 1.8
	overdueMargin = 200 * time.Millisecond
	// While the schedule is active, the factor is scheduledOverdueFactor. Endpoints that share their
	// host are at 2.5 times the usual duration for some calls. With a factor of 1.8, the pieces of
	// these calls were run twice and the endpoints kept out for 2 s: at 2.2 times the load of deployment
	// 1, 4,631 requests were served instead of 5,613.
	scheduledOverdueFactor = 3
	// failedRetryAfter is the retry delay that is reported for a failed task.
	failedRetryAfter = 500 * time.Millisecond
)

// Done records the outcome of a call.
func (p *Pool) Done(now time.Time, id CallID, o Outcome) []Action {
	c, ok := p.calls[id]
	if !ok {
		return p.takeActions()
	}
	delete(p.calls, id)
	w := c.endpoint
	delete(w.calls, id)
	w.service.version++
	w.usedBytes -= c.reserved
	switch o.Status {
	case Answered:
		w.failures = 0
		if now.Sub(c.sent) > 2*time.Duration(w.speed*float64(c.expected)) {
			w.contendedUntil = now.Add(contentionPeriod)
		}
		w.recordLatency(now, now.Sub(c.sent), c.expected)
	case NotRun:
		w.suspendedUntil = now.Add(max(declinedSuspension, o.Pause))
		w.contendedUntil = now.Add(contentionPeriod)
	case WrongEndpoint:
		w.leaving = true
	case PathLost:
	default:
		w.suspend(now)
	}
	if o.Status == ConnectionBroken {
		p.splitBatch(now, c)
	}
	for k, ref := range c.items {
		r := ItemResult{Status: Broken}
		switch {
		case o.Status == Answered && k < len(o.Items):
			r = o.Items[k]
		case o.Status == NotRun:
			r.Status = NoRoom
		}
		p.itemDone(now, c, ref, r, o.Status)
	}
	if o.Status == Answered && !slices.ContainsFunc(o.Items, func(r ItemResult) bool { return r.Status == NoRoom }) {
		w.observeRoom(now)
	}
	p.finishStages(now, c)
	p.dispatchAll(now)
	return p.takeActions()
}

// tasks returns the tasks in the call that are still wanted.
func (c *call) tasks() []*task {
	var list []*task
	for _, ref := range c.items {
		if ref.wanted && !slices.Contains(list, ref.task) {
			list = append(list, ref.task)
		}
	}
	return list
}

// detach makes the call ignore the remaining pieces of a task that was restarted. Without it, four
// pieces whose input is gone would each restart the task, and the task would fail on exceeding
// maxRestarts.
func (c *call) detach(t *task) {
	for k := range c.items {
		if c.items[k].task == t {
			c.items[k].wanted = false
		}
	}
}

// splitBatch limits the tasks of a call whose connection broke to calls of half as many tasks, and
// to calls of their own if it happens again. One of them may crash its endpoint, and in the same
// batch it would do so with each retry and fail the others too. With 24 staged requests at once,
// one of which crashes endpoints, all others are served and three endpoints crash, compared with
// four when batches were formed as usual (TestPoisonInBatches).
func (p *Pool) splitBatch(now time.Time, c *call) {
	list := c.tasks()
	for _, t := range list {
		t.consecutiveBreaks++
		t.maxTasksPerCall = (len(list) + 1) / 2
		switch {
		case t.consecutiveBreaks >= maxConsecutiveBreaks:
			p.fail(now, t, "its calls broke off", failedRetryAfter)
		case t.consecutiveBreaks > 1:
			t.maxTasksPerCall = 1
		}
	}
}

func (p *Pool) itemDone(now time.Time, c *call, ref itemRef, r ItemResult, callStatus CallStatus) {
	w := c.endpoint
	st := &ref.task.stages[ref.stage]
	if r.Status == Made {
		made := &result{endpoint: w, handle: r.Handle, bytes: ref.bytes, callSentAt: c.sent, expires: now.Add(w.service.conf.ResultTTL)}
		if !ref.wanted || st.results[ref.piece] != nil {
			p.counters.Unused++
			p.queueFree(now, w, []string{r.Handle}, ref.bytes)
			return
		}
		w.add(made)
		ref.task.consecutiveBreaks, ref.task.maxTasksPerCall = 0, 0
		st.results[ref.piece] = made
		st.completed++
		p.removeUnassigned(ref)
		return
	}
	if !ref.wanted {
		return
	}
	switch r.Status {
	case NoRoom:
		if callStatus == Answered {
			p.counters.NoRoom++
			w.observeFull(now, ref.bytes)
		}
	case Gone:
		p.counters.Gone++
		p.restart(now, ref.task)
		c.detach(ref.task)
		return
	case Late:
		p.fail(now, ref.task, "late", failedRetryAfter)
		return
	}
	if st.results[ref.piece] == nil {
		p.requeue(now, ref, retryCostOf(r.Status, callStatus))
	}
}

// removeUnassigned removes a piece from the unassigned ones once another call has produced its
// result.
func (p *Pool) removeUnassigned(ref itemRef) {
	st := &ref.task.stages[ref.stage]
	for k, piece := range st.unassigned {
		if piece == ref.piece {
			st.unassigned = append(st.unassigned[:k:k], st.unassigned[k+1:]...)
			p.services[st.Service].addBacklog(ref.task, st, -1)
			return
		}
	}
}

// retryCost is how a retry of a piece is accounted for.
type retryCost int

const (
	// freeRetry retries cost nothing, since the piece was not started.
	freeRetry retryCost = iota
	// budgetedRetry retries use the retry budget; they are limited by maxConsecutiveBreaks.
	budgetedRetry
	// countedRetry retries use the retry budget and are limited by maxRetriesPerPiece.
	countedRetry
)

func retryCostOf(r ItemStatus, callStatus CallStatus) retryCost {
	switch {
	case r == NoRoom:
		return freeRetry
	case callStatus == ConnectionBroken:
		return budgetedRetry
	}
	return countedRetry
}

// requeue queues a piece for a retry.
func (p *Pool) requeue(now time.Time, ref itemRef, cost retryCost) {
	if _, ok := p.tasks[ref.task.id]; !ok {
		return
	}
	st := &ref.task.stages[ref.stage]
	if slices.Contains(st.unassigned, ref.piece) {
		return
	}
	for _, of := range st.After {
		if ref.task.stages[of].freed {
			// Its inputs have been freed.
			p.restart(now, ref.task)
			return
		}
	}
	if cost == countedRetry {
		st.retries++
	}
	if cost != freeRetry {
		p.counters.Retried++
		if p.budget != nil && !p.budget.TryAcquire(now, st.Service, 1) {
			p.fail(now, ref.task, "no budget to make a piece again", failedRetryAfter)
			return
		}
	}
	if st.retries > maxRetriesPerPiece*st.Pieces {
		p.fail(now, ref.task, "a stage failed too often", failedRetryAfter)
		return
	}
	st.unassigned = append(st.unassigned, ref.piece)
	st.state = queued
	p.services[st.Service].addBacklog(ref.task, st, 1)
	p.enqueue(now, ref.task, ref.stage)
}

// restart runs a task from its first stage because one of its results is gone.
func (p *Pool) restart(now time.Time, t *task) {
	if _, ok := p.tasks[t.id]; !ok {
		return
	}
	t.restarts++
	if t.restarts > maxRestarts {
		p.fail(now, t, "results were gone too often", failedRetryAfter)
		return
	}
	p.counters.Restarts++
	p.withdraw(t)
	for i := range t.stages {
		p.freeStage(now, t, i)
	}
	p.begin(now, t)
}

// finishStages finishes the stages that the call completed, and advances their tasks.
func (p *Pool) finishStages(now time.Time, c *call) {
	for _, ref := range c.items {
		st := &ref.task.stages[ref.stage]
		if _, ok := p.tasks[ref.task.id]; !ok || !ref.wanted || st.state == finished || st.completed < st.Pieces || st.state == blocked {
			continue
		}
		st.state = finished
		for _, of := range st.After {
			if p.dependentsFinished(ref.task, of) {
				p.freeStage(now, ref.task, of)
			}
		}
		p.advance(now, ref.task)
	}
}

// Tick performs the actions that are due: it frees inputs that have been fetched, retries the
// pieces of overdue calls, fails tasks past their deadline, and drops lapsed bookings.
func (p *Pool) Tick(now time.Time) []Action {
	if p.book != nil {
		p.book.Expire(now)
	}
	p.freeDue(now)
	p.flushFrees(now)
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		p.requeueOverdue(now, p.calls[id])
	}
	for _, id := range slices.Sorted(maps.Keys(p.tasks)) {
		t := p.tasks[id]
		p.expireTask(now, t)
		p.uncountLate(now, t)
	}
	p.restartExpired(now)
	p.failRateLimited(now)
	p.dispatchAll(now)
	return p.takeActions()
}

// expireTask removes a task past its deadline.
func (p *Pool) expireTask(now time.Time, t *task) {
	switch {
	case !now.After(t.Deadline):
	case t.complete:
		p.remove(now, t)
	default:
		p.fail(now, t, "deadline", failedRetryAfter)
	}
}

// inputFetchMargin is how long before the expiry of its inputs a call must start to be able to
// fetch them.
const inputFetchMargin = 40 * time.Millisecond

// reasonExpiredInputs is the failure reason of tasks that would be late if they were restarted.
const reasonExpiredInputs = "its results are gone and it would be late"

// restartExpired restarts the tasks whose next stage has been queued for longer than its inputs
// live, and fails those that would be late. Calling such a stage wastes the endpoint's time: after
// the loss of all nodes, 1,400 pieces were sent in one second whose inputs were gone.
func (p *Pool) restartExpired(now time.Time) {
	var expired []*task
	for _, s := range p.services {
		for _, e := range s.queue {
			if e.task.inputsExpired(now.Add(inputFetchMargin), e.stage) {
				expired = append(expired, e.task)
			}
		}
	}
	slices.SortFunc(expired, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	for _, t := range slices.Compact(expired) {
		if now.Add(p.minDuration(t.Task)).After(t.SoftDeadline) {
			p.fail(now, t, reasonExpiredInputs, failedRetryAfter)
			continue
		}
		p.restart(now, t)
	}
}

// inputsExpired reports whether an input of stage i has expired at the given time.
func (t *task) inputsExpired(at time.Time, i int) bool {
	for _, of := range t.stages[i].After {
		for _, r := range t.stages[of].results {
			if r != nil && at.After(r.expires) {
				return true
			}
		}
	}
	return false
}

func (p *Pool) freeDue(now time.Time) {
	kept := p.scheduledFrees[:0]
	for _, f := range p.scheduledFrees {
		switch {
		case f.at.After(now):
			kept = append(kept, f)
		case !f.task.stages[f.stage].freed && p.dependentsStarted(f.task, f.stage):
			p.freeStage(now, f.task, f.stage)
		}
	}
	clear(p.scheduledFrees[len(kept):])
	p.scheduledFrees = kept
}

// overdueAfter returns the duration from which a call takes far too long.
func (c *call) overdueAfter(factor float64) time.Duration {
	return time.Duration(factor*max(c.endpoint.speed, 1)*float64(c.expected)) + overdueMargin
}

// requeueOverdue queues the pieces of a call for a retry if the call takes far too long.
func (p *Pool) requeueOverdue(now time.Time, c *call) {
	w := c.endpoint
	factor := overdueFactor
	if p.scheduled {
		factor = scheduledOverdueFactor
	}
	if c.overdue || p.off.Has(mechanism.Overdue) || now.Sub(c.sent) < c.overdueAfter(factor) {
		return
	}
	c.overdue = true
	w.speed = max(w.speed, float64(now.Sub(c.sent))/float64(c.expected))
	w.measuredAt = now
	for _, ref := range c.items {
		if _, ok := p.tasks[ref.task.id]; ok && ref.wanted && ref.task.stages[ref.stage].results[ref.piece] == nil {
			p.requeue(now, ref, countedRetry)
		}
	}
}
