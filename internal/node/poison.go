package node

import (
	"context"
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
	// probeTimeout is how long an endpoint has to take or refuse a connection. One whose
	// process has ended refuses within the time of a packet there and back; one that has
	// gone dark never answers.
	probeTimeout = 300 * time.Millisecond
	// maxRefusalsPerMessage bounds the refused requests of one message: 4 kB.
	maxRefusalsPerMessage = 128
	// poisonReason is the outcome of requests that are refused since they crash endpoints.
	poisonReason = "crashes endpoints"
)

// lockedGuard is this node's part in finding and refusing the requests that crash endpoints.
type lockedGuard struct {
	mu    sync.Mutex
	guard *poison.Guard
}

// refused reports whether a request is refused since it crashes endpoints, and for how
// long still.
func (p *lockedGuard) refused(id poison.ID) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Refused(time.Now(), id)
}

// suspected reports whether a request is to be kept apart from others.
func (p *lockedGuard) suspected(id poison.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Suspected(time.Now(), id)
}

func (p *lockedGuard) crashes(id poison.ID) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Crashes(time.Now(), id)
}

// sizes returns how many requests are suspects, and how many refusals are known.
func (p *lockedGuard) sizes() (suspects, refusals int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Sizes()
}

// membersChanged takes in which nodes are live.
func (p *lockedGuard) membersChanged(live []wire.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guard.SetSingleNode(len(live) < 2)
	p.guard.ForgetPeers(notIn(live))
}

// applyPoisonEvent gives the guard an event and does what follows from it. It reports whether the
// node whose word the event was is to be told something.
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
		n.log.Info(eventEndpointCrashed, zap.String("endpoint", f.Endpoint.ID), zap.Bool("listed", f.FromList), zap.Bool("ended", f.Crashed), zap.Stringers("contents", f.Requests))
		if f.Crashed {
			n.meters.endpointCrashed()
		}
	}
	for _, id := range out.Refused {
		n.log.Warn(eventPoisonRefused, zap.Stringer("content", id), zap.Strings("ended", p.crashes(id)))
		n.failRefused(id)
	}
	for _, id := range out.RefusedByPeers {
		n.log.Info(eventPoisonReceived, zap.Stringer("content", id))
		n.failRefused(id)
	}
	for _, id := range out.Pardoned {
		n.log.Info(eventPoisonPardoned, zap.Stringer("content", id))
	}
	n.sendReports(out.Reports)
	if out.GossipSoon {
		n.membersMu.Lock()
		n.members.RequestHeartbeat()
		n.membersMu.Unlock()
	}
	return out.Reply
}

// refusePoison answers a request that is refused since it crashes endpoints, and reports
// whether it is. The answer promises that this try has not run, which is true, and tells
// how long it is of no use to come back; a final status would also end a request for good
// that was a suspect by chance. A try that may have run is promised nothing.
func (n *Node) refusePoison(w http.ResponseWriter, q *request) bool {
	left, refused := n.poisonGuard.refused(q.content)
	if !refused {
		return false
	}
	n.meters.poisonRefused(q.route.Name)
	if q.ran {
		n.refuse(w, q, http.StatusBadGateway, poisonReason, 0)
		return true
	}
	n.refuse(w, q, http.StatusServiceUnavailable, poisonReason, left)
	return true
}

// recordBrokenRuns takes in that runs of requests broke off at an endpoint without a whole answer,
// after some time.
// What was broken off from this side, by its context, tells nothing, nor does an endpoint
// that is leaving.
func (n *Node) recordBrokenRuns(ctx context.Context, e catalog.Endpoint, took time.Duration, requests ...poison.ID) {
	if ctx.Err() != nil || n.isEndpointLeaving(e.ID) {
		return
	}
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome {
		return g.RecordBrokenRuns(now, e, poison.RunLengthOf(took), requests...)
	})
}

// recordBrokenStageCall takes in that a call of a stage pool broke off: each of its requests is
// a suspect. Those of nodes of an earlier version are not known.
func (n *Node) recordBrokenStageCall(ctx context.Context, e catalog.Endpoint, took time.Duration, requests []poison.ID) {
	requests = slices.DeleteFunc(requests, poison.ID.IsZero)
	if len(requests) > 0 {
		n.recordBrokenRuns(ctx, e, took, requests...)
	}
}

// isEndpointLeaving reports whether an endpoint is leaving or has left the list.
func (n *Node) isEndpointLeaving(id string) bool {
	for _, e := range n.view.Load().endpoints {
		if e.ID == id {
			return e.Draining
		}
	}
	return true
}

