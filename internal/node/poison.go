package node

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/socket"
	"gradetiller.example/internal/wire"
)

const (
	// probeTimeout is how long an endpoint may take to accept or refuse a connection. If its
	// process has ended, the refusal arrives within a round trip; an unreachable host never
	// answers.
	probeTimeout = 300 * time.Millisecond
	// maxRefusalsPerMessage bounds the number of refusals in a message. That many take 4 kB.
	maxRefusalsPerMessage = 128
	// poisonReason is the outcome of requests that are refused because they crash endpoints.
	poisonReason = "crashes endpoints"
)

// lockedGuard is a poison.Guard for concurrent use. It detects and refuses the requests that
// crash endpoints.
type lockedGuard struct {
	mu    sync.Mutex
	guard *poison.Guard
}

// admit reports whether an arriving request is refused because it crashes endpoints.
func (p *lockedGuard) admit(q poison.Request) (poison.Rejection, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Admit(time.Now(), q)
}

// refused reports whether a request that was admitted is refused by now.
func (p *lockedGuard) refused(q poison.Request) (poison.Rejection, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Refused(time.Now(), q)
}

// suspected reports whether a request must run apart from other requests, and returns the content or
// the part for which it must.
func (p *lockedGuard) suspected(q poison.Request) (poison.ID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Suspected(time.Now(), q)
}

// mayRetry reports whether a request may be sent to another endpoint after it broke at one.
func (p *lockedGuard) mayRetry(q poison.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.MayRetry(time.Now(), q)
}

// awaitsAnswers reports whether answers of endpoints must be recorded.
func (p *lockedGuard) awaitsAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.AwaitsAnswers()
}

func (p *lockedGuard) crashes(id poison.ID) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Crashes(time.Now(), id)
}

func (p *lockedGuard) companions(id poison.ID) []poison.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Companions(id)
}

// subjectField returns the log field of a content or a prompt part.
func subjectField(s poison.Subject) zap.Field {
	if s.Part {
		return zap.Stringer("part", s.ID)
	}
	return zap.Stringer("content", s.ID)
}

// sizes returns the numbers of suspect requests and of known refusals.
func (p *lockedGuard) sizes() (suspects, refusals int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Sizes()
}

// membersChanged updates the guard with the live nodes.
func (p *lockedGuard) membersChanged(self string, live []wire.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guard.SetMembers(self, nodeNames(live))
	p.guard.SetSingleNode(len(live) < 2)
	p.guard.ForgetPeers(notIn(live))
}

// applyPoisonEvent passes an event to the guard and executes the resulting outcome. It
// reports whether the node that caused the event must be sent a reply.
func (n *Node) applyPoisonEvent(event func(g *poison.Guard, now time.Time) poison.Outcome) bool {
	p := n.poisonGuard
	p.mu.Lock()
	out := event(p.guard, time.Now())
	p.mu.Unlock()
	for _, e := range out.Probe {
		go n.probe(e)
	}
	for _, e := range out.Verify {
		go n.refusesConnections(e)
	}
	for _, f := range out.Findings {
		n.log.Info(eventEndpointCrashed, zap.String("endpoint", f.Endpoint.ID), zap.Bool("listed", f.FromList), zap.Bool("ended", f.Crashed), zap.Stringers("contents", contentsOf(f.Requests)), zap.Stringers("parts", partsOf(f.Requests)))
		if f.Crashed {
			n.meters.endpointCrashed()
		}
	}
	for _, s := range out.Refused {
		n.log.Warn(eventPoisonRefused, subjectField(s), zap.Strings("ended", p.crashes(s.ID)), zap.Stringers("beside", p.companions(s.ID)))
		n.failRefused(s)
	}
	for _, s := range out.RefusedByPeers {
		n.log.Info(eventPoisonReceived, subjectField(s))
		n.failRefused(s)
	}
	for _, s := range out.Suspected {
		n.log.Info(eventPoisonSuspected, subjectField(s), zap.Strings("ended", p.crashes(s.ID)))
	}
	for _, s := range out.Cleared {
		n.log.Info(eventPoisonPardoned, subjectField(s))
	}
	if len(out.ServedSince) > 0 {
		n.log.Info(eventPartsServed, zap.Stringers("parts", out.ServedSince))
	}
	n.sendReports(out.Reports)
	if out.GossipSoon {
		n.membersMu.Lock()
		n.members.RequestHeartbeat()
		n.membersMu.Unlock()
	}
	return out.Reply
}

// contentsOf returns the contents of requests.
func contentsOf(requests []poison.Request) []poison.ID {
	list := make([]poison.ID, len(requests))
	for i, r := range requests {
		list[i] = r.Content
	}
	return list
}

// partsOf returns the prompt parts that requests have, without duplicates.
func partsOf(requests []poison.Request) []poison.ID {
	var list []poison.ID
	for _, r := range requests {
		for _, part := range r.Parts {
			if !slices.Contains(list, part) {
				list = append(list, part)
			}
		}
	}
	return list
}

// refuseArrivingPoison is refusePoison for a request that arrives.
func (n *Node) refuseArrivingPoison(w http.ResponseWriter, q *request) bool {
	r, refused := n.poisonGuard.admit(q.identity)
	if refused {
		n.answerPoison(w, q, r)
	}
	return refused
}

