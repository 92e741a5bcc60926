package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/booking"
	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/patience"
	"gradetiller.example/internal/core/pending"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/core/rollout"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/core/standby"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

const (
	leaderTickInterval = 20 * time.Millisecond
	// statsLogInterval is how often the state of a stage pool is logged.
	statsLogInterval = time.Second
	// contentionPeriod is how long calls of another leader may still be queued at endpoints
	// after that leader was last seen.
	contentionPeriod = 2500 * time.Millisecond
)

// taskKey identifies a task by the node that submitted it and the ID that this node gave it.
type taskKey struct {
	node        string
	incarnation uint64
	id          uint64
}

// taskOwner is the node that submitted a task, and where its results are sent.
type taskOwner struct {
	key    taskKey
	answer func(wire.Message) error
}

// leaders holds the stage pools that this node leads or led.
type leaders struct {
	log        *zap.Logger
	workers    *platform.WorkerClient
	meters     *meters
	modelPools *pools
	budget     func() stagepool.RetryBudget
	pace       func(catalog.Endpoint) intake.Pace
	disabled   mechanism.Disabled
	mu         sync.Mutex
	view       *view
	cells      map[int]*leader
	// callRates holds the recent calls per second of a cell to each stage service.
	ratesMu   sync.Mutex
	callRates map[string]float64
	// learnOnUpdate reports whether the engines must be asked for the contents of their
	// prompt caches as soon as there is a view.
	learnOnUpdate bool
	// domains returns a function that reports whether a failure domain lies in some regions.
	domains func(catalog.Regions) func(string) bool
	// armOf returns the arm of a request that is placed now.
	armOf func(now time.Time, service, requestID string) rollout.Arm
	// stageVersions marks the stage endpoints that a rollout keeps from work as draining.
	stageVersions func(now time.Time, orders rollout.Orders, list []catalog.Endpoint)
	// tracked is called when a call to a stage endpoint starts, and returns a function that is
	// called with its outcome.
	tracked func(service, endpoint string) func(ok bool, took time.Duration)
	// onBrokenCall is called when a call to an endpoint breaks, with the requests that it
	// carried.
	onBrokenCall func(ctx context.Context, e catalog.Endpoint, took time.Duration, requests []poison.ID)
	// brittle reports whether the endpoints of a service fail if they must reject too many requests.
	brittle func(service string) bool
	// checkPath is called when a call to an endpoint takes far too long.
	checkPath func(catalog.Endpoint)
	// standbyAddress returns the address of the standby of a cell, or "", and send sends a message to
	// another node.
	standbyAddress func(cell int) string
	send           func(address string, m wire.Message)
	retries        *stageRetries
}

// leader runs the stage pool of one cell.
type leader struct {
	leaders *leaders
	cell    int
	mu      sync.Mutex
	pool    *stagepool.Pool
	// book holds the bookings of the pool's rejected tasks.
	book   *booking.Book
	owners map[stagepool.TaskID]taskOwner
	tasks  map[taskKey]stagepool.TaskID
	// modelRequests holds what the tasks' requests need from their models, placedCalls their
	// placements from the time they are sent until their responses start, and pendingPlacements
	// the tasks whose requests cannot be placed yet.
	modelRequests     map[stagepool.TaskID]placementRequest
	placedCalls       map[stagepool.TaskID]*placedCall
	pendingPlacements pending.Queue[stagepool.Complete]
	lastLogged        time.Time
	// calls is the number of calls to each stage service at lastLogged.
	calls map[string]uint64
	// patience tells whether admission by schedule is active. refused counts the tasks that it
	// rejected since lastLogged.
	patience *patience.Tracker
	refused  int
	// ticking reports whether a tick is scheduled. It is while there are tasks, bookings or a standby.
	ticking bool
	// standby decides what is sent to the standby, and inherited is what a previous leader had.
	standby         *standby.Leader
	standbyTickedAt time.Time
	inherited       inherited
}

func newLeaders(log *zap.Logger, workers *platform.WorkerClient, models *pools, budget func() stagepool.RetryBudget, pace func(catalog.Endpoint) intake.Pace, off mechanism.Disabled) *leaders {
	return &leaders{log: log, workers: workers, modelPools: models, budget: budget, pace: pace, disabled: off, cells: make(map[int]*leader), callRates: make(map[string]float64)}
}

