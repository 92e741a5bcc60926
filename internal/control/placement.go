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
	placementKey      = "lease/placement"
	placementInterval = time.Second
	leaseTimeout      = time.Second
	// orderTimeout bounds the time that an order can be in flight. A new lease
	// holder waits this long before it sends orders to engines that do not check
	// the epoch, so that no order of the previous holder can arrive later.
	orderTimeout = time.Second
)

// placement is the job that orders engines to load the model versions named in
// the configuration. Only the holder of the placement lease runs it.
type placement struct {
	c          *Control
	mu         sync.Mutex // guards lease
	lease      *lease.Lease
	orders     endpoints.OrderSender
	state      endpoints.StateReader
	interval   time.Duration
	statuses   map[string]fleet.Status // last status of each engine, by name
	lastPolled int                     // index of the engine last polled in turn
	epoch      uint64                  // epoch of the lease as of the last updateEpoch
	epochStart time.Time               // when epoch last changed
	epochWait  time.Duration
}

func newPlacement(c *Control, term time.Duration) *placement {
	adapter := endpoints.NewHTTP()
	return &placement{
		c: c, orders: adapter, state: adapter, interval: min(placementInterval, term/10), epochWait: orderTimeout,
		statuses: make(map[string]fleet.Status),
		lease:    lease.New(fmt.Sprintf("%s#%d", c.id.Node, c.id.Incarnation), term),
	}
}

func (p *placement) run(ctx context.Context) {
	every(ctx, p.interval, func() {
		p.stepLease(ctx)
		if p.updateEpoch() {
			p.reconcile(ctx)
		}
	})
}

// stepLease does the lease's next read or write of the table, if one is due.
// The timeout keeps a slow table from delaying the job.
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

// heldEpoch returns the epoch and whether this process holds the lease now. It is
// checked right before every order.
func (p *placement) heldEpoch() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease.Holds(time.Now())
}

// holder describes the lease holder when the lease was last read; "" means none.
func (p *placement) holder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, epoch := p.lease.Holder()
	if name == "" {
		return ""
	}
	return fmt.Sprintf("%s epoch %d", name, epoch)
}

// updateEpoch reports whether this process holds the lease. On a new epoch it
// restarts the wait and drops all known statuses.
func (p *placement) updateEpoch() bool {
	epoch, ok := p.heldEpoch()
	if ok && epoch != p.epoch {
		p.epoch, p.epochStart = epoch, time.Now()
		clear(p.statuses)
		p.c.record("lease_taken", "lease/placement", fmt.Sprintf("epoch=%d", epoch))
	}
	return ok
}

// reconcile compares the wanted versions with those that the engines report and
// sends orders for the difference.
func (p *placement) reconcile(ctx context.Context) {
	p.c.mu.Lock()
	cfg, version := p.c.cfg, p.c.inForce.Version
	p.c.mu.Unlock()
	if cfg == nil {
		return
	}
	engines := enginesOf(cfg)
	p.pollEngines(ctx, engines)
	for _, o := range fleet.Plan(version, engines, p.statuses) {
		if !o.Engine.ChecksEpoch && time.Since(p.epochStart) < p.epochWait {
			continue
		}
		epoch, ok := p.heldEpoch()
		if !ok || ctx.Err() != nil {
			return
		}
		p.sendOrder(ctx, o, epoch)
		p.statuses[o.Engine.Name] = fleet.Status{Loading: true}
	}
}

// sendOrder sends one order. It does not stop when ctx ends, and Run waits for
// it: an order that was sent may be carried out, so its result must be logged.
func (p *placement) sendOrder(ctx context.Context, o fleet.Order, epoch uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	err := p.orders.SendOrder(ctx, o.Engine.Address, endpoints.LoadOrder{Op: o.OperationID, Epoch: epoch, Versions: o.Engine.Wanted})
	p.c.record("order", o.Engine.Name, fmt.Sprintf("op=%s epoch=%d versions=%q error=%v", o.OperationID, epoch, o.Engine.Wanted, err))
}

// pollsPerRound bounds how many engines that are not loading are polled in one
// round, in turn; loading engines are polled in every round. Polling 600 engines
// each second would cost the holder 129 kB/s and a tenth of a core.
const pollsPerRound = 8

func (p *placement) enginesToPoll(engines []fleet.Engine) []fleet.Engine {
	var due []fleet.Engine
	for _, e := range engines {
		if p.statuses[e.Name].Loading {
			due = append(due, e)
		}
	}
	for range min(pollsPerRound, len(engines)) {
		p.lastPolled = (p.lastPolled + 1) % len(engines)
		if e := engines[p.lastPolled]; !p.statuses[e.Name].Loading {
			due = append(due, e)
		}
	}
	return due
}

// pollEngines updates the statuses of the engines that are due. The status of an
// engine that does not answer is removed, so that it gets no orders until it
// answers again.
func (p *placement) pollEngines(ctx context.Context, engines []fleet.Engine) {
	due := p.enginesToPoll(engines)
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	limit := make(chan struct{}, maxParallelPolls)
	for _, e := range due {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			s, err := p.state.State(ctx, e.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				delete(p.statuses, e.Name)
				return
			}
			p.statuses[e.Name] = fleet.Status{Versions: s.Versions, Loading: s.Loading}
		})
	}
	wait.Wait()
}

// enginesOf returns the engines for which the configuration names versions,
// except those in evacuated failure domains.
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
