package run

import (
	"strings"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/budget"
	"gradetiller.example/internal/core/drain"
	"gradetiller.example/internal/core/limit"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/workqueue"
)

// Counters holds cumulative counts since the engine was created.
type Counters struct {
	Admitted, Refused, Finished, Hedges, Retries, Resumes, Skips, LateAnswers, Ejections uint64
}

// Engine is the state of the data path on one node. It is not safe for
// concurrent use.
type Engine struct {
	cfg      *config.Config
	nodes    int
	seed     uint64
	accounts []*limit.Account
	// accountIndex maps an account's name to its index.
	accountIndex map[string]int
	// rateShare is each account's share of its rate on this node.
	rateShare func(account int) float64
	// rateShareConfig is the configuration that rateShare's account indices
	// refer to.
	rateShareConfig *config.Config
	pools           map[string]*pool
	poolsByIndex    []*pool
	runs            map[ID]*activeRun
	calls           map[AttemptID]*call
	pendingRecords  map[ID]recordKey
	estimates       map[stageKey]*estimate
	timers          timerHeap
	lastRun         ID
	lastCall        AttemptID
	lastProbe       time.Time
	// window ends when the process does; it is set once a stop has begun.
	window   drain.Window
	counters Counters
	actions  []Action
}

// pool is the state of one pool on this node.
type pool struct {
	conf        *config.Pool
	place       *place.Pool
	queue       *workqueue.Queue[*activeRun]
	orderPolicy string
	retries     *attempt.RetryBudget
	callTimes   *budget.Estimator
	// nextPump is when the queue is next retried without an event.
	nextPump time.Time
}

type stageKey struct{ pipeline, stage string }

// estimate holds the measured times of one stage of one pipeline.
type estimate struct {
	callTimes       *budget.Estimator
	firstTokenTimes *budget.Estimator
}

