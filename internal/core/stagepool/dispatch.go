package stagepool

import (
	"cmp"
	"slices"
	"time"

	"gradetiller.example/internal/core/mechanism"
)

const (
	// priorityStep is added to a task's due time per priority level.
	priorityStep = 250 * time.Millisecond
	// scheduledPriorityStep is the same for a stage that is planned, which has a part of the slack only.
	// At 2.2 times the load of deployment 1, 6,856 requests were in time, and 6,685 with priorityStep;
	// with 100 ms, 0.042 of those admitted were late when one route had three times its load.
	scheduledPriorityStep = 150 * time.Millisecond
	// startedBonus is subtracted from the due time of a task for which work was done.
	startedBonus = 300 * time.Millisecond
	// minLocalTransferBytes is the size above which transfers should stay within a failure domain.
	minLocalTransferBytes = 300_000
	// maxHomeWait limits how long a stage waits for an endpoint in its home domain, as a multiple
	// of the duration of a full call. homeWaitMargin is the part of the stage's slack that it
	// doesn't spend waiting.
	homeWaitMargin = 40 * time.Millisecond
	// A planned stage may wait for its home domain for 1/homeWaitMarginDivisor of its task's time longer
	// than planned, half of the margin of the schedule.
	homeWaitMarginDivisor = 2 * scheduleMarginDivisor
	maxHomeWait           = 1.2
	// remoteCost is the factor on the score of endpoints outside of the home domain.
	remoteCost = 1.5
	// A call is considered lost after callTimeoutFactor times its expected duration plus
	// callTimeoutMargin.
	callTimeoutFactor = 6
	callTimeoutMargin = 1500 * time.Millisecond
)

func (p *Pool) dispatchAll(now time.Time) {
	names := make([]string, 0, len(p.services))
	for name := range p.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p.dispatch(now, p.services[name])
	}
}

// dispatch forms calls as long as there are queued pieces and available endpoints.
func (p *Pool) dispatch(now time.Time, s *service) {
	if len(s.queue) == 0 {
		return
	}
	idle := s.availableEndpoints(now)
	if len(idle) == 0 {
		// Return before sorting the queue: sorting took 95% of the time of a submission behind
		// 300 tasks (BenchmarkSubmitBehindQueue).
		return
	}
	p.order(now, s)
	s.predictHomes(now)
	for len(idle) > 0 && len(s.queue) > 0 {
		w := s.fastest(idle, s.queue[0])
		idle = slices.DeleteFunc(idle, func(x *endpoint) bool { return x == w })
		if items := p.pick(now, s, w, len(idle)+1); len(items) > 0 {
			p.start(now, w, items)
		}
	}
}

// order sorts the queue by due time, with the entries that can't meet their soft deadline last.
func (p *Pool) order(now time.Time, s *service) {
	for _, e := range s.queue {
		latest := e.task.SoftDeadline.Add(-p.minRemaining(e.task, e.stage))
		e.late = now.After(latest)
		homeLatest := latest
		if st := &e.task.stages[e.stage]; st.counted && !e.late {
			// A stage that waits for its home domain until the task would be late leaves no time for
			// the queues of the stages after it: 0.06 of the tasks were late for that.
			latest = st.plan.latest
			homeLatest = latest.Add(e.task.SoftDeadline.Sub(e.task.acceptedAt) / homeWaitMarginDivisor)
		}
		e.homeWaitUntil = e.since.Add(time.Duration(maxHomeWait * float64(s.callDuration(s.conf.Batch))))
		if slack := homeLatest.Add(-homeWaitMargin); !e.late && slack.Before(e.homeWaitUntil) {
			e.homeWaitUntil = slack
		}
		e.due = latest
		if !p.off.Has(mechanism.Priorities) {
			step := priorityStep
			if e.task.stages[e.stage].counted {
				step = scheduledPriorityStep
			}
			e.due = e.due.Add(time.Duration(e.task.Priority) * step)
		}
		if e.task.started && !p.scheduled {
			e.due = e.due.Add(-startedBonus)
		}
	}
	slices.SortStableFunc(s.queue, func(a, b *entry) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.task.id, b.task.id))
	})
}

func (s *service) availableEndpoints(now time.Time) []*endpoint {
	best := s.fastestSpeed()
	var idle []*endpoint
	for _, w := range s.endpoints {
		w.dropExpired(now)
		if w.available(now) && w.fastEnough(now, best) {
			idle = append(idle, w)
		}
	}
	return idle
}

// fastest picks the best endpoint for the first queued stage: the one with the lowest speed ratio,
// adjusted for used room and for the home domain.
func (s *service) fastest(idle []*endpoint, first *entry) *endpoint {
	score := func(w *endpoint) float64 {
		v := w.speed + float64(w.usedBytes)/float64(max(w.usableRoom(), 1))/2
		if first.home != "" && w.spec.Domain != first.home {
			v *= remoteCost
		}
		return v
	}
	return slices.MinFunc(idle, func(a, b *endpoint) int { return cmp.Compare(score(a), score(b)) })
}

