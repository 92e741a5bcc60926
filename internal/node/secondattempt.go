package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/membudget"
)

// tryWithSecond sends an attempt and, if it is not answered for far too long, a second one to another
// endpoint, which it adds to tried. The first usable answer counts. The other attempt is not canceled,
// so that its latency or failure is recorded as if it were the only one.
func (n *Node) tryWithSecond(ctx context.Context, q *request, c *placedCall, tried *[]string) *plainAttempt {
	waiting := attempt.Waiting{
		Repeatable: q.route.Repeatable(), Attempts: q.sent + 1, MaxAttempts: q.route.MaxAttempts,
		Usual: c.usualLatency(c.started), Objective: q.route.Objective,
	}
	after, ok := waiting.SecondAfter()
	if !ok || n.disabled.Has(mechanism.Slowdown) {
		return n.tryPlain(ctx, q, c)
	}
	before := *q
	ends := make(chan *plainAttempt, 2)
	detach := []func() bool{n.startAttempt(ctx, before, c, ends)}
	running := 1
	defer func() {
		for _, stop := range detach {
			stop()
		}
		if running > 0 {
			q.sent++
			go func() { (<-ends).drop() }()
		}
	}()
	overdue := time.NewTimer(after)
	defer overdue.Stop()
	for {
		select {
		case end := <-ends:
			running--
			q.sent += end.request.sent - before.sent
			q.endpoint, q.version = end.call.endpoint.ID, end.call.endpoint.Version
			q.slowdown, q.relay = end.request.slowdown, end.request.relay
			if running == 0 || end.usable() {
				if end.call != c && end.usable() {
					n.meters.secondAttemptWon(q.service)
				}
				return end
			}
			end.drop()
			q.mayHaveRun = q.mayHaveRun || end.event != attempt.NotSent && end.event != attempt.Rejected
		case <-overdue.C:
			c.markOverdue(time.Now())
			if second, ok := n.chooseSecond(q, c, waiting, *tried); ok {
				*tried = append(*tried, second.endpoint.ID)
				detach = append(detach, n.startAttempt(ctx, before, second, ends))
				running++
			}
		}
	}
}

// startAttempt sends an attempt with a copy of the request and delivers its end. The attempt ends with
// ctx until the returned function is called, and by the request's deadline in any case.
func (n *Node) startAttempt(ctx context.Context, q request, c *placedCall, ends chan<- *plainAttempt) (detach func() bool) {
	own, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	q.held = n.memory.Reservation(membudget.Requests)
	q.held.Grow(int64(len(q.body)))
	go func() {
		defer q.held.Release()
		end := n.tryPlain(own, &q, c)
		end.onClose(cancel)
		ends <- end
	}()
	return context.AfterFunc(ctx, cancel)
}

// chooseSecond picks the endpoint of a second attempt, within the retry budget. A request that is
// suspected of crashing endpoints gets none.
func (n *Node) chooseSecond(q *request, first *placedCall, w attempt.Waiting, tried []string) (*placedCall, bool) {
	if _, suspected := n.poisonGuard.suspected(q.identity); suspected {
		return nil, false
	}
	now, arm := time.Now(), n.armOf(q)
	wants := need{service: q.service, tried: tried, arm: arm, domains: n.domainsOf(q.regions)}
	second, ok := n.pools.chooseIf(now, wants, func(finish time.Duration) bool {
		return w.Helps(now.Sub(q.arrived), finish) && n.mayRetry(q, attempt.NoResponse)
	})
	if !ok {
		return nil, false
	}
	n.trackRollout(second, q, arm)
	n.meters.secondAttempt(q.service)
	n.log.Info(eventSecondAttempt, zap.String("id", q.in.RequestID), zap.String("endpoint", second.endpoint.ID), zap.String("first", first.endpoint.ID), zap.Duration("waited", now.Sub(first.started)))
	return second, true
}