// refusePoison answers a request that is refused because it crashes endpoints, and reports
// whether it did.
func (n *Node) refusePoison(w http.ResponseWriter, q *request) bool {
	r, refused := n.poisonGuard.refused(q.identity)
	if refused {
		n.answerPoison(w, q, r)
	}
	return refused
}

// errPoison means that a request was not sent since it is refused by now.
var errPoison = errors.New("request is refused for crashing endpoints")

// checkPoison returns errPoison if a request is refused by now.
func (n *Node) checkPoison(q *request) error {
	if _, refused := n.poisonGuard.refused(q.identity); refused {
		return errPoison
	}
	return nil
}

// answerPoison refuses a request. The response states that this attempt has not been executed, which is
// true, and after which time a retry makes sense; a final status would end the request for good
// even if it is a suspect by chance. If the attempt may have run, the response makes no such
// statement.
func (n *Node) answerPoison(w http.ResponseWriter, q *request, r poison.Rejection) {
	q.refusedFor = r.Subject.ID
	by := "content"
	if r.Subject.Part {
		by = "part"
	}
	n.meters.poisonRefused(q.route.Name, by)
	if q.mayHaveRun {
		n.refuse(w, q, http.StatusBadGateway, poisonReason, 0)
		return
	}
	n.refuse(w, q, http.StatusServiceUnavailable, poisonReason, r.Remaining)
}

// recordBrokenRuns records that runs of requests broke at an endpoint, without a complete
// response, after the given time. Runs that this side canceled through their context say
// nothing about the endpoint, nor do those at an endpoint that is draining.
func (n *Node) recordBrokenRuns(ctx context.Context, e catalog.Endpoint, took time.Duration, requests ...poison.Request) {
	if ctx.Err() != nil || n.isDrainingOrGone(e.ID) {
		return
	}
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome {
		return g.RecordBrokenRuns(now, e, poison.RunLengthOf(took), requests...)
	})
}

// recordBrokenStageCall records that a call of a stage pool broke: each of its requests
// becomes a suspect. The content IDs are unknown for requests from nodes of an earlier
// version.
func (n *Node) recordBrokenStageCall(ctx context.Context, e catalog.Endpoint, took time.Duration, requests []poison.ID) {
	requests = slices.DeleteFunc(requests, poison.ID.IsZero)
	if len(requests) > 0 {
		list := make([]poison.Request, len(requests))
		for i, id := range requests {
			list[i] = poison.Request{Content: id}
		}
		n.recordBrokenRuns(ctx, e, took, list...)
	}
}

// isDrainingOrGone reports whether an endpoint is draining or no longer listed.
func (n *Node) isDrainingOrGone(id string) bool {
	e, ok := n.view.Load().endpoints.Get(id)
	return !ok || e.Draining
}

// probe checks whether an endpoint at which runs of this node broke accepts connections, and
// logs the result.
func (n *Node) probe(e catalog.Endpoint) {
	refuses := n.refusesConnections(e)
	n.meters.probed(refuses)
	n.log.Info(eventRunBroken, zap.String("endpoint", e.ID), zap.Bool("refuses", refuses))
}

// refusesConnections checks whether an endpoint refuses connections and passes the result to
// the guard.
func (n *Node) refusesConnections(e catalog.Endpoint) bool {
	answer := n.probeEndpoint(e)
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome {
		if answer == socket.Accepted {
			return g.RecordAccepted(now, e.ID)
		}
		return g.RecordProbe(now, e.ID, answer == socket.Refused)
	})
	return answer == socket.Refused
}

// updateGuardEndpoints compares the endpoint list, current as of the given time, with the
// runs that broke.
func (n *Node) updateGuardEndpoints(current time.Time, list catalog.Endpoints) {
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome { return g.UpdateEndpoints(now, current, list) })
}

// recordUnframedEnd records that the answer to a request ended with its connection, so that it may have been
// cut off.
func (n *Node) recordUnframedEnd(q *request, e catalog.Endpoint) {
	if n.isDrainingOrGone(e.ID) {
		return
	}
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome { return g.RecordUnframedEnd(now, e, q.identity) })
}

// recordAnswer records that an endpoint answered a request that was sent at the given time.
func (n *Node) recordAnswer(endpoint string, sent time.Time) {
	if !n.poisonGuard.awaitsAnswers() {
		return
	}
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome { return g.RecordAnswer(now, endpoint, sent) })
}

// recordServed records that a request was served successfully. One whose answer had neither a length nor
// chunks may not have been.
func (n *Node) recordServed(q *request, framed bool) {
	n.durations.observe(q, time.Now())
	if !framed {
		return
	}
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome { return g.RecordSuccess(now, q.identity) })
}

// failRefused ends the waits of requests that are refused by now, and fails the tasks of a refused content
// in all stage pools of this node. The tasks of a part are withdrawn by the nodes that submitted them.
func (n *Node) failRefused(s poison.Subject) {
	n.waits.end(func(q *request) bool {
		_, refused := n.poisonGuard.refused(q.identity)
		return refused
	})
	if s.Part {
		return
	}
	for _, c := range n.leaders.all() {
		c.failContent(s.ID)
	}
}
