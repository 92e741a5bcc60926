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
	// probeLimit is how long an endpoint has to take or refuse a connection. One whose
	// process has ended refuses within the time of a packet there and back; one that has
	// gone dark never answers.
	probeLimit = 300 * time.Millisecond
	// mostTold bounds the refused requests of one message: 4 kB.
	mostTold = 128
	// poisonReason is the outcome of requests that are refused since they crash endpoints.
	poisonReason = "crashes endpoints"
)

// poisons is what this node knows of requests that crash endpoints.
type poisons struct {
	mu     sync.Mutex
	watch  *poison.Watch
	ledger *poison.Ledger
}

func newPoisons(heartbeat time.Duration) *poisons {
	return &poisons{watch: poison.NewWatch(heartbeat), ledger: poison.NewLedger()}
}

// refused reports whether a request is refused since it crashes endpoints, and for how
// long still.
func (p *poisons) refused(id poison.ID) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Refused(time.Now(), id)
}

// suspected reports whether endpoints ended under a request, as far as this node knows.
func (p *poisons) suspected(id poison.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ledger.Ends(time.Now(), id)) > 0
}

// sizes returns how many requests are suspects, and how many refused ones are known.
func (p *poisons) sizes() (suspects, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Suspects(), p.ledger.Refusals().Len()
}

