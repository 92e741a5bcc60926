package run

import (
	"fmt"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/workqueue"
)

const (
	// probeInterval is how often a request is admitted although its deadline
	// looks unreachable, so that the recovery of a pool is detected.
	probeInterval = 250 * time.Millisecond
	// admitQuantile is the quantile of the stage times used for admission: a
	// request is refused only if even fast calls would miss its deadline.
	admitQuantile = 0.6
	// dispatchQuantile is the quantile of the stage times used before a queued
	// call is sent: a call that is likely to end late would occupy a slot that
	// another call can use in time.
	dispatchQuantile = 0.85
	minRetryAfter    = 10 * time.Millisecond
)

// Submit admits or refuses a request. A refused request gets no ID; its Finish
// is among the returned actions.
func (e *Engine) Submit(now time.Time, req Request) (ID, []Action) {
	if e.cfg == nil {
		e.refuse(req, failure.New(failure.NotReady, "this node has no configuration yet", failure.WithRetryAfter(time.Second)))
		return 0, e.takeActions()
	}
	pipeline, ok := e.cfg.Pipeline(req.Pipeline)
	if !ok {
		e.refuse(req, failure.New(failure.NoPipeline, fmt.Sprintf("there is no pipeline %q", req.Pipeline)))
		return 0, e.takeActions()
	}
	if req.Timeout <= 0 || req.Timeout > pipeline.Deadline() {
		req.Timeout = pipeline.Deadline()
	}
	if err := e.checkStop(now, req); err != nil {
		e.refuse(req, err)
		return 0, e.takeActions()
	}
	index, ok := e.accountIndex[req.Account]
	if !ok {
		e.refuse(req, failure.New(failure.Unauthorized, "the account is not in the configuration in force"))
		return 0, e.takeActions()
	}
	if err := e.checkDeadline(now, pipeline, req.Timeout, index); err != nil {
		e.refuse(req, err)
		return 0, e.takeActions()
	}
	account := e.accounts[index]
	if wait, ok := account.Admit(now); !ok {
		e.refuse(req, failure.New(failure.RateLimited, "the account is over its limit on this node", failure.WithRetryAfter(wait)))
		return 0, e.takeActions()
	}
	r := e.newRun(now, req, pipeline, index)
	e.counters.Admitted++
	e.enterStage(now, r)
	return r.id, e.takeActions()
}

func (e *Engine) newRun(now time.Time, req Request, pipeline *config.Pipeline, account int) *activeRun {
	e.lastRun++
	conf := &e.cfg.Accounts()[account]
	r := &activeRun{
		id:           e.lastRun,
		req:          req,
		pipeline:     pipeline,
		account:      e.accounts[account],
		accountIndex: account,
		weight:       conf.Share(),
		hash:         hash.Of(req.RequestID),
		started:      now,
		deadline:     now.Add(req.Timeout),
		input:        req.Input,
	}
	r.assignArm(conf.Name())
	e.runs[r.id] = r
	e.schedule(r.deadline, timer{kind: timerDeadline, run: r.id})
	return r
}

// checkDeadline refuses a request whose deadline is unreachable: the sum of
// fast stage times and current queueing delays exceeds its timeout.
func (e *Engine) checkDeadline(now time.Time, p *config.Pipeline, left time.Duration, account int) *failure.Error {
	if !e.cfg.Policies().EarlyRefusal() {
		return nil
	}
	need := e.remainingTime(now, p, 0) + e.queueDelay(now, p, account, left)
	if need <= left {
		return nil
	}
	if now.Sub(e.lastProbe) >= probeInterval {
		e.lastProbe = now
		return nil
	}
	after := max(need-left, minRetryAfter)
	return failure.New(failure.DeadlineUnreachable,
		fmt.Sprintf("about %v is needed and %v is left", need.Round(time.Millisecond), left.Round(time.Millisecond)),
		failure.WithRetryAfter(after))
}

// remainingTime returns the minimum time expected for the stages from the given
// one on.
func (e *Engine) remainingTime(now time.Time, p *config.Pipeline, from int) time.Duration {
	return e.remainingTimeAt(now, p, from, admitQuantile)
}

func (e *Engine) remainingTimeAt(now time.Time, p *config.Pipeline, from int, quantile float64) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages()); i++ {
		s := &p.Stages()[i]
		if s.Optional() {
			continue
		}
		sum += e.estimate(now, p.Name(), s.Name()).callTimes.Quantile(now, quantile)
	}
	return sum
}

// queueDelay returns the expected queueing time of a new request over all its
// stages, given the calls that the active order policy places ahead of it.
func (e *Engine) queueDelay(now time.Time, p *config.Pipeline, account int, left time.Duration) time.Duration {
	var sum time.Duration
	for i := range p.Stages() {
		pool, ok := e.pools[p.Stages()[i].PoolName()]
		if !ok || pool.queue.Len() == 0 {
			continue
		}
		ahead := pool.queue.Ahead(workqueue.Item{
			Deadline:  now.Add(left),
			Remaining: e.remainingTime(now, p, i),
			Account:   account,
			Weight:    e.cfg.Accounts()[account].Share(),
		})
		sum += pool.queueDelay(now, ahead)
	}
	return sum
}

// queueDelay returns the expected queueing time behind n calls of the pool.
func (p *pool) queueDelay(now time.Time, n int) time.Duration {
	capacity := max(p.place.Capacity(now), 1)
	took := p.callTimes.Mean(now)
	return took * time.Duration(n) / time.Duration(capacity)
}
