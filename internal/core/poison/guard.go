package poison

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gradetiller.example/internal/core/catalog"
)

// Report is what one node tells the owners of a request.
type Report struct {
	Request ID
	// Crashes are all that it knows under the request.
	Crashes []Crash
	// Served tells that the request was served well, so that no end counts against it.
	Served bool
}

// Outcome is what follows from what a node learned.
type Outcome struct {
	// Probe are endpoints to be asked whether they take connections, since runs of this node
	// broke off there, and Verify those that other nodes said have ended. The answers go to
	// Guard.Probed.
	Probe, Verify []catalog.Endpoint
	// Findings is what became known of broken runs.
	Findings []Finding
	// Reports goes to the owners of each request.
	Reports []Report
	// Refused requests are refused from now on, RefusedByPeers ones too, by another node's word;
	// Pardoned ones are not any more.
	Refused, RefusedByPeers, Pardoned []ID
	// GossipSoon has all neighbors told what is new soon.
	GossipSoon bool
	// Reply has the node whose word it was told what it does not know.
	Reply bool
}

// Guard is one node's part in finding and refusing the requests that crash endpoints. It is
// not safe for concurrent use.
//
// An address that refuses one node's connections may be cut off from that node alone. So an
// end counts when two nodes have found the address to refuse, the one that saw the run
// break off and an owner of the request that it told; or when the list of endpoints tells
// it.
type Guard struct {
	watch  *Detector
	ledger *Ledger
	// list is the last list of endpoints.
	list []catalog.Endpoint
	// alone tells that there is no other node to agree.
	alone bool
	// doubts are the ends that others told and that this node is finding out about, and
	// checked what it found out.
	doubts  map[string][]doubt
	checked *simplelru.LRU[string, check]
	// served tells when requests were last served well by this node.
	served *simplelru.LRU[ID, time.Time]
}

// doubt is a reported end that is not agreed yet.
type doubt struct {
	request ID
	end     Crash
}

// check is what this node found out about an endpoint that another one said has ended.
type check struct {
	at    time.Time
	ended bool
}

// holds reports whether a check tells the present.
func (c check) holds(now time.Time) bool {
	if c.ended {
		return now.Sub(c.at) < endedFor
	}
	return now.Sub(c.at) < aliveFor
}

const (
	// mostChecked bounds the endpoints of which it is remembered what was found out.
	mostChecked = 512
	// mostDoubts bounds the reports that wait for what is found out about one endpoint.
	mostDoubts = 256
	// aliveFor is how long an endpoint that took a connection is not asked again, and
	// endedFor how long one that refused it: it may have been cut off for a while.
	aliveFor = 500 * time.Millisecond
	endedFor = 10 * time.Second
	// mostServed bounds the requests of which it is remembered when they were served.
	mostServed = 8192
	// servedFor is how long a request that was served well is no suspect. One that many
	// clients send runs at nearly every endpoint that ends: of eight systems in which one
	// request in ten is the same, seven refused it without this, none with it
	// (TestIncidents, popular).
	servedFor = 30 * time.Second
)

// NewGuard returns a guard that knows nothing yet. Endpoints confirm their entries at the
// interval of the heartbeat, or the usual one if it is 0.
func NewGuard(heartbeat time.Duration) *Guard {
	return &Guard{
		watch: NewDetector(heartbeat), ledger: NewLedger(), alone: true,
		doubts: make(map[string][]doubt), checked: newLRU[string, check](mostChecked), served: newLRU[ID, time.Time](mostServed),
	}
}

// newLRU returns a set that forgets what was used longest ago.
func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		// The sizes are constants of this package.
		panic(err)
	}
	return lru
}

// SetSingleNode tells whether there are no other nodes.
func (g *Guard) SetSingleNode(alone bool) { g.alone = alone }

// Refused reports whether a request is refused, and for how long still.
func (g *Guard) Refused(now time.Time, id ID) (time.Duration, bool) { return g.ledger.Refused(now, id) }

// Suspected reports whether so many endpoints ended under a request, as far as this node
// knows, that it is to be kept apart from others.
func (g *Guard) Suspected(now time.Time, id ID) bool {
	return len(g.ledger.Crashes(now, id)) >= endsToPart
}

// Sizes returns how many requests are suspects, and how many refusals are known.
func (g *Guard) Sizes() (suspects, refusals int) {
	return g.ledger.Suspects(), g.ledger.Refusals().Len()
}

// Crashes lists the endpoints that ended under a request, as far as this node knows.
func (g *Guard) Crashes(now time.Time, id ID) []string {
	var list []string
	for _, e := range g.ledger.Crashes(now, id) {
		list = append(list, e.Endpoint)
	}
	return list
}

// RecordBrokenRuns takes in that runs broke off at an endpoint that is not leaving.
func (g *Guard) RecordBrokenRuns(now time.Time, e catalog.Endpoint, l RunLength, requests ...ID) Outcome {
	if !g.watch.RecordBrokenRuns(now, e, l, requests...) {
		return Outcome{}
	}
	return Outcome{Probe: []catalog.Endpoint{e}}
}

// RecordProbe takes in whether an endpoint refused a connection.
func (g *Guard) RecordProbe(now time.Time, endpoint string, refuses bool) Outcome {
	out := Outcome{Findings: g.watch.RecordProbe(now, endpoint, refuses)}
	g.checked.Add(endpoint, check{at: now, ended: refuses})
	waiting := g.doubts[endpoint]
	delete(g.doubts, endpoint)
	for _, d := range waiting {
		if refuses {
			g.end(now, d.request, d.end, true, &out)
		}
	}
	g.count(now, &out)
	return out
}

