package control

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/internal/core/fleet"
	"gradetiller.example/internal/core/lease"
	"gradetiller.example/internal/endpoints"
	"gradetiller.example/internal/platform"
)

const (
	placementKey = "lease/placement"
	jobInterval  = time.Second
	leaseTimeout = time.Second
	// orderTimeout bounds an order's flight. A new holder waits it out before
	// it gives orders to engines that do not check who gives them.
	orderTimeout = time.Second
)

// placement is the leased job that has engines load what the configuration
// wants.
type placement struct {
	c        *Control
	mu       sync.Mutex // guards lease
	lease    *lease.Lease
	orders   endpoints.Orderer
	state    endpoints.StateReader
	interval time.Duration
	seen     map[string]fleet.Status // last reports
	next     int                     // engine to look at next
	epoch    uint64                  // that the holder acts under
	since    time.Time               // when it took it
	wait     time.Duration
}

func newPlacement(c *Control, term time.Duration) *placement {
	adapter := endpoints.NewHTTP()
	return &placement{
		c: c, orders: adapter, state: adapter, interval: min(jobInterval, term/10), wait: orderTimeout,
		seen:  make(map[string]fleet.Status),
		lease: lease.New(fmt.Sprintf("%s#%d", c.id.Node, c.id.Incarnation), term),
	}
}

func (p *placement) run(ctx context.Context) {
	every(ctx, p.interval, func() {
		p.stepLease(ctx)
		if p.holds() {
			p.round(ctx)
		}
	})
}

// stepLease takes one step with the table; reads and writes are bounded so
// that a slow table does not hold up the job.
func (p *placement) stepLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	p.mu.Lock()
	s := p.lease.Next(time.Now(), rand.Text())
	p.mu.Unlock()
	switch s.Kind {
	case lease.Read:
		rows, err := p.c.table.Read(ctx, placementKey)
		if err != nil {
			return
		}
		var row lease.Row
		if rows[0].Version > 0 && json.Unmarshal(rows[0].Value, &row) != nil {
			return
		}
		p.mu.Lock()
		p.lease.ReadDone(time.Now(), rows[0].Version, row)
		p.mu.Unlock()
	case lease.Write:
		value, err := json.Marshal(s.Row)
		if err != nil {
			return
		}
		err = p.c.table.Write(ctx, []platform.Put{{Key: placementKey, IfVersion: s.IfVersion, Value: value}})
		p.mu.Lock()
		p.lease.WriteDone(time.Now(), leaseResult(err))
		p.mu.Unlock()
	}
}

func leaseResult(err error) lease.WriteResult {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return lease.Accepted
	case errors.As(err, &conflict):
		return lease.Conflict
	case errors.Is(err, platform.ErrRefused):
		return lease.Refused
	}
	return lease.ResponseLost
}

// held returns the epoch while this process holds the lease. It is asked right
// before every order.
func (p *placement) held() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease.Holds(time.Now())
}

// holder names the holder as last read.
func (p *placement) holder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, epoch := p.lease.Holder()
	if name == "" {
		return ""
	}
	return fmt.Sprintf("%s epoch %d", name, epoch)
}

// holds notes a change of epoch, from which the wait counts.
func (p *placement) holds() bool {
	epoch, ok := p.held()
	if ok && epoch != p.epoch {
		p.epoch, p.since = epoch, time.Now()
		clear(p.seen)
		p.c.record("lease_taken", "lease/placement", fmt.Sprintf("epoch=%d", epoch))
	}
	return ok
}

// round compares what is wanted with what the engines report and orders the
// difference.
func (p *placement) round(ctx context.Context) {
	p.c.mu.Lock()
	cfg, version := p.c.cfg, p.c.inForce.Version
	p.c.mu.Unlock()
	if cfg == nil {
		return
	}
	engines := enginesOf(cfg)
	p.look(ctx, engines)
	for _, o := range fleet.Plan(version, engines, p.seen) {
		if !o.Engine.ChecksEpoch && time.Since(p.since) < p.wait {
			continue
		}
		epoch, ok := p.held()
		if !ok || ctx.Err() != nil {
			return
		}
		p.order(ctx, o, epoch)
		p.seen[o.Engine.Name] = fleet.Status{Loading: true}
	}
}

// order gives one order. The end of ctx does not cut it, and Run waits for it:
// an order that was sent may be carried out, and its end belongs in the log.
func (p *placement) order(ctx context.Context, o fleet.Order, epoch uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	err := p.orders.Order(ctx, o.Engine.Address, endpoints.LoadOrder{Op: o.OperationID, Epoch: epoch, Versions: o.Engine.Wanted})
	p.c.record("order", o.Engine.Name, fmt.Sprintf("op=%s epoch=%d versions=%q error=%v", o.OperationID, epoch, o.Engine.Wanted, err))
}

// looksPerRound bounds the engines that are asked in one round; all 600 each
// second would cost the holder 129 kB/s and a tenth of a core. Those that load
// are asked every round, the others in turn.
const looksPerRound = 8

func (p *placement) due(engines []fleet.Engine) []fleet.Engine {
	var due []fleet.Engine
	for _, e := range engines {
		if p.seen[e.Name].Loading {
			due = append(due, e)
		}
	}
	for range min(looksPerRound, len(engines)) {
		p.next = (p.next + 1) % len(engines)
		if e := engines[p.next]; !p.seen[e.Name].Loading {
			due = append(due, e)
		}
	}
	return due
}

// look asks engines for their state. One that does not answer is forgotten,
// and so left alone until it does.
func (p *placement) look(ctx context.Context, engines []fleet.Engine) {
	due := p.due(engines)
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	limit := make(chan struct{}, watchParallel)
	for _, e := range due {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			s, err := p.state.State(ctx, e.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				delete(p.seen, e.Name)
				return
			}
			p.seen[e.Name] = fleet.Status{Versions: s.Versions, Loading: s.Loading}
		})
	}
	wait.Wait()
}

// enginesOf returns the engines for which the configuration names versions, but for those of
// evacuated failure domains.
func enginesOf(cfg *config.Config) []fleet.Engine {
	var engines []fleet.Engine
	for i := range cfg.Pools() {
		p := &cfg.Pools()[i]
		for j := range p.Endpoints() {
			e := &p.Endpoints()[j]
			if cfg.InService(e) && p.Kind() == config.KindEngine && len(e.Versions()) > 0 {
				engines = append(engines, fleet.Engine{Name: p.Name() + "/" + e.Name(), Address: e.Address(), Wanted: e.Versions(), ChecksEpoch: e.ChecksOrders()})
			}
		}
	}
	return engines
}