// predictHomes decides for each queued stage whether it waits for an endpoint in its home domain.
// It does if one is predicted to be available before the stage's homeWaitUntil, after serving the
// stages ahead of it in the queue.
func (s *service) predictHomes(now time.Time) {
	free := s.freeTimes(now)
	ahead := make(map[string]int)
	full := s.callDuration(s.conf.Batch)
	for _, e := range s.queue {
		times := free[e.home]
		e.waitsForHome = false
		if len(times) == 0 {
			continue
		}
		round := ahead[e.home] / s.conf.Batch
		start := times[round%len(times)].Add(time.Duration(round/len(times)) * full)
		e.waitsForHome = !start.After(e.homeWaitUntil) && now.Before(e.homeWaitUntil)
		ahead[e.home] += len(e.task.stages[e.stage].unassigned)
	}
}

// freeTimes returns, for each failure domain, the sorted times at which its endpoints become
// available. Endpoints that are unavailable or much slower than the fastest are excluded.
func (s *service) freeTimes(now time.Time) map[string][]time.Time {
	best := s.fastestSpeed()
	free := make(map[string][]time.Time)
	for _, w := range s.endpoints {
		if w.leaving || now.Before(w.suspendedUntil) || w.inBackoff(now) || w.speed > slowFactor*best {
			continue
		}
		at := w.pace.Next(now, &w.sends)
		for _, c := range w.calls {
			if end := c.sent.Add(time.Duration(w.speed * float64(c.expected))); end.After(at) {
				at = end
			}
		}
		free[w.spec.Domain] = append(free[w.spec.Domain], at)
	}
	for _, times := range free {
		slices.SortFunc(times, time.Time.Compare)
	}
	return free
}

// mayUse reports whether the stage may be sent to an endpoint in the given domain.
func (e *entry) mayUse(domain string) bool {
	return e.task.allows(domain) && (!e.waitsForHome || e.home == domain)
}

// home returns the home domain of stage i, or "" if it has none or home domains are disabled.
func (p *Pool) home(t *task, i int) string {
	if p.off.Has(mechanism.Homes) {
		return ""
	}
	return t.home(i)
}

// home returns the failure domain that a stage's large transfers favor, or "". Inputs count where
// they are held, and final results count where they are wanted.
func (t *task) home(i int) string {
	st := &t.stages[i]
	bytes := make(map[string]int64)
	for _, after := range st.After {
		for _, r := range t.stages[after].results {
			if r != nil {
				bytes[r.endpoint.spec.Domain] += r.bytes * int64(st.Pieces)
			}
		}
	}
	if t.Domain != "" && slices.Contains(t.finalStages(), i) {
		bytes[t.Domain] += st.ResultBytes * int64(st.Pieces)
	}
	home, maxBytes := "", int64(minLocalTransferBytes)
	for domain, n := range bytes {
		if n > maxBytes || n == maxBytes && domain < home {
			home, maxBytes = domain, n
		}
	}
	return home
}

