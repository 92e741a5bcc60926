package run

import (
	"fmt"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/order"
)

const (
	// probeGap is how often a request is let through although its deadline
	// looks out of reach, so that a pool that has recovered is noticed.
	probeGap = 250 * time.Millisecond
	// hopelessQuantile of the stage times is what a request is held to: it is
	// refused only when even quick calls would be too slow.
	hopelessQuantile = 0.6
	// startQuantile is what a waiting call is held to before it is sent: a call
	// that likely ends late would take the place of one that can still be on
	// time.
	startQuantile   = 0.85
	leastRetryAfter = 10 * time.Millisecond
)

// Submit admits a request or refuses it at once. A refused request has no ID;
// its Finish is among the actions.
func (e *Engine) Submit(now time.Time, req Request) (ID, []Action) {
	if e.cfg == nil {
		e.refuse(req, failure.New(failure.NotReady, "this node has no configuration yet", failure.WithRetryAfter(time.Second)))
		return 0, e.take()
	}
	pipeline, ok := e.cfg.Pipeline(req.Pipeline)
	if !ok {
		e.refuse(req, failure.New(failure.NoPipeline, fmt.Sprintf("there is no pipeline %q", req.Pipeline)))
		return 0, e.take()
	}
	if req.Timeout <= 0 || req.Timeout > pipeline.Deadline() {
		req.Timeout = pipeline.Deadline()
	}
	if err := e.fits(now, req); err != nil {
		e.refuse(req, err)
		return 0, e.take()
	}
	index, ok := e.accountIndex[req.Account]
	if !ok {
		e.refuse(req, failure.New(failure.Unauthorized, "the account is not in the configuration in force"))
		return 0, e.take()
	}
	if err := e.reachable(now, pipeline, req.Timeout, index); err != nil {
		e.refuse(req, err)
		return 0, e.take()
	}
	account := e.accounts[index]
	if wait, ok := account.Admit(now); !ok {
		e.refuse(req, failure.New(failure.RateLimited, "the account is over its limit on this node", failure.WithRetryAfter(wait)))
		return 0, e.take()
	}
	r := e.newRun(now, req, pipeline, index)
	e.counters.Admitted++
	e.enterStage(now, r)
	return r.id, e.take()
}

func (e *Engine) newRun(now time.Time, req Request, pipeline *config.Pipeline, account int) *activeRun {
	e.lastRun++
	conf := &e.cfg.Accounts()[account]
	r := &activeRun{
		id:       e.lastRun,
		req:      req,
		pipeline: pipeline,
		account:  e.accounts[account],
		index:    account,
		weight:   conf.Share(),
		hash:     hash.Of(req.RequestID),
		started:  now,
		deadline: now.Add(req.Timeout),
		input:    req.Input,
	}
	r.assignArm(conf.Name())
	e.runs[r.id] = r
	e.after(r.deadline, timer{kind: timerDeadline, run: r.id})
	return r
}

// reachable refuses a request whose deadline is out of reach: the sum of
// quick stage times and of the present queues exceeds what is left.
func (e *Engine) reachable(now time.Time, p *config.Pipeline, left time.Duration, account int) *failure.Error {
	if !e.cfg.Policies().EarlyRefusal() {
		return nil
	}
	need := e.needed(now, p, 0) + e.queued(now, p, account, left)
	if need <= left {
		return nil
	}
	if now.Sub(e.lastProbe) >= probeGap {
		e.lastProbe = now
		return nil
	}
	after := max(need-left, leastRetryAfter)
	return failure.New(failure.DeadlineUnreachable,
		fmt.Sprintf("about %v is needed and %v is left", need.Round(time.Millisecond), left.Round(time.Millisecond)),
		failure.WithRetryAfter(after))
}

// needed is the least time that the stages from the given one on will take.
func (e *Engine) needed(now time.Time, p *config.Pipeline, from int) time.Duration {
	return e.neededAt(now, p, from, hopelessQuantile)
}

func (e *Engine) neededAt(now time.Time, p *config.Pipeline, from int, quantile float64) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages()); i++ {
		s := &p.Stages()[i]
		if s.Optional() {
			continue
		}
		sum += e.estimate(now, p.Name(), s.Name()).took.Quantile(now, quantile)
	}
	return sum
}

// queued is the expected time in the queues of a new request's stages, behind
// those that go before it under the order in force.
func (e *Engine) queued(now time.Time, p *config.Pipeline, account int, left time.Duration) time.Duration {
	var sum time.Duration
	for i := range p.Stages() {
		pool, ok := e.pools[p.Stages()[i].PoolName()]
		if !ok || pool.queue.Len() == 0 {
			continue
		}
		ahead := pool.queue.Ahead(order.Item{
			Deadline:  now.Add(left),
			Remaining: e.needed(now, p, i),
			Account:   account,
			Weight:    e.cfg.Accounts()[account].Share(),
		})
		sum += pool.wait(now, ahead)
	}
	return sum
}

// wait is the expected time behind n calls in the pool's queue.
func (p *pool) wait(now time.Time, n int) time.Duration {
	capacity := max(p.place.Capacity(now), 1)
	took := p.took.Mean(now)
	return took * time.Duration(n) / time.Duration(capacity)
}
