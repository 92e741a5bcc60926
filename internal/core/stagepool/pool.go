package stagepool

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"gradetiller.example/internal/core/booking"
	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/core/share"
)

// Counters counts pool events since the pool was created.
type Counters struct {
	Accepted, Rejected, Completed, Failed          uint64
	Calls, Pieces, Retried, NoRoom, Gone, Restarts uint64
	// Unused counts results that were no longer needed when their call ended.
	Unused uint64
}

// RetryBudget limits how many pieces are retried. AddRequests records n first attempts, and
// TryAcquire reports whether n retries are allowed.
type RetryBudget interface {
	AddRequests(now time.Time, service string, n int)
	TryAcquire(now time.Time, service string, n int) bool
}

// Option configures a new pool.
type Option func(*Pool)

// WithRetryBudget limits the pieces that are retried.
func WithRetryBudget(b RetryBudget) Option { return func(p *Pool) { p.budget = b } }

// Without disables mechanisms.
func Without(off mechanism.Disabled) Option { return func(p *Pool) { p.off = off } }

// WithPaces sets the function that returns the pace at which this leader may send requests, both
// calls and frees, to an endpoint.
func WithPaces(of func(catalog.Endpoint) intake.Pace) Option {
	return func(p *Pool) { p.paces = of }
}

// WithReservations sets the function that lists the work for which capacity is kept. Admission counts
// it as work that is due.
func WithReservations(list func(now time.Time) iter.Seq[Reservation]) Option {
	return func(p *Pool) { p.reservations = list }
}

// Pool schedules all stage services on behalf of their leader. It is not safe for concurrent use.
type Pool struct {
	services       map[string]*service
	tasks          map[TaskID]*task
	calls          map[CallID]*call
	scheduledFrees []pendingFree
	lastTask       TaskID
	lastCall       CallID
	budget         RetryBudget
	counters       Counters
	off            mechanism.Disabled
	paces          func(catalog.Endpoint) intake.Pace
	actions        []Action
	reservations   func(now time.Time) iter.Seq[Reservation]
	scheduled      bool // whether admission by schedule is active
	shares         *share.Table
	// book holds the bookings of returns, and bookedStages their work by content. followsBook is true if
	// the pool is told of changes. bookedUpdated is the slot in which the work was last updated.
	book          *booking.Book
	bookedStages  map[poison.ID][]*bookedStage
	followsBook   bool
	bookedUpdated int64
	// overruns holds the learned excess over the estimate, by task depth.
	overruns [maxDepth + 1]overrun
	// delays holds the learned delay of scheduled tasks, by task depth.
	delays [maxDepth + 1]delay
	// contendedUntil is when all calls of a previous leader have certainly ended.
	contendedUntil time.Time
}

// pendingFree is a stage whose results are to be freed at a given time.
type pendingFree struct {
	at    time.Time
	task  *task
	stage int
}

