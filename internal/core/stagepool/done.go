package stagepool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gradetiller.example/internal/core/mechanism"
)

const (
	// maxRetriesPerPiece bounds how often a stage's pieces are made again, each on the average,
	// and mostBreaks how many calls in a row may break off with a task: it may be what
	// crashes their endpoints. mostRestarts is how often a task begins anew because a result is gone:
	// as often as one that crashes endpoints may end those where its results lie.
	maxRetriesPerPiece   = 6
	maxConsecutiveBreaks = 3
	maxRestarts          = maxConsecutiveBreaks
	// overdueFactor and overdueMargin tell when pieces are made elsewhere
	// although their call has not ended.
	overdueFactor = 1.8
	overdueMargin = 200 * time.Millisecond
	// failedRetryAfter is told to the owner of a task that was given up.
	failedRetryAfter = 500 * time.Millisecond
)

// Done takes the end of a call.
func (p *Pool) Done(now time.Time, id CallID, o Outcome) []Action {
	c, ok := p.calls[id]
	if !ok {
		return p.takeActions()
	}
	delete(p.calls, id)
	w := c.endpoint
	delete(w.calls, id)
	w.used -= c.reserved
	switch o.Status {
	case Answered:
		w.failures = 0
		if now.Sub(c.sent) > 2*time.Duration(w.speed*float64(c.expected)) {
			w.contendedUntil = now.Add(contentionPeriod)
		}
		w.recordLatency(now, now.Sub(c.sent), c.expected)
	case NotRun:
		w.suspendedUntil = now.Add(declinedSuspension)
		w.contendedUntil = now.Add(contentionPeriod)
	case WrongEndpoint:
		w.leaving = true
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

// tasks lists the tasks of a call that are still wanted.
func (c *call) tasks() []*task {
	var list []*task
	for _, ref := range c.items {
		if ref.wanted && !slices.Contains(list, ref.task) {
			list = append(list, ref.task)
		}
	}
	return list
}

// detach has the other pieces of a task in the call count for nothing, as it began anew:
// each of four pieces whose input is gone would have it begin anew once more, and be given
// up at the third.
func (c *call) detach(t *task) {
	for k := range c.items {
		if c.items[k].task == t {
			c.items[k].wanted = false
		}
	}
}

// splitBatch has the tasks of a call that broke off share calls with half as many others, and
// those that it happens to again with none. One of them may crash what runs it: with the
// same mates it would end an endpoint with each call, and they with it. Of 24 staged
// requests at once, one of which does, all others are served and three endpoints end;
// four did when calls were put together as before (TestPoisonInBatches).
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

func (p *Pool) itemDone(now time.Time, c *call, ref itemRef, r ItemResult, ending CallStatus) {
	w := c.endpoint
	st := &ref.task.stages[ref.stage]
	if r.Status == Made {
		made := &result{maker: w, handle: r.Handle, bytes: ref.bytes, begun: c.sent, expires: now.Add(w.service.conf.ResultLife)}
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
		if ending == Answered {
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
		p.requeue(now, ref, retryCostOf(r.Status, ending))
	}
}

// removeUnassigned takes a piece that was made meanwhile out of the waiting ones.
func (p *Pool) removeUnassigned(ref itemRef) {
	st := &ref.task.stages[ref.stage]
	for k, piece := range st.unassigned {
		if piece == ref.piece {
			st.unassigned = append(st.unassigned[:k:k], st.unassigned[k+1:]...)
			p.services[st.Service].backlog[ref.task.Priority]--
			return
		}
	}
}

// retryCost is what it counts that a piece is made again.
type retryCost int

const (
	// freeRetry repeats cost nothing: the piece was not begun.
	freeRetry retryCost = iota
	// budgetedRetry repeats take of the budget; the breaks of their task bound them.
	budgetedRetry
	// countedRetry repeats are bounded themselves besides.
	countedRetry
)

func retryCostOf(r ItemStatus, ending CallStatus) retryCost {
	switch {
	case r == NoRoom:
		return freeRetry
	case ending == ConnectionBroken:
		return budgetedRetry
	}
	return countedRetry
}

// requeue has a piece made again.
func (p *Pool) requeue(now time.Time, ref itemRef, again retryCost) {
	if _, ok := p.tasks[ref.task.id]; !ok {
		return
	}
	st := &ref.task.stages[ref.stage]
	if slices.Contains(st.unassigned, ref.piece) {
		return
	}
	for _, of := range st.After {
		if ref.task.stages[of].freed {
			// Its inputs are given up already.
			p.restart(now, ref.task)
			return
		}
	}
	if again == countedRetry {
		st.retries++
	}
	if again != freeRetry {
		p.counters.Retried++
		if p.budget != nil && !p.budget.Take(now, st.Service, 1) {
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
	p.services[st.Service].backlog[ref.task.Priority]++
	p.enqueue(now, ref.task, ref.stage)
}

// restart begins a task anew because one of its results is gone.
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

// finishStages moves the tasks of a call on.
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

// Tick does what is due: it gives up inputs that were fetched, has pieces of
// overdue calls made elsewhere, and ends tasks whose deadline is over.
func (p *Pool) Tick(now time.Time) []Action {
	p.freeDue(now)
	p.flushFrees(now)
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		p.requeueOverdue(now, p.calls[id])
	}
	for _, id := range slices.Sorted(maps.Keys(p.tasks)) {
		p.expireTask(now, p.tasks[id])
	}
	p.restartExpired(now)
	p.failRateLimited(now)
	p.dispatchAll(now)
	return p.takeActions()
}

// expireTask ends a task whose deadline is over.
func (p *Pool) expireTask(now time.Time, t *task) {
	switch {
	case !now.After(t.Deadline):
	case t.complete:
		p.remove(now, t)
	default:
		p.fail(now, t, "deadline", failedRetryAfter)
	}
}

// inputFetchMargin is how long before the end of a result's life a call must start that
// is to fetch it.
const inputFetchMargin = 40 * time.Millisecond

// reasonExpiredInputs is the reason of tasks that would have to begin anew and be late.
const reasonExpiredInputs = "its results are gone and it would be late"

// restartExpired begins the tasks anew whose next stage has waited for longer than its
// inputs live, and gives those up that would be late. Called all the same, they
// take an endpoint's time for nothing: after a loss of all nodes 1,400 pieces of one
// second were called in vain.
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

// inputsExpired reports whether an input of a stage is gone at a moment.
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
	kept := p.frees[:0]
	for _, f := range p.frees {
		switch {
		case f.at.After(now):
			kept = append(kept, f)
		case !f.task.stages[f.of].freed && p.dependentsStarted(f.task, f.of):
			p.freeStage(now, f.task, f.of)
		}
	}
	clear(p.frees[len(kept):])
	p.frees = kept
}

// requeueOverdue has the pieces of a call queued again when it takes far too long.
func (p *Pool) requeueOverdue(now time.Time, c *call) {
	w := c.endpoint
	usual := time.Duration(max(w.speed, 1) * float64(c.expected))
	if c.overdue || p.off.Has(mechanism.Overdue) || now.Sub(c.sent) < time.Duration(overdueFactor*float64(usual))+overdueMargin {
		return
	}
	c.overdue = true
	w.speed = max(w.speed, float64(now.Sub(c.sent))/float64(c.expected))
	w.measured = now
	for _, ref := range c.items {
		if _, ok := p.tasks[ref.task.id]; ok && ref.wanted && ref.task.stages[ref.stage].results[ref.piece] == nil {
			p.requeue(now, ref, countedRetry)
		}
	}
}