// probe asks whether an endpoint takes connections at which runs of this node broke off.
func (n *Node) probe(e catalog.Endpoint) {
	refuses := n.refusesConnections(e)
	n.meters.probed(refuses)
	n.log.Info(eventRunBroken, zap.String("endpoint", e.ID), zap.Bool("refuses", refuses))
}

// refusesConnections asks whether an endpoint refuses connections.
func (n *Node) refusesConnections(e catalog.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	refuses := socket.Refuses(ctx, e.Address)
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome { return g.RecordProbe(now, e.ID, refuses) })
	return refuses
}

// updateGuardEndpoints holds the list of endpoints, current as of a moment, against the runs
// that broke off.
func (n *Node) updateGuardEndpoints(current time.Time, list []catalog.Endpoint) {
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome { return g.UpdateEndpoints(now, current, list) })
}

// recordServed takes in that a request was recordServed well.
func (n *Node) recordServed(q *request) {
	n.times.served(q, time.Now())
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome { return g.RecordSuccess(now, q.content) })
}

// failRefused has the stage pools led here give the work of a request up.
func (n *Node) failRefused(id poison.ID) {
	for _, c := range n.leaders.all() {
		c.failContent(id)
	}
}

// sendReports sends reports to the nodes that count the ends of their requests.
func (n *Node) sendReports(reports []poison.Report) {
	if len(reports) == 0 {
		return
	}
	entries := *n.entries.Load()
	names := nodeNames(entries)
	byOwner := make(map[string][]wire.RequestEnds)
	for _, r := range reports {
		told := wire.RequestEnds{Request: bytesOf(r.Request), Served: r.Served}
		for _, e := range r.Crashes {
			told.Ends = append(told.Ends, wire.EndpointEnd(e))
		}
		for _, owner := range poison.Owners(r.Request, names) {
			byOwner[owner] = append(byOwner[owner], told)
		}
	}
	for _, e := range entries {
		if list := byOwner[e.Node]; len(list) > 0 && e.Node != n.settings.Node {
			n.links.Send(e.PeerAddress, wire.Ends{Requests: list})
		}
	}
}

func bytesOf(id poison.ID) []byte { return id[:] }

// handleEnds takes in the reports of another node.
func (n *Node) handleEnds(from wire.Hello, m *wire.Ends) {
	reports := make([]poison.Report, 0, len(m.Requests))
	for _, r := range m.Requests {
		id, err := poison.ParseID(r.Request)
		if err != nil {
			n.log.Warn(eventUnexpectedMessage, zap.String("node", from.Node), zap.Error(err))
			continue
		}
		report := poison.Report{Request: id, Served: r.Served}
		for _, e := range r.Ends {
			report.Crashes = append(report.Crashes, poison.Crash(e))
		}
		reports = append(reports, report)
	}
	n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome { return g.HandleReports(now, reports) })
}

// withRefusals adds to a message what its receiver may not know of refused requests.
func (n *Node) withRefusals(to string, m wire.Gossip) wire.Gossip {
	p := n.poisonGuard
	p.mu.Lock()
	defer p.mu.Unlock()
	sum, news := p.guard.NextUpdates(time.Now(), to, maxRefusalsPerMessage)
	m.RefusedSum = sum
	for _, r := range news {
		m.Refused = append(m.Refused, wire.Refusal{Request: bytesOf(r.Request), Version: r.Version, Left: r.Remaining.Milliseconds(), Age: r.Age.Milliseconds(), Times: r.Count, Pardoned: r.Pardoned})
	}
	return m
}

// mergeRefusals takes in what another node tells of refused requests, and reports whether
// that node is to be told something.
func (n *Node) mergeRefusals(m *wire.Gossip) bool {
	told := make([]poison.Refusal, 0, len(m.Refused))
	for _, r := range m.Refused {
		id, err := poison.ParseID(r.Request)
		if err != nil {
			n.log.Warn(eventUnexpectedMessage, zap.String("node", m.Node), zap.Error(err))
			continue
		}
		told = append(told, poison.Refusal{Request: id, Version: r.Version, Remaining: time.Duration(r.Left) * time.Millisecond, Age: time.Duration(r.Age) * time.Millisecond, Count: r.Times, Pardoned: r.Pardoned})
	}
	return n.applyPoisonEvent(func(g *poison.Guard, now time.Time) poison.Outcome {
		return g.HandleGossip(now, m.Node, m.RefusedSum, told)
	})
}