// New returns a pool without services.
func New(options ...Option) *Pool {
	p := &Pool{
		services: make(map[string]*service),
		tasks:    make(map[TaskID]*task),
		calls:    make(map[CallID]*call),
		shares:   share.NewTable(),
		paces:    func(catalog.Endpoint) intake.Pace { return intake.Pace{} },

		reservations: func(time.Time) iter.Seq[Reservation] { return func(func(Reservation) bool) {} },
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Counters returns a copy of the counters.
func (p *Pool) Counters() Counters { return p.counters }

// Shares returns the shares of the groups of requests. They are kept while the schedule is active.
func (p *Pool) Shares() *share.Table { return p.shares }

// Tasks returns the number of tasks that have not been released.
func (p *Pool) Tasks() int { return len(p.tasks) }

// Configure applies the given services and endpoints. An endpoint that is draining or no longer
// listed gets no new calls.
func (p *Pool) Configure(now time.Time, services map[string]catalog.Service, endpoints []catalog.Endpoint) []Action {
	for name, conf := range services {
		if conf.Batching == nil {
			continue
		}
		s, ok := p.services[name]
		if !ok {
			s = &service{name: name, backlog: make(map[int]int)}
			p.services[name] = s
		}
		s.conf = *conf.Batching
	}
	listed := make(map[string]catalog.Endpoint, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = e
	}
	for _, s := range p.services {
		s.version++
		kept := s.endpoints[:0]
		for _, w := range s.endpoints {
			e, ok := listed[w.spec.ID]
			w.leaving = !ok || e.Draining
			if ok {
				delete(listed, w.spec.ID)
				w.pace = p.paces(e)
			}
			if ok || len(w.calls) > 0 || len(w.results) > 0 {
				kept = append(kept, w)
			}
		}
		s.endpoints = kept
	}
	for _, e := range endpoints {
		s, ok := p.services[e.Service]
		if _, isNew := listed[e.ID]; !ok || !isNew || e.Draining {
			continue
		}
		s.endpoints = append(s.endpoints, &endpoint{
			spec: e, service: s, off: p.off, speed: 1, measuredAt: now, pace: p.paces(e),
			calls: make(map[CallID]*call), results: make(map[*result]struct{}),
		})
	}
	p.failClosed(now, endpoints)
	p.dispatchAll(now)
	return p.takeActions()
}

// ReasonClosed is the failure reason of tasks that need a service none of whose endpoints accepts
// work.
const ReasonClosed = "no endpoint of a stage takes work"

// closedRetryAfter is the retry delay for a service whose endpoints are all listed as draining,
// which seldom changes within a second.
const closedRetryAfter = time.Second

// failClosed fails the tasks that wait for a service whose listed endpoints are all draining. They
// would otherwise wait until other endpoints appear.
func (p *Pool) failClosed(now time.Time, endpoints []catalog.Endpoint) {
	closed := make(map[string]bool)
	for _, e := range endpoints {
		if before, ok := closed[e.Service]; !ok || before {
			closed[e.Service] = e.Draining
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.tasks)) {
		t := p.tasks[id]
		waits := slices.ContainsFunc(t.stages, func(s stage) bool { return len(s.unassigned) > 0 && closed[s.Service] })
		if waits && !t.complete {
			p.fail(now, t, ReasonClosed, closedRetryAfter)
		}
	}
}

// ExpectContention records that another leader may use the same endpoints until the given time. A
// call may then queue behind a call of the other leader, so its inputs are kept until it ends.
func (p *Pool) ExpectContention(until time.Time) {
	if until.After(p.contendedUntil) {
		p.contendedUntil = until
	}
}

// ReasonMoved is the failure reason of tasks that are handed off to another leader.
const ReasonMoved = "moved"

// HandOff fails the tasks for which no call was sent, so that another leader can run them from the
// start.
func (p *Pool) HandOff(now time.Time) []Action {
	for _, id := range slices.Sorted(maps.Keys(p.tasks)) {
		if t := p.tasks[id]; !t.started && !t.complete {
			p.fail(now, t, ReasonMoved, 0)
		}
	}
	p.dispatchAll(now)
	return p.takeActions()
}

// ReasonPoison is the failure reason of tasks whose request is refused because it crashes
// endpoints.
const ReasonPoison = "the request crashes endpoints"

// FailContent fails all tasks of a request that is refused from now on.
func (p *Pool) FailContent(now time.Time, content poison.ID) []Action {
	for _, id := range slices.Sorted(maps.Keys(p.tasks)) {
		if t := p.tasks[id]; t.Content == content && !t.complete {
			p.fail(now, t, ReasonPoison, 0)
		}
	}
	p.dispatchAll(now)
	return p.takeActions()
}

// Submit admits or rejects a task.
func (p *Pool) Submit(now time.Time, t Task) (Admission, []Action) {
	if !t.piecesInRange() || !t.normalize() {
		p.counters.Rejected++
		return Admission{RetryAfter: maxRetryAfter}, nil
	}
	booked := p.redeem(now, &t)
	if p.scheduled {
		p.shares.Offer(now, t.shareRequest())
	}
	planned, ok := p.estimate(now, t)
	if !ok {
		p.counters.Rejected++
		return Admission{RetryAfter: p.retryAfter(now, t)}, nil
	}
	finish := p.forecast(t, planned)
	v, rejected := p.admit(now, &t, finish, booked)
	if rejected && t.LaterDeadline.After(t.SoftDeadline) {
		t.SoftDeadline = t.LaterDeadline
		v, rejected = p.admit(now, &t, finish, booked)
	}
	if rejected {
		p.counters.Rejected++
		return p.bookReturn(now, &t, v), nil
	}
	if !p.acquireRemade(now, t) {
		p.counters.Rejected++
		return Admission{Finish: finish, RetryAfter: failedRetryAfter}, nil
	}
	if p.scheduled {
		p.shares.Admit(now, t.shareRequest())
	}
	p.counters.Accepted++
	p.lastTask++
	admitted := &task{Task: t, id: p.lastTask, stages: make([]stage, len(t.Stages)), acceptedAt: now, estimate: planned, scheduledFor: p.scheduledFor(now, &t)}
	for i, s := range t.Stages {
		admitted.stages[i] = stage{Stage: s}
	}
	p.tasks[admitted.id] = admitted
	p.begin(now, admitted)
	p.dispatchAll(now)
	return Admission{Accepted: true, ID: admitted.id, Finish: finish}, p.takeActions()
}

// acquireRemade counts the pieces of a task that are made again after the loss of another leader as
// retries, and reports false if the retry budget does not allow them.
func (p *Pool) acquireRemade(now time.Time, t Task) bool {
	for i, s := range t.Stages {
		if p.budget == nil || s.Pieces == 0 || !t.remakes(i) {
			continue
		}
		if !p.budget.TryAcquire(now, s.Service, s.Pieces) {
			return false
		}
		p.counters.Retried += uint64(s.Pieces)
	}
	return true
}

// BegunStages returns a bit for each stage of a task for which a call was sent.
func (p *Pool) BegunStages(id TaskID) uint64 {
	t, ok := p.tasks[id]
	if !ok {
		return 0
	}
	begun := uint64(0)
	for i := range t.stages {
		if t.stages[i].begun {
			begun |= stageBit(t.number(i))
		}
	}
	return begun
}

// begin adds all stages of a task to the backlogs and queues those that are ready.
func (p *Pool) begin(now time.Time, t *task) {
	for i := range t.stages {
		s := &t.stages[i]
		s.results = make([]*result, s.Pieces)
		s.unassigned = make([]int, s.Pieces)
		for k := range s.unassigned {
			s.unassigned[k] = k
		}
		s.completed = 0
		s.counted = false
		s.state = blocked
		s.freed = false
		if s.Pieces == 0 {
			s.state = finished
			continue
		}
		p.services[s.Service].initOccupancy(s.ResultBytes)
		p.services[s.Service].addBacklog(t, s, s.Pieces)
		if p.budget != nil && t.restarts == 0 && !t.remakes(i) {
			p.budget.AddRequests(now, s.Service, s.Pieces)
		}
	}
	if p.scheduled {
		p.countTask(now, t)
	}
	p.advance(now, t)
}

// advance queues the stages whose inputs are complete, and completes a task whose stages are all
// finished.
func (p *Pool) advance(now time.Time, t *task) {
	all := true
	for i := range t.stages {
		s := &t.stages[i]
		if s.state == finished {
			continue
		}
		all = false
		if s.state == blocked && p.inputsReady(t, i) {
			s.state = queued
			p.services[s.Service].inputsArrived(s)
			p.enqueue(now, t, i)
		}
	}
	if !all || t.complete {
		return
	}
	t.complete = true
	p.counters.Completed++
	if t.restarts == 0 {
		p.overruns[t.depth()].observe(t.estimate, now.Sub(t.acceptedAt))
		if p.scheduled {
			p.delays[t.depth()].observe(now.Sub(t.scheduledFor))
		}
	}
	c := Complete{Task: t.id}
	bytes := make(map[string]int64)
	for _, i := range t.finalStages() {
		for _, r := range t.stages[i].results {
			c.Handles = append(c.Handles, r.handle)
			domain := r.endpoint.spec.Domain
			bytes[domain] += r.bytes
			if bytes[domain] > c.Bytes {
				c.Domain, c.Bytes = domain, bytes[domain]
			}
		}
	}
	p.emit(c)
}

// finalStages returns the stages that no other stage depends on, by their numbers.
func (t *task) finalStages() []int {
	var list []int
	for i := range t.stages {
		needed := false
		for j := range t.stages {
			if t.stages[j].Pieces > 0 && slices.Contains(t.stages[j].After, i) {
				needed = true
			}
		}
		if !needed && t.stages[i].Pieces > 0 {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(t.number(a), t.number(b)) })
	return list
}

func (p *Pool) inputsReady(t *task, i int) bool {
	for _, after := range t.stages[i].After {
		if t.stages[after].state != finished {
			return false
		}
	}
	return true
}

func (p *Pool) enqueue(now time.Time, t *task, i int) {
	s := p.services[t.stages[i].Service]
	for _, e := range s.queue {
		if e.task == t && e.stage == i {
			return
		}
	}
	s.queue = append(s.queue, &entry{task: t, stage: i, home: p.home(t, i), since: now})
}

// Release removes a task and frees its results, either because its request has used them or because
// the request has ended.
func (p *Pool) Release(now time.Time, id TaskID) []Action {
	t, ok := p.tasks[id]
	if !ok {
		return p.takeActions()
	}
	p.remove(now, t)
	p.dispatchAll(now)
	return p.takeActions()
}

// remove deletes a task, removes its pieces from all queues, and frees its results.
func (p *Pool) remove(now time.Time, t *task) {
	delete(p.tasks, t.id)
	p.withdraw(t)
	for i := range t.stages {
		p.freeStage(now, t, i)
	}
}

func (p *Pool) withdraw(t *task) {
	for i := range t.stages {
		s := &t.stages[i]
		if s.Pieces == 0 {
			continue
		}
		svc := p.services[s.Service]
		svc.inputsArrived(s)
		svc.addBacklog(t, s, -len(s.unassigned))
		s.unassigned = nil
		kept := svc.queue[:0]
		for _, e := range svc.queue {
			if e.task != t || e.stage != i {
				kept = append(kept, e)
			}
		}
		clear(svc.queue[len(kept):])
		svc.queue = kept
	}
	for _, c := range p.calls {
		for k := range c.items {
			if c.items[k].task == t {
				c.items[k].wanted = false
			}
		}
	}
}

// freeStage frees the results of stage i.
func (p *Pool) freeStage(now time.Time, t *task, i int) {
	s := &t.stages[i]
	s.freed = true
	byMaker := make(map[*endpoint][]string)
	bytes := make(map[*endpoint]int64)
	var order []*endpoint
	for _, r := range s.results {
		if r == nil || !r.endpoint.drop(now, r) {
			continue
		}
		if byMaker[r.endpoint] == nil {
			order = append(order, r.endpoint)
		}
		byMaker[r.endpoint] = append(byMaker[r.endpoint], r.handle)
		bytes[r.endpoint] += r.bytes
	}
	for _, w := range order {
		p.queueFree(now, w, byMaker[w], bytes[w])
	}
}

// fail removes a task and reports its failure.
func (p *Pool) fail(now time.Time, t *task, reason string, retryAfter time.Duration) {
	p.counters.Failed++
	p.remove(now, t)
	p.emit(Fail{Task: t.id, Reason: reason, RetryAfter: retryAfter})
}

func (p *Pool) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Pool) takeActions() []Action {
	out := p.actions
	p.actions = nil
	return out
}
