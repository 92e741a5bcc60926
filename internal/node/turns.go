package node

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/wire"
)

const (
	// leastTurnWait is how long a request whose stages have been run waits for an endpoint's
	// turn at least. Its aim may be over sooner, and then that work would be lost.
	leastTurnWait = 300 * time.Millisecond
	// longestAgain bounds the time after which a request that finds no turn may come back.
	longestAgain = 3 * time.Second
	// noTurnReason is the outcome of requests that no endpoint takes in time, since all bound
	// what they take.
	noTurnReason = "endpoints take no more now"
)

// turnWait is a request whose stages have been run and that waits for an endpoint's turn.
type turnWait struct {
	done     stagepool.Complete
	priority int
	aim      time.Time
	until    time.Time
}

// admits reports whether a service takes one more call by a moment, besides those that it was
// promised, and else when to come back. Without this the stages of requests would be run, and
// their room taken, that nobody takes then.
func (p *pools) admits(now time.Time, service string, by time.Time) (again time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, known := p.byService[service]
	if !known {
		return 0, true
	}
	turns, perSecond, bounded := pool.SendAllowance(now, by)
	missing := p.promised[service] + 1 - turns
	if !bounded || missing <= 0 {
		return 0, true
	}
	seconds := float64(missing) / max(perSecond, 1/longestAgain.Seconds())
	return clampAgain(time.Duration(seconds * float64(time.Second))), false
}

func clampAgain(d time.Duration) time.Duration { return min(max(d, againSoon), longestAgain) }

// promise counts a call that was let in.
func (p *pools) promise(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.promised[service]++
}

// settle counts one that was placed, or that is over.
func (p *pools) settle(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.promised[service]--; p.promised[service] == 0 {
		delete(p.promised, service)
	}
}

// nextTurn is how long until an endpoint of a service takes a call of this node, or false if
// none is available.
func (p *pools) nextTurn(now time.Time, service string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.byService[service]
	if !ok {
		return 0, false
	}
	at, ok := pool.NextSendTime(now)
	return at.Sub(now), ok
}

// retryJitter bounds how much later than a service is out of backoff clients may come back, so that
// they don't come back at once.
const retryJitter = time.Second

// retryAfter is when a request may come back for which no endpoint was found: at the first end of
// a backoff if all endpoints are in backoff, else at the next turn. Other nodes may have turns
// before this one, so for these it is longestAgain at most.
func (n *Node) retryAfter(service string) time.Duration {
	now := time.Now()
	if reopens, closed := n.pools.closed(now, service); closed && !reopens.IsZero() {
		wait := reopens.Sub(now)
		return max(wait+rand.N(1+min(wait/4, retryJitter)), againSoon)
	}
	wait, ok := n.pools.nextTurn(now, service)
	if !ok {
		return againSoon
	}
	return clampAgain(wait)
}

// complete tells a request's owner that its stages are done and where it should run; the lock
// is held. While all endpoints bound what they take it waits for a turn.
func (c *leader) complete(now time.Time, done stagepool.Complete) {
	m, waits := c.place(now, done)
	if !waits {
		c.sendDone(done.Task, m)
		return
	}
	a := c.modelRequests[done.Task]
	until := now.Add(leastTurnWait)
	if a.aim.After(until) {
		until = a.aim
	}
	c.turnWaits = append(c.turnWaits, turnWait{done: done, priority: a.priority, aim: a.aim, until: until})
}

// placeWaiting gives turns that have come to those that wait, the most urgent first, and ends
// those that have waited too long; the lock is held.
func (c *leader) placeWaiting(now time.Time) {
	if len(c.turnWaits) == 0 {
		return
	}
	slices.SortStableFunc(c.turnWaits, func(a, b turnWait) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.aim.Compare(b.aim))
	})
	var ended []turnWait
	kept := c.turnWaits[:0]
	for _, w := range c.turnWaits {
		if _, ok := c.owners[w.done.Task]; !ok {
			continue
		}
		m, waits := c.place(now, w.done)
		switch {
		case !waits:
			c.sendDone(w.done.Task, m)
		case now.Before(w.until):
			kept = append(kept, w)
		default:
			ended = append(ended, w)
		}
	}
	clear(c.turnWaits[len(kept):])
	c.turnWaits = kept
	for _, w := range ended {
		c.giveUpTurn(now, w)
	}
}

// giveUpTurn ends a request for which no turn came; the lock is held.
func (c *leader) giveUpTurn(now time.Time, w turnWait) {
	again := againSoon
	if wait, ok := c.group.modelPools.nextTurn(now, c.modelRequests[w.done.Task].service); ok {
		again = clampAgain(wait)
	}
	c.sendDone(w.done.Task, wire.StagesDone{Failed: noTurnReason, Again: again.Milliseconds()})
	c.removeTask(w.done.Task)
	c.execute(c.pool.Release(now, w.done.Task))
}

// place chooses the endpoint for a request whose stages are done, or reports that it has to
// wait for a turn; the lock is held.
func (c *leader) place(now time.Time, done stagepool.Complete) (m wire.StagesDone, waits bool) {
	m = wire.StagesDone{Handles: done.Handles}
	a, ok := c.modelRequests[done.Task]
	if !ok || !c.group.places() {
		return m, false
	}
	wants := a.at(now)
	wants.prompt.InputDomain = done.Domain
	wants.prompt.InputBytes = done.Bytes
	at, ok := c.group.modelPools.choose(now, wants)
	if !ok {
		wait, turns := c.group.modelPools.nextTurn(now, wants.service)
		return m, turns && wait > 0
	}
	c.settle(done.Task)
	c.placed[done.Task] = at
	m.Endpoint = at.endpoint.ID
	m.CopyFrom = at.copyFrom
	m.Bounded = at.bounded
	return m, false
}

// settle counts the promise to a request as kept or over; the lock is held.
func (c *leader) settle(id stagepool.TaskID) {
	if a, ok := c.modelRequests[id]; ok && a.promised {
		a.promised = false
		c.modelRequests[id] = a
		c.group.modelPools.settle(a.service)
	}
}

// ask is what a request asks of its model endpoint.
type ask struct {
	need
	// avoid are endpoints in backoff towards the request's node.
	avoid    []signal.Backoff
	priority int
	aim      time.Time
	// promised is true until it is placed.
	promised bool
}

// at is the need at a moment, without the endpoints that are in backoff then.
func (a *ask) at(now time.Time) need {
	n := a.need
	for _, b := range a.avoid {
		if now.Before(b.Until) {
			n.tried = append(n.tried, b.Endpoint)
		}
	}
	return n
}

// askOf is what a submitted request asks of its model endpoint.
func askOf(now time.Time, m *wire.StagesSubmit) ask {
	a := ask{need: need{service: m.Model, prefix: m.Prefix, prompt: place.Prompt{Tokens: m.Tokens}}, priority: m.Priority}
	for _, part := range m.Parts {
		a.prompt.Parts = append(a.prompt.Parts, place.Part(part))
	}
	for _, b := range m.Avoid {
		a.avoid = append(a.avoid, signal.Backoff{Endpoint: b.Endpoint, Until: now.Add(time.Duration(b.Left) * time.Millisecond)})
	}
	return a
}