// UpdateEndpoints takes in a list of endpoints that was current at a moment.
func (g *Guard) UpdateEndpoints(now, current time.Time, list []catalog.Endpoint) Outcome {
	var out Outcome
	g.list = list
	out.Findings, out.Probe = g.watch.UpdateEndpoints(now, current, list)
	g.count(now, &out)
	return out
}

// count counts what was found here, and has the owners told of it and of all that is known
// here: one that came to own a request lately learns the earlier ends too.
func (g *Guard) count(now time.Time, out *Outcome) {
	for _, f := range out.Findings {
		f.Requests = slices.DeleteFunc(slices.Clone(f.Requests), func(id ID) bool { return g.servedLately(now, id) })
		e := Crash{Endpoint: f.Endpoint.ID, Address: f.Endpoint.Address, Among: g.among(f.Endpoint.Service), Sure: f.FromList, Alive: !f.Crashed}
		for _, id := range f.Requests {
			r := Report{Request: id, Crashes: append(g.ledger.Crashes(now, id), e)}
			g.end(now, id, e, e.Sure || g.alone, out)
			out.Reports = append(out.Reports, r)
		}
	}
}

// end takes in an end under a request.
func (g *Guard) end(now time.Time, id ID, e Crash, agreed bool, out *Outcome) {
	if e.Alive {
		if g.ledger.RetractCrash(now, id, e.Endpoint) {
			out.Pardoned = append(out.Pardoned, id)
			out.GossipSoon = true
		}
		return
	}
	if !g.servedLately(now, id) && g.ledger.AddCrash(now, id, e, agreed) {
		out.Refused = append(out.Refused, id)
		out.GossipSoon = true
	}
}

// among counts the endpoints of a service.
func (g *Guard) among(service string) int {
	n := 0
	for _, e := range g.list {
		if e.Service == service {
			n++
		}
	}
	return n
}

// servedLately reports whether a request was served well by this node not long ago.
func (g *Guard) servedLately(now time.Time, id ID) bool {
	at, ok := g.served.Peek(id)
	return ok && now.Sub(at) < servedFor
}

// RecordSuccess takes in that a request was served well: it crashes nothing.
func (g *Guard) RecordSuccess(now time.Time, id ID) Outcome {
	var out Outcome
	g.served.Add(id, now)
	if len(g.ledger.Crashes(now, id)) == 0 && !g.ledger.Refusals().Contains(id) {
		return out
	}
	g.pardon(now, id, &out)
	out.Reports = []Report{{Request: id, Served: true}}
	return out
}

// pardon forgets the ends under a request that was served well.
func (g *Guard) pardon(now time.Time, id ID, out *Outcome) {
	if g.ledger.RecordSuccess(now, id) {
		out.Pardoned = append(out.Pardoned, id)
		out.GossipSoon = true
	}
}

// HandleReports takes in what other nodes tell the owners of requests.
func (g *Guard) HandleReports(now time.Time, reports []Report) Outcome {
	var out Outcome
	for _, r := range reports {
		for _, e := range r.Crashes {
			g.doubt(now, r.Request, e, &out)
		}
		if r.Served {
			g.pardon(now, r.Request, &out)
		}
	}
	return out
}

// doubt finds out whether a reported end is one for this node too.
func (g *Guard) doubt(now time.Time, id ID, e Crash, out *Outcome) {
	if e.Sure || e.Alive {
		g.end(now, id, e, true, out)
		return
	}
	if c, ok := g.checked.Get(e.Endpoint); ok && c.holds(now) {
		if c.ended {
			g.end(now, id, e, true, out)
		}
		return
	}
	waiting := g.doubts[e.Endpoint]
	if len(waiting) == 0 {
		out.Verify = append(out.Verify, catalog.Endpoint{ID: e.Endpoint, Address: e.Address})
	}
	if len(waiting) < mostDoubts {
		g.doubts[e.Endpoint] = append(waiting, doubt{request: id, end: e})
	}
}

// HandleGossip takes in what another node tells with a heartbeat: the sum over the refusals that
// it knows, and those that may be new here.
func (g *Guard) HandleGossip(now time.Time, from string, sum uint64, told []Refusal) Outcome {
	refusals := g.ledger.Refusals()
	out := Outcome{RefusedByPeers: refusals.Merge(now, told), GossipSoon: len(told) > 0}
	out.RefusedByPeers = slices.DeleteFunc(out.RefusedByPeers, func(id ID) bool { return g.objects(now, id, &out) })
	out.Reply = refusals.NeedsUpdate(now, from, sum)
	return out
}

// objects pardons a request that another node refuses and that this one served well since
// the first end that counts against it.
func (g *Guard) objects(now time.Time, id ID, out *Outcome) bool {
	at, ok := g.served.Peek(id)
	if !ok || !at.After(g.ledger.Refusals().FirstCrash(id)) {
		return false
	}
	g.pardon(now, id, out)
	out.Reports = append(out.Reports, Report{Request: id, Served: true})
	return true
}

// NextUpdates returns what a node is told with a heartbeat: the sum over the refusals known here,
// and most of those that it was not told yet.
func (g *Guard) NextUpdates(now time.Time, to string, most int) (sum uint64, news []Refusal) {
	refusals := g.ledger.Refusals()
	return refusals.Checksum(now), refusals.NextUpdates(now, to, most)
}

// ForgetPeers drops what the nodes were told that are gone: one that comes back is told all
// anew.
func (g *Guard) ForgetPeers(gone func(node string) bool) { g.ledger.Refusals().ForgetPeers(gone) }
