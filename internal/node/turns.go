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
	// minPlacementWait is how long a request whose stages have been run waits for an endpoint's
	// turn at least. Its aim may be over sooner, and then that work would be lost.
	minPlacementWait = 300 * time.Millisecond
	// maxRetryAfter bounds the time after which a request that finds no turn may come back.
	maxRetryAfter = 3 * time.Second
	// noCapacityReason is the outcome of requests that no endpoint takes in time, since all bound
	// what they take.
	noCapacityReason = "endpoints take no more now"
)

// pendingPlacement is a request whose stages have been run and that waits for an endpoint's turn.
type pendingPlacement struct {
	stages   stagepool.Complete
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
	missing := p.reserved[service] + 1 - turns
	if !bounded || missing <= 0 {
		return 0, true
	}
	seconds := float64(missing) / max(perSecond, 1/maxRetryAfter.Seconds())
	return clampRetryAfter(time.Duration(seconds * float64(time.Second))), false
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// reserve counts a call that was let in.
func (p *pools) reserve(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved[service]++
}

// releaseReservation counts one that was placed, or that is over.
func (p *pools) releaseReservation(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[service]--; p.reserved[service] == 0 {
		delete(p.reserved, service)
	}
}

// timeToNextSend is how long until an endpoint of a service takes a call of this node, or false if
// none is available.
func (p *pools) timeToNextSend(now time.Time, service string) (time.Duration, bool) {
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
	if reopens, closed := n.pools.allBackedOff(now, service); closed && !reopens.IsZero() {
		wait := reopens.Sub(now)
		return max(wait+rand.N(1+min(wait/4, retryJitter)), minRetryAfter)
	}
	wait, ok := n.pools.timeToNextSend(now, service)
	if !ok {
		return minRetryAfter
	}
	return clampRetryAfter(wait)
}

// complete tells a request's owner that its stages are done and where it should run; the lock
// is held. While all endpoints bound what they take it waits for a turn.
func (c *leader) complete(now time.Time, done stagepool.Complete) {
	m, waits := c.place(now, done)
	if !waits {
		c.tell(done.Task, m)
		return
	}
	a := c.asks[done.Task]
	until := now.Add(minPlacementWait)
	if a.aim.After(until) {
		until = a.aim
	}
	c.turnWaits = append(c.turnWaits, pendingPlacement{stages: done, priority: a.priority, aim: a.aim, until: until})
}

// placeWaiting gives turns that have come to those that wait, the most urgent first, and ends
// those that have waited too long; the lock is held.
func (c *leader) placeWaiting(now time.Time) {
	if len(c.turnWaits) == 0 {
		return
	}
	slices.SortStableFunc(c.turnWaits, func(a, b pendingPlacement) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.aim.Compare(b.aim))
	})
	var ended []pendingPlacement
	kept := c.turnWaits[:0]
	for _, w := range c.turnWaits {
		if _, ok := c.owners[w.stages.Task]; !ok {
			continue
		}
		m, waits := c.place(now, w.stages)
		switch {
		case !waits:
			c.tell(w.stages.Task, m)
		case now.Before(w.until):
			kept = append(kept, w)
		default:
			ended = append(ended, w)
		}
	}
	clear(c.turnWaits[len(kept):])
	c.turnWaits = kept
	for _, w := range ended {
		c.failPending(now, w)
	}
}

// failPending ends a request for which no turn came; the lock is held.
func (c *leader) failPending(now time.Time, w pendingPlacement) {
	again := minRetryAfter
	if wait, ok := c.group.models.timeToNextSend(now, c.asks[w.stages.Task].service); ok {
		again = clampRetryAfter(wait)
	}
	c.tell(w.stages.Task, wire.StagesDone{Failed: noCapacityReason, Again: again.Milliseconds()})
	c.forget(w.stages.Task)
	c.carryOut(c.pool.Release(now, w.stages.Task))
}

// place chooses the endpoint for a request whose stages are done, or reports that it has to
// wait for a turn; the lock is held.
func (c *leader) place(now time.Time, done stagepool.Complete) (m wire.StagesDone, waits bool) {
	m = wire.StagesDone{Handles: done.Handles}
	a, ok := c.asks[done.Task]
	if !ok || !c.group.placesCalls() {
		return m, false
	}
	wants := a.needAt(now)
	wants.prompt.InputDomain = done.Domain
	wants.prompt.InputBytes = done.Bytes
	at, ok := c.group.models.choose(now, wants)
	if !ok {
		wait, turns := c.group.models.timeToNextSend(now, wants.service)
		return m, turns && wait > 0
	}
	c.releaseReservation(done.Task)
	c.placed[done.Task] = at
	m.Endpoint = at.endpoint.ID
	m.CopyFrom = at.cacheSource
	m.Bounded = at.bounded
	return m, false
}

// releaseReservation counts the promise to a request as kept or over; the lock is held.
func (c *leader) releaseReservation(id stagepool.TaskID) {
	if a, ok := c.asks[id]; ok && a.reserved {
		a.reserved = false
		c.asks[id] = a
		c.group.models.releaseReservation(a.service)
	}
}

// placementRequest is what a request asks of its model endpoint.
type placementRequest struct {
	need
	// avoid are endpoints in backoff towards the request's node.
	avoid    []signal.Backoff
	priority int
	aim      time.Time
	// reserved is true until it is placed.
	reserved bool
}

// needAt is the need at a moment, without the endpoints that are in backoff then.
func (a *placementRequest) needAt(now time.Time) need {
	n := a.need
	for _, b := range a.avoid {
		if now.Before(b.Until) {
			n.tried = append(n.tried, b.Endpoint)
		}
	}
	return n
}

// newPlacementRequest is what a submitted request asks of its model endpoint.
func newPlacementRequest(now time.Time, m *wire.StagesSubmit) placementRequest {
	a := placementRequest{need: need{service: m.Model, prefix: m.Prefix, prompt: place.Prompt{Tokens: m.Tokens}}, priority: m.Priority}
	for _, part := range m.Parts {
		a.prompt.Parts = append(a.prompt.Parts, place.Part(part))
	}
	for _, b := range m.Avoid {
		a.avoid = append(a.avoid, signal.Backoff{Endpoint: b.Endpoint, Until: now.Add(time.Duration(b.Left) * time.Millisecond)})
	}
	return a
}
