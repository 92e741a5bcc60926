package node

import (
	"math/rand/v2"
	"time"

	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/pending"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/rollout"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/wire"
)

// noCapacityReason is the outcome of requests that the rate limits of all endpoints keep from being
// placed in time.
const noCapacityReason = "endpoints take no more now"

// admits reports whether the rate limits of a service's endpoints admit one more call by the given
// time, in addition to the reserved ones, and otherwise returns a retry delay.
func (p *pools) admits(now time.Time, service string, by time.Time) (retryAfter time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, known := p.byService[service]
	if !known {
		return 0, true
	}
	allowed, perSecond, bounded := pool.SendAllowance(now, by)
	if !bounded {
		return 0, true
	}
	return pending.Shortage(p.reserved[service], allowed, perSecond)
}

// reserve records a call that was admitted and is to be placed later.
func (p *pools) reserve(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved[service]++
}

// releaseReservation removes the reservation of a call that was placed or ended.
func (p *pools) releaseReservation(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[service]--; p.reserved[service] == 0 {
		delete(p.reserved, service)
	}
}

// timeToNextSend returns the time until the rate limit of an endpoint of a service admits a call of
// this node, or false if no endpoint is available.
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

// retryAfter returns the retry delay of a request for which no endpoint was found: until the first
// end of a backoff if all endpoints are in backoff, else until the rate limit of an endpoint admits
// a call.
func (n *Node) retryAfter(service string) time.Duration {
	now := time.Now()
	if firstEnd, all := n.pools.allBackedOff(now, service); all && !firstEnd.IsZero() {
		return pending.AfterBackoff(firstEnd.Sub(now), rand.N)
	}
	return pending.RetryAfter(n.pools.timeToNextSend(now, service))
}

// complete notifies a request's owner that its stages are done and which endpoint to use. If no
// endpoint's rate limit admits the request yet, complete queues it for placeWaiting instead. The
// caller must hold the lock.
func (c *leader) complete(now time.Time, done stagepool.Complete) {
	m, waits := c.place(now, done)
	if !waits {
		c.sendDone(done.Task, m)
		return
	}
	a := c.modelRequests[done.Task]
	c.pendingPlacements.Add(now, done, a.priority, a.softDeadline)
}

// placeWaiting places the pending requests that the rate limits admit now and fails those that have
// waited too long. The caller must hold the lock.
func (c *leader) placeWaiting(now time.Time) {
	ended := c.pendingPlacements.Place(now, func(done stagepool.Complete) pending.Outcome {
		if _, ok := c.owners[done.Task]; !ok {
			return pending.Gone
		}
		m, waits := c.place(now, done)
		if waits {
			return pending.Waits
		}
		c.sendDone(done.Task, m)
		return pending.Placed
	})
	for _, done := range ended {
		c.failPending(now, done)
	}
}

// failPending fails a request that no rate limit admitted in time. The caller must hold the lock.
func (c *leader) failPending(now time.Time, done stagepool.Complete) {
	retryAfter := pending.RetryAfter(c.leaders.modelPools.timeToNextSend(now, c.modelRequests[done.Task].service))
	c.sendDone(done.Task, wire.StagesDone{FailureReason: noCapacityReason, RetryAfter: retryAfter.Milliseconds()})
	c.removeTask(done.Task)
	c.execute(c.pool.Release(now, done.Task))
}

// place chooses the endpoint of a request whose stages are done, or reports that the request has to
// wait for a rate limit. The caller must hold the lock.
func (c *leader) place(now time.Time, done stagepool.Complete) (m wire.StagesDone, waits bool) {
	m = wire.StagesDone{Handles: done.Handles}
	a, ok := c.modelRequests[done.Task]
	if !ok || !c.leaders.placesCalls() {
		return m, false
	}
	wants := a.needAt(now)
	if wants.arm == rollout.Any && len(wants.versions) == 0 {
		// The request's node did not know of the rollout yet.
		wants.arm = c.leaders.armOf(now, wants.service, a.requestID)
	}
	wants.prompt.InputDomain = done.Domain
	wants.prompt.InputBytes = done.Bytes
	at, ok := c.leaders.modelPools.choose(now, wants)
	if !ok {
		wait, available := c.leaders.modelPools.timeToNextSend(now, wants.service)
		return m, available && wait > 0 || c.leaders.brittle(wants.service)
	}
	c.releaseReservation(done.Task)
	c.placedCalls[done.Task] = at
	m.Endpoint = at.endpoint.ID
	m.CopyFrom = at.cacheSource
	m.Bounded = at.bounded
	return m, false
}

// releaseReservation removes the reservation of a request, if it has one. The caller must hold the
// lock.
func (c *leader) releaseReservation(id stagepool.TaskID) {
	if a, ok := c.modelRequests[id]; ok && a.reserved {
		a.reserved = false
		c.modelRequests[id] = a
		c.leaders.modelPools.releaseReservation(a.service)
	}
}

// placementRequest is a request whose model endpoint the leader chooses.
type placementRequest struct {
	need
	// avoid lists the endpoints in backoff towards the request's node.
	avoid        []signal.Backoff
	priority     int
	softDeadline time.Time
	requestID    string
	// reserved is true while the request holds a reservation in the pools.
	reserved bool
}

// needAt returns the need at the given time, which excludes the endpoints in backoff then.
func (a *placementRequest) needAt(now time.Time) need {
	n := a.need
	for _, b := range a.avoid {
		if now.Before(b.Until) {
			n.tried = append(n.tried, b.Endpoint)
		}
	}
	return n
}

// newPlacementRequest returns the placement request of a submission.
func newPlacementRequest(now time.Time, m *wire.StagesSubmit, domains func(string) bool) placementRequest {
	a := placementRequest{need: need{service: m.Model, arm: armNamed(m.Arm), domains: domains, versions: m.Versions, prefix: m.Prefix, prompt: place.Prompt{Tokens: m.Tokens, OutputTokens: m.OutputTokens}}, priority: m.Priority, requestID: m.RequestID}
	for _, part := range m.Parts {
		a.prompt.Parts = append(a.prompt.Parts, place.Part(part))
	}
	for _, b := range m.Avoid {
		a.avoid = append(a.avoid, signal.Backoff{Endpoint: b.Endpoint, Until: now.Add(clamp.Milliseconds(b.Remaining))})
	}
	return a
}