// pick takes pieces from the queue for one call. Queued pieces are spread over the available
// endpoints; the pieces of one stage of a task stay together if they fit.
func (p *Pool) pick(now time.Time, s *service, w *endpoint, idle int) []itemRef {
	waiting := 0
	for _, e := range s.queue {
		waiting += len(e.task.stages[e.stage].unassigned)
	}
	target := min((waiting+idle-1)/idle, s.conf.Batch)
	if w.pace.Bounded(now) {
		// A rate-limited endpoint gets few calls, so fill them.
		target = s.conf.Batch
	}
	room := w.freeRoom(now)
	var items []itemRef
	var batch batchTasks
	for _, e := range s.queue {
		st := &e.task.stages[e.stage]
		n := len(st.unassigned)
		if !e.mayUse(w.spec.Domain) || !batch.allows(e.task) {
			continue
		}
		if len(items) > 0 && len(items)+n > s.conf.Batch {
			continue
		}
		fits := n
		if st.ResultBytes > 0 {
			fits = int(min(int64(n), room/st.ResultBytes))
		}
		n = min(n, s.conf.Batch)
		if fits < n && (len(items) > 0 || w.usedBytes > 0) {
			// The stage waits for room for all its pieces, unless the endpoint is empty.
			continue
		}
		n = min(n, fits)
		batch.add(e.task)
		for _, piece := range st.unassigned[:n] {
			items = append(items, itemRef{task: e.task, stage: e.stage, piece: piece, bytes: st.ResultBytes, wanted: true})
		}
		room -= int64(n) * st.ResultBytes
		st.unassigned = st.unassigned[n:]
		s.addBacklog(e.task, st, -n)
		if len(items) >= target {
			break
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(e *entry) bool { return len(e.task.stages[e.stage].unassigned) == 0 })
	return items
}

// batchTasks is the set of tasks in one call.
type batchTasks struct {
	tasks []*task
	// maxTasks limits the number of tasks if their previous calls broke; such tasks share calls
	// only with each other. 0 means no limit.
	maxTasks int
}

// allows reports whether the task may join the call.
func (m *batchTasks) allows(t *task) bool {
	if len(m.tasks) == 0 || slices.Contains(m.tasks, t) {
		return true
	}
	if m.maxTasks == 0 || t.maxTasksPerCall == 0 {
		return m.maxTasks == t.maxTasksPerCall
	}
	return len(m.tasks) < min(m.maxTasks, t.maxTasksPerCall)
}

func (m *batchTasks) add(t *task) {
	if slices.Contains(m.tasks, t) {
		return
	}
	if len(m.tasks) == 0 || t.maxTasksPerCall < m.maxTasks {
		m.maxTasks = t.maxTasksPerCall
	}
	m.tasks = append(m.tasks, t)
}

func (p *Pool) start(now time.Time, w *endpoint, items []itemRef) {
	p.lastCall++
	c := &call{id: p.lastCall, endpoint: w, items: items, sent: now, expected: w.service.callDuration(len(items))}
	out := StartCall{Call: c.id, Service: w.service.name, Endpoint: w.spec.ID, Address: w.spec.Address}
	out.Timeout = time.Duration(callTimeoutFactor*float64(c.expected)) + callTimeoutMargin
	out.Overdue = c.overdueAfter(overdueFactor)
	for _, ref := range items {
		c.reserved += ref.bytes
		ref.task.started = true
		ref.task.stages[ref.stage].state = running
		ref.task.stages[ref.stage].begun = true
		out.Items = append(out.Items, item(now, ref))
	}
	w.usedBytes += c.reserved
	w.recordCall(now)
	w.calls[c.id] = c
	p.calls[c.id] = c
	p.counters.Calls++
	p.counters.Pieces += uint64(len(items))
	w.service.calls++
	w.service.version++
	w.service.pieces += uint64(len(items))
	p.emit(out)
	if !now.Before(w.contendedUntil) && !now.Before(p.contendedUntil) && !p.off.Has(mechanism.EarlyFrees) {
		p.freeInputs(now, items)
	}
}

func item(now time.Time, ref itemRef) Item {
	st := &ref.task.stages[ref.stage]
	it := Item{RequestID: ref.task.RequestID, Content: ref.task.Content, Stage: ref.task.number(ref.stage), Piece: ref.piece, Left: ref.task.Deadline.Sub(now)}
	if len(st.After) == 0 {
		it.Key = ref.task.Key
		return it
	}
	for _, after := range st.After {
		for _, r := range ref.task.stages[after].results {
			it.Inputs = append(it.Inputs, r.handle)
		}
	}
	return it
}

// inputFetchTime is the time after its start by which a call at an idle endpoint has certainly
// fetched its inputs.
const inputFetchTime = 60 * time.Millisecond

// earlyFreeUsedShare is the fraction of used room at an endpoint above which inputs are freed as
// soon as they have been fetched. Below it they are kept until the call ends, so that a failed call
// can be retried.
const earlyFreeUsedShare = 0.4

// contentionPeriod is how long an endpoint that declined a call, or took far too long, is assumed
// to work for another leader as well.
const contentionPeriod = 3 * time.Second

// freeInputs schedules freeing the inputs that no other piece needs.
func (p *Pool) freeInputs(now time.Time, items []itemRef) {
	for _, ref := range items {
		for _, of := range ref.task.stages[ref.stage].After {
			if p.dependentsStarted(ref.task, of) && p.makersCrowded(ref.task, of) {
				p.scheduledFrees = append(p.scheduledFrees, pendingFree{at: now.Add(inputFetchTime), task: ref.task, stage: of})
			}
		}
	}
}

func (p *Pool) makersCrowded(t *task, of int) bool {
	for _, r := range t.stages[of].results {
		if r != nil && float64(r.endpoint.usedBytes) > earlyFreeUsedShare*float64(r.endpoint.usableRoom()) {
			return true
		}
	}
	return false
}

// dependentsStarted reports whether every piece that needs the results of stage i is in a call or
// has a result.
func (p *Pool) dependentsStarted(t *task, i int) bool {
	for j := range t.stages {
		s := &t.stages[j]
		if s.Pieces == 0 || !slices.Contains(s.After, i) {
			continue
		}
		if s.state == blocked || len(s.unassigned) > 0 {
			return false
		}
	}
	return true
}

// dependentsFinished reports whether every stage that needs the results of stage i is finished.
func (p *Pool) dependentsFinished(t *task, i int) bool {
	for j := range t.stages {
		s := &t.stages[j]
		if s.Pieces > 0 && slices.Contains(s.After, i) && s.state != finished {
			return false
		}
	}
	return true
}
