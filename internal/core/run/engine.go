package run

import (
	"time"

	"gradetiller.example/config"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/budget"
	"gradetiller.example/internal/core/drain"
	"gradetiller.example/internal/core/limit"
	"gradetiller.example/internal/core/order"
	"gradetiller.example/internal/core/place"
)

// Counters count what the engine did since its start.
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
	// accountIndex finds an account's index by its name.
	accountIndex map[string]int
	// rateShare is each account's share of its rate on this node.
	rateShare func(account int) float64
	// sharesFor is the configuration whose account indices rateShare knows.
	sharesFor *config.Config
	pools     map[string]*pool
	byIndex   []*pool
	runs      map[ID]*activeRun
	calls     map[AttemptID]*call
	recording map[ID]recordKey
	estimates map[stageKey]*estimate
	timers    timerHeap
	lastRun   ID
	lastCall  AttemptID
	lastProbe time.Time
	// window is what is left of the process's time once a stop has begun.
	window   drain.Window
	counters Counters
	out      []Action
}

// pool is the state of one pool on this node.
type pool struct {
	conf    *config.Pool
	place   *place.Pool
	queue   *order.Queue[*activeRun]
	ordered string
	retries *attempt.RetryBudget
	took    *budget.Estimator
	// pumpAt is when the queue is looked at again although nothing ended.
	pumpAt time.Time
}

type stageKey struct{ pipeline, stage string }

// estimate holds what is measured of one stage of one pipeline.
type estimate struct {
	took  *budget.Estimator
	first *budget.Estimator
}

// New returns an engine without configuration; it refuses every request as
// not ready until Configure.
func New(seed uint64) *Engine {
	return &Engine{
		seed:      seed,
		nodes:     1,
		pools:     make(map[string]*pool),
		runs:      make(map[ID]*activeRun),
		calls:     make(map[AttemptID]*call),
		recording: make(map[ID]recordKey),
		estimates: make(map[stageKey]*estimate),
		rateShare: func(int) float64 { return 1 },
	}
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters { return e.counters }

// InFlight returns the number of runs that are not finished.
func (e *Engine) InFlight() int { return len(e.runs) }

// Config returns the configuration in force, or nil.
func (e *Engine) Config() *config.Config { return e.cfg }

// slotOvercommit is by how much the nodes together may exceed an endpoint's
// slots, so that one node's idle share is not lost to the others.
const slotOvercommit = 1.5

// Configure puts a configuration in force. nodes is the number of entry nodes
// that share the endpoints. Runs in flight keep the pipeline they started
// with; their pools are found by name, so that a pool that is gone still
// receives the ends of its calls.
func (e *Engine) Configure(now time.Time, cfg *config.Config, nodes int) error {
	e.nodes = max(nodes, 1)
	e.byIndex = make([]*pool, len(cfg.Pools()))
	kept := make(map[string]bool)
	for i := range cfg.Pools() {
		conf := &cfg.Pools()[i]
		p, err := e.configurePool(now, cfg, conf)
		if err != nil {
			return err
		}
		e.byIndex[i] = p
		kept[conf.Name()] = true
	}
	for name, p := range e.pools {
		if !kept[name] {
			p.place.Update(nil)
		}
	}
	// The shares' indices belong to the earlier configuration.
	e.sharesFor = nil
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
		p = &pool{place: placed, took: budget.NewEstimator(now), retries: newRetries(cfg.Policies())}
		e.pools[conf.Name()] = p
	}
	if p.conf == nil || p.conf.Place() != conf.Place() {
		if err := p.place.SetPolicy(conf.Place()); err != nil {
			return nil, err
		}
	}
	if p.ordered != conf.Order() {
		if err := p.reorder(conf.Order()); err != nil {
			return nil, err
		}
	}
	p.conf = conf
	p.place.Update(e.specs(cfg, conf))
	return p, nil
}

func newRetries(policies config.Policies) *attempt.RetryBudget {
	if policies.PlainRetry() {
		return attempt.NewRetryBudget(-1)
	}
	return attempt.NewRetryBudget(policies.RetryShare())
}

// reorder moves the waiting runs into a queue under another policy.
func (p *pool) reorder(name string) error {
	q, err := order.New[*activeRun](name)
	if err != nil {
		return err
	}
	if p.queue != nil {
		for r, ok := p.queue.Pop(); ok; r, ok = p.queue.Pop() {
			r.waiting = q.Push(r, r.item)
		}
	}
	p.queue = q
	p.ordered = name
	return nil
}

// specs lists the endpoints of a pool to which calls go.
func (e *Engine) specs(cfg *config.Config, conf *config.Pool) []place.Spec {
	specs := make([]place.Spec, 0, len(conf.Endpoints()))
	for i := range conf.Endpoints() {
		ep := &conf.Endpoints()[i]
		if !cfg.TakesWork(ep) {
			continue
		}
		specs = append(specs, place.Spec{
			Name:     ep.Name(),
			Address:  ep.Address(),
			Domain:   ep.Domain(),
			Slots:    e.nodeSlots(ep.Slots()),
			Cost:     ep.Cost(),
			Versions: ep.Versions(),
		})
	}
	return specs
}

func (e *Engine) nodeSlots(slots int) int {
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
	if e.sharesFor == e.cfg {
		share = e.rateShare(i)
	}
	return limit.Settings{
		Rate:        conf.Rate() * share,
		Burst:       max(1, conf.Burst()*share),
		Concurrency: conf.Concurrency(),
	}
}

// SetRateShares puts new shares of the accounts' rates in force on this node;
// share returns 0 to 1 for an account's index.
func (e *Engine) SetRateShares(now time.Time, share func(account int) float64) {
	e.rateShare = share
	e.sharesFor = e.cfg
	if e.cfg == nil {
		return
	}
	for i := range e.cfg.Accounts() {
		e.accounts[i].Update(now, e.limits(&e.cfg.Accounts()[i], i))
	}
}

// SetDraining tells that an endpoint of a pool is leaving and must get no new
// work, or that it is back.
func (e *Engine) SetDraining(poolName, endpoint string, leaving bool) []Action {
	p, ok := e.pools[poolName]
	if !ok {
		return nil
	}
	i := p.place.Find(endpoint)
	switch {
	case i == place.None:
	case leaving:
		e.leave(p, i)
	default:
		p.place.Return(i)
	}
	return e.take()
}

func (e *Engine) leave(p *pool, i int) {
	if p.place.Leave(i) {
		e.emit(Decision{Name: DecideDrain, Endpoint: p.place.At(i).Spec().Name})
	}
}

// Queued returns the number of stage calls that wait for the named pool.
func (e *Engine) Queued(poolName string) int {
	if p, ok := e.pools[poolName]; ok {
		return p.queue.Len()
	}
	return 0
}

func (e *Engine) emit(a Action) { e.out = append(e.out, a) }

func (e *Engine) take() []Action {
	out := e.out
	e.out = nil
	return out
}

func (e *Engine) refuse(req Request, err *failure.Error) {
	e.counters.Refused++
	e.emit(Decision{Name: DecideRefuse, RequestID: req.RequestID, Reason: err.Error()})
	e.emit(Finish{Err: err, Summary: Summary{RequestID: req.RequestID, Account: req.Account, Pipeline: req.Pipeline, Class: req.Class}})
}