// New returns an engine without a configuration; it refuses every request as
// not ready until Configure is called.
func New(seed uint64) *Engine {
	return &Engine{
		seed:           seed,
		nodes:          1,
		pools:          make(map[string]*pool),
		runs:           make(map[ID]*activeRun),
		calls:          make(map[AttemptID]*call),
		pendingRecords: make(map[ID]recordKey),
		estimates:      make(map[stageKey]*estimate),
		rateShare:      func(int) float64 { return 1 },
	}
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters { return e.counters }

// InFlight returns the number of unfinished runs.
func (e *Engine) InFlight() int { return len(e.runs) }

// Config returns the active configuration, or nil.
func (e *Engine) Config() *config.Config { return e.cfg }

// slotOvercommit is the factor by which the nodes together may exceed an
// endpoint's slots, so that the unused share of one node is not lost.
const slotOvercommit = 1.5

// Configure applies a configuration. nodes is the number of entry nodes that
// share the endpoints. Runs in flight keep the pipeline they started with;
// their pools are looked up by name, so that a removed pool still receives the
// results of its calls.
func (e *Engine) Configure(now time.Time, cfg *config.Config, nodes int) error {
	e.nodes = max(nodes, 1)
	e.poolsByIndex = make([]*pool, len(cfg.Pools()))
	kept := make(map[string]bool)
	for i := range cfg.Pools() {
		conf := &cfg.Pools()[i]
		p, err := e.configurePool(now, cfg, conf)
		if err != nil {
			return err
		}
		e.poolsByIndex[i] = p
		kept[conf.Name()] = true
	}
	for name, p := range e.pools {
		if !kept[name] {
			p.place.Update(nil)
		}
	}
	// The account indices of the shares refer to the previous configuration.
	e.rateShareConfig = nil
	e.configureAccounts(now, cfg)
	e.cfg = cfg
	return nil
}

func (e *Engine) configurePool(now time.Time, cfg *config.Config, conf *config.Pool) (*pool, error) {
	p, ok := e.pools[conf.Name()]
	if !ok {
		placed, err := place.NewPool(conf.Place(), e.seed)
		if err != nil {
			return nil, err
		}
		p = &pool{place: placed, callTimes: budget.NewEstimator(now), retries: newRetries(cfg.Policies())}
		e.pools[conf.Name()] = p
	}
	if p.conf == nil || p.conf.Place() != conf.Place() {
		if err := p.place.SetPolicy(conf.Place()); err != nil {
			return nil, err
		}
	}
	if p.orderPolicy != conf.Order() {
		if err := p.reorder(conf.Order()); err != nil {
			return nil, err
		}
	}
	p.conf = conf
	p.place.Update(e.endpointSpecs(cfg, conf))
	return p, nil
}

func newRetries(policies config.Policies) *attempt.RetryBudget {
	if policies.PlainRetry() {
		return attempt.NewRetryBudget(-1)
	}
	return attempt.NewRetryBudget(policies.RetryShare())
}

// reorder moves the queued runs to a queue with the named policy.
func (p *pool) reorder(name string) error {
	q, err := workqueue.New[*activeRun](name)
	if err != nil {
		return err
	}
	if p.queue != nil {
		for r, ok := p.queue.Pop(); ok; r, ok = p.queue.Pop() {
			r.queued = q.Push(r, r.item)
		}
	}
	p.queue = q
	p.orderPolicy = name
	return nil
}

// endpointSpecs returns the endpoints of a pool that accept calls.
func (e *Engine) endpointSpecs(cfg *config.Config, conf *config.Pool) []place.Spec {
	specs := make([]place.Spec, 0, len(conf.Endpoints()))
	for i := range conf.Endpoints() {
		ep := &conf.Endpoints()[i]
		if !cfg.InService(ep) {
			continue
		}
		specs = append(specs, place.Spec{
			Name:     ep.Name(),
			Address:  ep.Address(),
			Domain:   ep.Domain(),
			Slots:    e.slotShare(ep.Slots()),
			Cost:     ep.Cost(),
			Versions: ep.Versions(),
			// Endpoints state no version of their software. Those that serve the same models count as
			// one version.
			SoftwareVersion: strings.Join(ep.Versions(), ","),
		})
	}
	return specs
}

func (e *Engine) slotShare(slots int) int {
	if e.nodes == 1 {
		return slots
	}
	share := slotOvercommit * float64(slots) / float64(e.nodes)
	return max(1, int(share+0.5))
}

func (e *Engine) configureAccounts(now time.Time, cfg *config.Config) {
	older := make(map[string]*limit.Account)
	if e.cfg != nil {
		for i := range e.cfg.Accounts() {
			older[e.cfg.Accounts()[i].Name()] = e.accounts[i]
		}
	}
	accounts := make([]*limit.Account, len(cfg.Accounts()))
	e.accountIndex = make(map[string]int, len(accounts))
	for i := range cfg.Accounts() {
		conf := &cfg.Accounts()[i]
		a, ok := older[conf.Name()]
		if !ok {
			a = limit.NewAccount(now, e.limits(conf, i))
		}
		a.Update(now, e.limits(conf, i))
		accounts[i] = a
		e.accountIndex[conf.Name()] = i
	}
	e.accounts = accounts
}

func (e *Engine) limits(conf *config.Account, i int) limit.Settings {
	share := 1.0
	if e.rateShareConfig == e.cfg {
		share = e.rateShare(i)
	}
	return limit.Settings{
		Rate:        conf.Rate() * share,
		Burst:       max(1, conf.Burst()*share),
		Concurrency: conf.Concurrency(),
	}
}

// SetRateShares sets this node's share of each account's rate; share returns a
// value from 0 to 1 for an account's index.
func (e *Engine) SetRateShares(now time.Time, share func(account int) float64) {
	e.rateShare = share
	e.rateShareConfig = e.cfg
	if e.cfg == nil {
		return
	}
	for i := range e.cfg.Accounts() {
		e.accounts[i].Update(now, e.limits(&e.cfg.Accounts()[i], i))
	}
}

// SetDraining marks an endpoint of a pool as draining, so that it gets no new
// calls, or as back in service.
func (e *Engine) SetDraining(poolName, endpoint string, leaving bool) []Action {
	p, ok := e.pools[poolName]
	if !ok {
		return nil
	}
	i := p.place.Find(endpoint)
	switch {
	case i == place.None:
	case leaving:
		e.drainEndpoint(p, i)
	default:
		p.place.ClearLeaving(i)
	}
	return e.takeActions()
}

func (e *Engine) drainEndpoint(p *pool, i int) {
	if p.place.MarkLeaving(i) {
		e.emit(Decision{Name: DecideDrain, Endpoint: p.place.At(i).Spec().Name})
	}
}

// Queued returns the number of stage calls queued for the named pool.
func (e *Engine) Queued(poolName string) int {
	if p, ok := e.pools[poolName]; ok {
		return p.queue.Len()
	}
	return 0
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

func (e *Engine) takeActions() []Action {
	out := e.actions
	e.actions = nil
	return out
}

func (e *Engine) refuse(req Request, err *failure.Error) {
	e.counters.Refused++
	e.emit(Decision{Name: DecideRefuse, RequestID: req.RequestID, Reason: err.Error()})
	e.emit(Finish{Err: err, Summary: Summary{RequestID: req.RequestID, Account: req.Account, Pipeline: req.Pipeline, Class: req.Class}})
}