func (l *leaders) update(now time.Time, v *view, ratesChanged bool) {
	l.mu.Lock()
	l.view = v
	learn := l.learnOnUpdate
	l.learnOnUpdate = false
	if len(l.cells) > 0 {
		// Most nodes of a large system never lead and need no state for all endpoints.
		l.modelPools.update(v, ratesChanged)
	}
	l.mu.Unlock()
	for _, c := range l.all() {
		c.configure(now, v)
	}
	if learn {
		go l.learnCaches()
	}
}

// evacuated reports whether a failure domain is evacuated, so that nothing may be sent to its
// endpoints.
func (l *leaders) evacuated(domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view != nil && l.view.evacuations.Contains(domain)
}

func (l *leaders) get(cell int) *leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.cells[cell]
	if ok || l.view == nil {
		return c
	}
	book := booking.New()
	c = &leader{
		leaders: l, cell: cell, book: book,
		pool:   stagepool.New(stagepool.WithRetryBudget(l.budget()), stagepool.WithPaces(l.pace), stagepool.WithBookings(book), stagepool.Without(l.disabled)),
		owners: make(map[stagepool.TaskID]taskOwner), tasks: make(map[taskKey]stagepool.TaskID),
		modelRequests: make(map[stagepool.TaskID]placementRequest), placedCalls: make(map[stagepool.TaskID]*placedCall),
		patience: patience.NewTracker(), standby: standby.NewLeader(cell),
	}
	l.cells[cell] = c
	l.modelPools.update(l.view, true)
	c.configure(time.Now(), l.view)
	return c
}

func (c *leader) configure(now time.Time, v *view) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := v.cellEndpoints(c.cell)
	c.leaders.stageVersions(now, v.rollouts, list)
	c.execute(c.pool.Configure(now, v.config.Services, list))
}

// expectContention informs the pool of a cell that another leader may use the same endpoints.
func (l *leaders) expectContention(cell int, now time.Time) {
	c := l.get(cell)
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool.ExpectContention(now.Add(contentionPeriod))
}

// backoff stops calls to a stage endpoint until the given time.
func (l *leaders) backoff(now time.Time, endpoint string, until time.Time) {
	for _, c := range l.all() {
		c.mu.Lock()
		c.execute(c.pool.Backoff(now, endpoint, until))
		c.mu.Unlock()
	}
}

// handOff returns the tasks of a cell that have not started to their owners.
func (l *leaders) handOff(cell int, now time.Time) {
	c := l.get(cell)
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.execute(c.pool.HandOff(now))
}

// failContent fails the tasks of a request that is refused from now on.
func (c *leader) failContent(content poison.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.execute(c.pool.FailContent(time.Now(), content))
}

// idle reports whether the pool of a cell has no tasks.
func (l *leaders) idle(cell int) bool {
	c := l.get(cell)
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool.Tasks() == 0
}

// submit submits the stages of a request to the pool of their cell and replies with the
// verdict.
func (l *leaders) submit(o taskOwner, m *wire.StagesSubmit) {
	c := l.get(m.Cell)
	if c == nil {
		_ = o.answer(wire.StagesAdmission{ID: m.ID, RetryAfter: time.Second.Milliseconds()})
		return
	}
	now := time.Now()
	domains := l.domains(m.Regions)
	request := newPlacementRequest(now, m, domains)
	f := l.modelPools.predict(now, request.needAt(now), m.ExtraTokens)
	t := stagepool.Task{
		RequestID: m.RequestID, Key: m.Key, Priority: m.Priority, Domain: f.domain, Domains: domains,
		SoftDeadline: now.Add(clamp.Milliseconds(m.SoftDeadline) - f.ttft),
		Allowance:    f.extraPrefill, FirstEvent: f.ttft,
		Deadline: now.Add(clamp.Milliseconds(m.Deadline)),
		Route:    m.Route, Account: m.Account, RoutePriority: m.RoutePriority,
		Tokens: m.Tokens + m.OutputTokens, Patience: clamp.Milliseconds(m.Patience),
	}
	// Nodes of an earlier version do not send the content ID.
	t.Content, _ = poison.ParseID(m.Content)
	for _, s := range m.Stages {
		t.Stages = append(t.Stages, stagepool.Stage(s))
	}
	request.softDeadline = t.SoftDeadline
	wanted := t.SoftDeadline
	if m.LaterDeadline > 0 {
		t.LaterDeadline = now.Add(clamp.Milliseconds(m.LaterDeadline) - f.ttft)
		wanted = t.LaterDeadline
	}
	by := pending.Until(now, wanted.Add(t.Allowance))
	if retryAfter, ok := l.modelPools.admits(now, m.Model, by); !ok && l.placesCalls() {
		_ = o.answer(wire.StagesAdmission{ID: m.ID, RetryAfter: retryAfter.Milliseconds(), Reason: noCapacityReason})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Remade = c.inherited.remade(now, o.key, m)
	verdict, actions := c.admit(now, t)
	if verdict.Accepted {
		request.reserved = true
		l.modelPools.reserve(m.Model)
		c.owners[verdict.ID] = o
		c.tasks[o.key] = verdict.ID
		c.modelRequests[verdict.ID] = request
	}
	if verdict.Accepted || verdict.Reserved {
		c.scheduleTick()
	}
	_ = o.answer(admissionAnswer(m.ID, verdict))
	c.execute(actions)
}

// all returns the leaders of all cells that this node leads or led.
func (l *leaders) all() []*leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	cells := make([]*leader, 0, len(l.cells))
	for _, c := range l.cells {
		cells = append(cells, c)
	}
	return cells
}