// forgetPeers drops what the nodes were told that are no more: one that comes back is told
// all anew.
func (p *poisons) forgetPeers(live []wire.Entry) {
	names := make(map[string]bool, len(live))
	for _, e := range live {
		names[e.Node] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.Refusals().Forget(func(peer string) bool { return !names[peer] })
}

// refusePoison answers a request that is refused since it crashes endpoints, and reports
// whether it is. The answer promises that this try has not run, which is true, and tells
// how long it is of no use to come back; a final status would also end a request for good
// that was a suspect by chance. A try that may have run is promised nothing.
func (n *Node) refusePoison(w http.ResponseWriter, q *request) bool {
	left, refused := n.poisons.refused(q.content)
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

// runBroke takes in that runs of requests broke off at an endpoint without a whole answer.
// What was broken off from this side, by its context, tells nothing, nor does an endpoint
// that is leaving.
func (n *Node) runBroke(ctx context.Context, e catalog.Endpoint, requests ...poison.ID) {
	if ctx.Err() != nil || n.leaves(e.ID) {
		return
	}
	p := n.poisons
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watch.Broke(time.Now(), e, requests...) {
		go n.probe(e)
	}
}

// leaves reports whether an endpoint is leaving or has left the list.
func (n *Node) leaves(id string) bool {
	for _, e := range n.view.Load().endpoints {
		if e.ID == id {
			return e.Draining
		}
	}
	return true
}

// probe asks whether an endpoint takes connections.
func (n *Node) probe(e catalog.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	refuses := socket.Refuses(ctx, e.Address)
	n.meters.probed(refuses)
	p := n.poisons
	p.mu.Lock()
	found := p.watch.Probed(time.Now(), e.ID, refuses)
	p.mu.Unlock()
	n.log.Info(eventRunBroke, zap.String("endpoint", e.ID), zap.Bool("refuses", refuses))
	n.takeFindings(found)
}

// endpointsListed holds the list of endpoints, current as of a moment, against the runs
// that broke off.
func (n *Node) endpointsListed(current time.Time, list []catalog.Endpoint) {
	p := n.poisons
	p.mu.Lock()
	if !p.watch.Watching() {
		p.mu.Unlock()
		return
	}
	found, ask := p.watch.Listed(time.Now(), current, list)
	p.mu.Unlock()
	for _, e := range ask {
		go n.probe(e)
	}
	n.takeFindings(found)
}

// takeFindings counts the ends of endpoints against the requests that ran there, and tells
// their owners.
func (n *Node) takeFindings(found []poison.Finding) {
	for _, f := range found {
		n.log.Info(eventEndpointEnded, zap.String("endpoint", f.Endpoint), zap.Bool("ended", f.Ended), zap.Stringers("contents", f.Requests))
		if f.Ended {
			n.meters.endpointEnded()
		}
		var reports []wire.RequestEnds
		for _, id := range f.Requests {
			report := wire.RequestEnds{Request: bytesOf(id)}
			if f.Ended {
				report.Ended = append(n.poisons.ends(id), f.Endpoint)
			} else {
				report.Alive = []string{f.Endpoint}
			}
			n.takeReport(id, report)
			reports = append(reports, report)
		}
		n.tellOwners(reports)
	}
}

func bytesOf(id poison.ID) []byte { return id[:] }

func (p *poisons) ends(id poison.ID) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Ends(time.Now(), id)
}

// takeReport takes in what is known of the ends under a request, here or at another node.
func (n *Node) takeReport(id poison.ID, m wire.RequestEnds) {
	now := time.Now()
	p := n.poisons
	p.mu.Lock()
	refused, pardoned := false, false
	for _, endpoint := range m.Ended {
		refused = p.ledger.End(now, id, endpoint) || refused
	}
	for _, endpoint := range m.Alive {
		pardoned = p.ledger.TakeBack(now, id, endpoint) || pardoned
	}
	if m.Served {
		pardoned = p.ledger.Served(now, id) || pardoned
	}
	ends := p.ledger.Ends(now, id)
	p.mu.Unlock()
	if refused {
		n.log.Warn(eventPoison, zap.Stringer("content", id), zap.Strings("ended", ends))
		n.dropPoison(id)
	}
	if pardoned {
		n.log.Info(eventPoisonPardoned, zap.Stringer("content", id), zap.Bool("served", m.Served))
	}
	if refused || pardoned {
		n.spreadRefusals()
	}
}

// served takes in that a request was served well: it crashes nothing.
func (n *Node) served(q *request) {
	n.times.served(q, time.Now())
	p := n.poisons
	p.mu.Lock()
	suspected := p.ledger.Served(time.Now(), q.content)
	p.mu.Unlock()
	if suspected {
		n.spreadRefusals()
		n.tellOwners([]wire.RequestEnds{{Request: bytesOf(q.content), Served: true}})
	}
}

// tellOwners sends reports to the nodes that count the ends of their requests.
func (n *Node) tellOwners(reports []wire.RequestEnds) {
	entries := *n.entries.Load()
	names := nodeNames(entries)
	byOwner := make(map[string][]wire.RequestEnds)
	for _, r := range reports {
		id, err := poison.IDOf(r.Request)
		if err != nil {
			continue
		}
		for _, owner := range poison.Owners(id, names) {
			byOwner[owner] = append(byOwner[owner], r)
		}
	}
	for _, e := range entries {
		if list := byOwner[e.Node]; len(list) > 0 && e.Node != n.settings.Node {
			n.links.Send(e.PeerAddress, wire.Ends{Requests: list})
		}
	}
}

// takeEnds takes in the reports of another node.
func (n *Node) takeEnds(m *wire.Ends) {
	for _, r := range m.Requests {
		id, err := poison.IDOf(r.Request)
		if err != nil {
			n.log.Warn(eventMessageNotExpected, zap.Error(err))
			continue
		}
		n.takeReport(id, r)
	}
}

// spreadRefusals has the next beat tell all neighbors what is new.
func (n *Node) spreadRefusals() {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	n.members.BeatSoon()
}

// withRefusals adds to a message what its receiver may not know of refused requests.
func (n *Node) withRefusals(to string, g wire.Gossip) wire.Gossip {
	now := time.Now()
	p := n.poisons
	p.mu.Lock()
	defer p.mu.Unlock()
	refusals := p.ledger.Refusals()
	g.RefusedSum = refusals.Sum(now)
	for _, r := range refusals.News(now, to, mostTold) {
		g.Refused = append(g.Refused, wire.Refusal{Request: bytesOf(r.Request), Version: r.Version, Left: r.Left.Milliseconds(), Times: r.Times, Pardoned: r.Pardoned})
	}
	return g
}

// takeRefusals takes in what another node tells of refused requests, and reports whether
// that node is to be told something.
func (n *Node) takeRefusals(g *wire.Gossip) bool {
	told := make([]poison.Refusal, 0, len(g.Refused))
	for _, r := range g.Refused {
		id, err := poison.IDOf(r.Request)
		if err != nil {
			n.log.Warn(eventMessageNotExpected, zap.String("node", g.Node), zap.Error(err))
			continue
		}
		told = append(told, poison.Refusal{Request: id, Version: r.Version, Left: time.Duration(r.Left) * time.Millisecond, Times: r.Times, Pardoned: r.Pardoned})
	}
	now := time.Now()
	p := n.poisons
	p.mu.Lock()
	fresh := p.ledger.Refusals().Take(now, told)
	differs := p.ledger.Refusals().Compare(now, g.Node, g.RefusedSum)
	p.mu.Unlock()
	for _, id := range fresh {
		n.log.Info(eventPoisonHeard, zap.Stringer("content", id), zap.String("node", g.Node))
		n.dropPoison(id)
	}
	if len(told) > 0 {
		n.spreadRefusals()
	}
	return differs
}

// dropPoison has the stage pools led here give the work of a request up.
func (n *Node) dropPoison(id poison.ID) {
	for _, c := range n.leaders.all() {
		c.drop(id)
	}
}

// stageCallBroke takes in that a call of a stage pool broke off: each of its requests is
// a suspect.
func (n *Node) stageCallBroke(ctx context.Context, e catalog.Endpoint, requests []poison.ID) {
	requests = slices.DeleteFunc(requests, poison.ID.IsZero)
	if len(requests) > 0 {
		n.runBroke(ctx, e, requests...)
	}
}