// knows reports whether one of the pools has a task.
func (l *leaders) knows(key taskKey) bool {
	for _, c := range l.all() {
		c.mu.Lock()
		_, ok := c.tasks[key]
		c.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// release ends a task at the request of its owner.
func (l *leaders) release(key taskKey, m *wire.StagesRelease) {
	for _, c := range l.all() {
		c.mu.Lock()
		if id, ok := c.tasks[key]; ok {
			c.finishPlaced(id, m)
			c.removeTask(id)
			c.execute(c.pool.Release(time.Now(), id))
		}
		c.mu.Unlock()
	}
}

func (c *leader) removeTask(id stagepool.TaskID) {
	c.finishPlaced(id, &wire.StagesRelease{})
	c.releaseReservation(id)
	delete(c.modelRequests, id)
	delete(c.tasks, c.owners[id].key)
	delete(c.owners, id)
}

// scheduleTick schedules the next tick unless one is scheduled. Ticks repeat while there are
// tasks, bookings or a standby. The caller must hold mu.
func (c *leader) scheduleTick() {
	if c.ticking {
		return
	}
	c.ticking = true
	interval := leaderTickInterval
	if c.pool.Tasks() == 0 {
		interval = standby.Interval
	}
	time.AfterFunc(interval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ticking = false
		c.execute(c.pool.Tick(time.Now()))
		c.placeWaiting(time.Now())
		c.logState(time.Now())
		c.tickStandby(time.Now())
		if c.pool.Tasks() > 0 || c.book.Stats().Open > 0 || c.standby.Active() {
			c.scheduleTick()
		}
	})
}

// logState logs the state of the pool and exports it as metrics, at most once per
// statsLogInterval. The caller must hold mu.
func (c *leader) logState(now time.Time) {
	if now.Sub(c.lastLogged) < statsLogInterval {
		return
	}
	span := now.Sub(c.lastLogged)
	c.lastLogged = now
	if prompts := c.leaders.modelPools.takeWithoutRoom(); prompts > 0 {
		c.leaders.log.Info(eventNoEngineRoom, zap.Uint64("prompts", prompts), zap.Float64("reserved", c.leaders.modelPools.reservedShare(now)))
	}
	for _, s := range c.pool.Stats(now) {
		c.recordCallRate(s.Service, s.Calls, span)
		c.leaders.log.Info(eventStageService, zap.Int("cell", c.cell), zap.String("service", s.Service),
			zap.Int("endpoints", s.Endpoints), zap.Int("busy", s.Busy), zap.Int("queued", s.Queued), zap.Int("backlog", s.Backlog),
			zap.Uint64("calls", s.Calls), zap.Uint64("pieces", s.Pieces), zap.Float64("room", s.RoomUsed))
		c.leaders.meters.stageState(s.Service, s.Queued, s.Backlog, s.Busy, s.RoomUsed)
	}
	c.logShares(now)
}

// execute executes the actions that the pool returned. It does not block. The caller must
// hold mu.
func (c *leader) execute(actions []stagepool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case stagepool.StartCall:
			go c.call(a)
		case stagepool.Free:
			go c.free(a)
		case stagepool.Complete:
			c.complete(time.Now(), a)
		case stagepool.Fail:
			c.sendDone(a.Task, wire.StagesDone{FailureReason: a.Reason, RetryAfter: a.RetryAfter.Milliseconds()})
			c.removeTask(a.Task)
		}
	}
}

func (c *leader) sendDone(id stagepool.TaskID, m wire.StagesDone) {
	o, ok := c.owners[id]
	if !ok {
		return
	}
	m.ID = o.key.id
	go func() { _ = o.answer(m) }()
}
