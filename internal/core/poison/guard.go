package poison

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gradetiller.example/internal/core/catalog"
)

// Report is one node's message about a subject to the subject's owners.
type Report struct {
	Subject Subject
	// Crashes are all crashes under the subject that the node knows.
	Crashes []Crash
	// Served is true if the subject was served successfully, so that no crash counts
	// against it.
	Served bool
}

// Rejection tells why a request is refused.
type Rejection struct {
	// Subject is the content or the part of the prompt that crashes endpoints.
	Subject Subject
	// Remaining is how much longer it is refused.
	Remaining time.Duration
}

// Outcome holds the actions that follow from an event.
type Outcome struct {
	// Probe lists endpoints whose connections must be probed because runs of this node
	// broke there, and Verify those that other nodes reported as crashed or whose unframed answers ended. The
	// results go to Guard.RecordProbe.
	Probe, Verify []catalog.Endpoint
	// Findings are the conclusions about broken runs.
	Findings []Finding
	// Reports are to be sent to the owners of their subjects.
	Reports []Report
	// Refused lists subjects that this node refuses from now on, RefusedByPeers those that
	// another node refuses, Suspected the parts that this node suspects, and Cleared those that are no
	// longer refused or suspected.
	Refused, RefusedByPeers, Suspected, Cleared []Subject
	// ServedSince lists prompt parts under which an endpoint crashed here and with which this node has
	// served a request since.
	ServedSince []ID
	// GossipSoon is true if the neighbors should soon be sent the changes.
	GossipSoon bool
	// Reply is true if the sender should be sent the changes that it lacks.
	Reply bool
}

// Guard is one node's part in detecting and refusing the requests that crash endpoints. It
// is not safe for concurrent use.
//
// An address that refuses one node's connections may be unreachable from that node alone. A
// crash therefore counts if two nodes found the address to refuse connections, the one that
// saw the run break and an owner of the request that received its report, or if the list of
// endpoints shows it. An owner whose connection is accepted tells the other owners, which then
// don't count it: a packet filter on many nodes may lead to the same wrong finding at two of them.
type Guard struct {
	detector *Detector
	ledger   *Ledger
	// list is the latest list of endpoints.
	list catalog.Endpoints
	// singleNode is true if no other node exists to confirm a crash.
	singleNode bool
	// self is the name of this node, and nodes are the names of all live nodes.
	self  string
	nodes []string
	// unconfirmed holds crashes reported by other nodes that this node is verifying, by
	// endpoint, and verified the results.
	unconfirmed map[string][]unconfirmedCrash
	verified    *simplelru.LRU[string, verification]
	// served holds when contents were last served successfully by this node, and servedParts when parts
	// were, here or at a node that reported it.
	served, servedParts *simplelru.LRU[ID, time.Time]
	// crashedParts holds the prompt parts under which endpoints crashed here and that were not served
	// since.
	crashedParts *simplelru.LRU[ID, struct{}]
}

// unconfirmedCrash is a reported crash that this node has not verified yet.
type unconfirmedCrash struct {
	subject Subject
	crash   Crash
}

// verification is this node's own finding about an endpoint that another node reported as
// crashed.
type verification struct {
	at      time.Time
	crashed bool
}

// valid reports whether the result is recent enough to be used.
func (c verification) valid(now time.Time) bool {
	if c.crashed {
		return now.Sub(c.at) < crashedTTL
	}
	return now.Sub(c.at) < aliveTTL
}

const (
	// maxVerified bounds the number of endpoints whose verification results are kept.
	maxVerified = 512
	// maxUnconfirmed bounds the number of reports that wait for one endpoint's
	// verification.
	maxUnconfirmed = 2048
	// aliveTTL is how long an endpoint that accepted a connection is not probed again, and
	// crashedTTL how long one that refused it: it may have been unreachable for a while.
	aliveTTL   = 500 * time.Millisecond
	crashedTTL = 10 * time.Second
	// maxServed bounds the number of contents, and of parts, whose last success is kept.
	maxServed = 8192
	// servedTTL is how long a request that was served successfully is not a suspect. A
	// request that many clients send runs at nearly every endpoint that crashes: of eight
	// systems in which one request in ten is the same, seven refused it without this rule,
	// and none with it (TestIncidents, popular).
	servedTTL = 30 * time.Second
	// partServedTTL is how long a crash doesn't count against a part after a success. It is shorter, since
	// the success of any request with the part clears it again, and a part may begin to crash endpoints
	// when their software changes.
	partServedTTL = time.Second
	// servedBeforeTTL is how long after a success a part is refused only after maxPartCrashes.
	servedBeforeTTL = crashTTL
)

// NewGuard returns a guard without state. Endpoints confirm their entries at the given
// heartbeat interval, or at the default one if it is 0.
func NewGuard(heartbeat time.Duration) *Guard {
	return &Guard{
		detector: NewDetector(heartbeat), ledger: NewLedger(), singleNode: true,
		unconfirmed: make(map[string][]unconfirmedCrash), verified: newLRU[string, verification](maxVerified), served: newLRU[ID, time.Time](maxServed),
		servedParts:  newLRU[ID, time.Time](maxServed),
		crashedParts: newLRU[ID, struct{}](maxSuspects),
	}
}

// newLRU returns a map that evicts the least recently used entry.
func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		// The sizes are positive constants of this package.
		panic(err)
	}
	return lru
}

// SetSingleNode sets whether this is the only node.
func (g *Guard) SetSingleNode(single bool) { g.singleNode = single }

// SetMembers sets the name of this node and those of all live nodes.
func (g *Guard) SetMembers(self string, nodes []string) { g.self, g.nodes = self, nodes }

// Sizes returns the numbers of suspect subjects and of known refusals.
func (g *Guard) Sizes() (suspects, refusals int) {
	return g.ledger.Suspects(), g.ledger.Refusals().Len()
}

// Crashes returns the endpoints that crashed under a subject, as far as this node knows.
func (g *Guard) Crashes(now time.Time, id ID) []string {
	var list []string
	for _, e := range g.ledger.Crashes(now, id) {
		list = append(list, e.Endpoint)
	}
	return list
}

// Companions returns the IDs that a request must have besides a refused one to be refused.
func (g *Guard) Companions(id ID) []ID { return g.ledger.Refusals().Companions(id) }

// RecordBrokenRuns records that runs broke at an endpoint that is not draining.
func (g *Guard) RecordBrokenRuns(now time.Time, e catalog.Endpoint, l RunLength, requests ...Request) Outcome {
	if !g.detector.RecordBrokenRuns(now, e, l, requests...) {
		return Outcome{}
	}
	return Outcome{Probe: []catalog.Endpoint{e}}
}

// RecordUnframedEnd records that the answer to a request, which had neither a length nor chunks, ended with
// its connection at an endpoint that is not draining. The answer looks the same whether it was complete or
// the endpoint crashed, so the request counts as served only if the endpoint answers soon after, or stays
// listed after its entry would have lapsed.
func (g *Guard) RecordUnframedEnd(now time.Time, e catalog.Endpoint, q Request) Outcome {
	if !g.detector.RecordUnframedEnd(now, e, q) {
		return Outcome{}
	}
	return Outcome{Verify: []catalog.Endpoint{e}}
}

// AwaitsAnswers reports whether RecordAnswer must be called for answers of endpoints.
func (g *Guard) AwaitsAnswers() bool { return g.detector.AwaitsAnswers() }

// RecordAnswer records that an endpoint answered a request that was sent at the given time.
func (g *Guard) RecordAnswer(now time.Time, endpoint string, sent time.Time) Outcome {
	var out Outcome
	g.recordServed(now, g.detector.RecordAnswer(now, endpoint, sent), &out)
	return out
}

// RecordProbe records whether an endpoint refused a connection.
func (g *Guard) RecordProbe(now time.Time, endpoint string, refuses bool) Outcome {
	out := Outcome{Findings: g.detector.RecordProbe(now, endpoint, refuses)}
	g.verified.Add(endpoint, verification{at: now, crashed: refuses})
	waiting := g.unconfirmed[endpoint]
	delete(g.unconfirmed, endpoint)
	for _, d := range waiting {
		if refuses {
			g.recordCrash(now, d.subject, d.crash, true, &out)
		}
	}
	g.recordFindings(now, &out)
	return out
}

// RecordAccepted records that an endpoint accepted a connection. In place of RecordProbe, it also
// retracts the crashes that were reported of the endpoint a moment ago.
func (g *Guard) RecordAccepted(now time.Time, endpoint string) Outcome {
	g.detector.RecordAccepted(endpoint)
	reported := g.unconfirmed[endpoint]
	out := g.RecordProbe(now, endpoint, false)
	for _, d := range reported {
		g.retractAccepted(now, d.subject, d.crash, &out)
	}
	return out
}

// retractAccepted retracts a crash of an endpoint that accepts connections, here and at the other
// owners of the subject.
func (g *Guard) retractAccepted(now time.Time, s Subject, e Crash, out *Outcome) {
	e.Confirmed, e.Alive, e.Accepted = false, true, true
	g.recordCrash(now, s, e, false, out)
	out.Reports = append(out.Reports, Report{Subject: s, Crashes: []Crash{e}})
}

// handleAccepted applies another owner's finding that an endpoint accepts connections. It also
// counts for the reports of the crash that are still to be verified here.
func (g *Guard) handleAccepted(now time.Time, s Subject, e Crash, out *Outcome) {
	g.unconfirmed[e.Endpoint] = slices.DeleteFunc(g.unconfirmed[e.Endpoint], func(d unconfirmedCrash) bool { return d.subject.ID == s.ID })
	if len(g.unconfirmed[e.Endpoint]) == 0 {
		delete(g.unconfirmed, e.Endpoint)
	}
	// A later report of the crash is verified again.
	g.verified.Remove(e.Endpoint)
	g.recordCrash(now, s, e, false, out)
}

// UpdateEndpoints applies a list of endpoints that was current at the given time.
func (g *Guard) UpdateEndpoints(now, current time.Time, list catalog.Endpoints) Outcome {
	var out Outcome
	g.list = list
	var served []Request
	out.Findings, out.Probe, served = g.detector.UpdateEndpoints(now, current, list)
	g.recordFindings(now, &out)
	g.recordServed(now, served, &out)
	return out
}

// serviceSize returns the number of endpoints of a service.
func (g *Guard) serviceSize(service string) int {
	n := 0
	for e := range g.list.All() {
		if e.Service == service {
			n++
		}
	}
	return n
}

// lastServed returns when a subject was last served successfully, as far as this node knows.
func (g *Guard) lastServed(id ID) (time.Time, bool) {
	if at, ok := g.servedParts.Peek(id); ok {
		return at, true
	}
	return g.served.Peek(id)
}

// servedWithin reports whether a subject was served successfully lately, as far as this node knows.
func (g *Guard) servedWithin(now time.Time, id ID, ttl time.Duration) bool {
	at, ok := g.lastServed(id)
	return ok && now.Sub(at) < ttl
}

// RecordSuccess records that a request was served successfully and therefore crashes
// nothing.
func (g *Guard) RecordSuccess(now time.Time, q Request) Outcome {
	var out Outcome
	g.recordServed(now, []Request{q}, &out)
	return out
}

func (g *Guard) recordServed(now time.Time, requests []Request, out *Outcome) {
	for _, q := range requests {
		g.served.Add(q.Content, now)
		for _, part := range q.Parts {
			g.servedParts.Add(part, now)
			if g.crashedParts.Remove(part) {
				out.ServedSince = append(out.ServedSince, part)
			}
		}
		for _, s := range q.subjects() {
			if g.ledger.Contains(s.ID) || g.ledger.Refusals().Contains(s.ID) {
				g.clearSuspicion(now, s, out)
				out.Reports = append(out.Reports, Report{Subject: s, Served: true})
			}
		}
	}
}

// clearSuspicion drops the crashes under a subject that was served successfully, and ends its
// refusal.
func (g *Guard) clearSuspicion(now time.Time, s Subject, out *Outcome) {
	if g.ledger.RecordSuccess(now, s.ID) {
		out.Cleared = append(out.Cleared, s)
		out.GossipSoon = true
	}
}

// HandleReports applies reports that other nodes sent to the owners of subjects.
func (g *Guard) HandleReports(now time.Time, reports []Report) Outcome {
	var out Outcome
	for _, r := range reports {
		for _, e := range r.Crashes {
			g.verify(now, r.Subject, e, &out)
		}
		if r.Served {
			if r.Subject.Part {
				g.servedParts.Add(r.Subject.ID, now)
			}
			g.clearSuspicion(now, r.Subject, &out)
		}
	}
	return out
}

// verify accepts a reported crash, or starts to verify it.
func (g *Guard) verify(now time.Time, s Subject, e Crash, out *Outcome) {
	if e.Accepted {
		g.handleAccepted(now, s, e, out)
		return
	}
	if e.Confirmed || e.Alive {
		g.recordCrash(now, s, e, true, out)
		return
	}
	if c, ok := g.verified.Get(e.Endpoint); ok && c.valid(now) {
		if c.crashed {
			g.recordCrash(now, s, e, true, out)
		}
		return
	}
	waiting := g.unconfirmed[e.Endpoint]
	if len(waiting) == 0 {
		out.Verify = append(out.Verify, catalog.Endpoint{ID: e.Endpoint, Address: e.Address})
	}
	if len(waiting) < maxUnconfirmed {
		g.unconfirmed[e.Endpoint] = append(waiting, unconfirmedCrash{subject: s, crash: e})
	}
}

// HandleGossip applies the refusal data of another node's heartbeat: the checksum over the
// refusals that it knows, and those that may be new here.
func (g *Guard) HandleGossip(now time.Time, from string, sum uint64, received []Refusal) Outcome {
	refusals := g.ledger.Refusals()
	refused, suspected := refusals.Merge(now, received)
	out := Outcome{RefusedByPeers: refused, GossipSoon: len(received) > 0}
	contradicts := func(s Subject) bool { return g.contradicts(now, s, &out) }
	out.RefusedByPeers = slices.DeleteFunc(out.RefusedByPeers, contradicts)
	for _, s := range suspected {
		contradicts(s)
	}
	out.Reply = refusals.NeedsUpdate(now, from, sum)
	return out
}

// contradicts clears a subject that another node refuses or suspects, if it was served successfully
// since the first crash that counts against it.
func (g *Guard) contradicts(now time.Time, s Subject, out *Outcome) bool {
	at, ok := g.lastServed(s.ID)
	if !ok || !at.After(g.ledger.Refusals().FirstCrash(s.ID)) {
		return false
	}
	g.clearSuspicion(now, s, out)
	out.Reports = append(out.Reports, Report{Subject: s, Served: true})
	return true
}

// NextUpdates returns the refusal data of a heartbeat to a node: the checksum over the
// refusals known here, and up to limit refusals that were not sent to it yet.
func (g *Guard) NextUpdates(now time.Time, to string, limit int) (sum uint64, updates []Refusal) {
	refusals := g.ledger.Refusals()
	return refusals.Checksum(now), refusals.NextUpdates(now, to, limit)
}

// ForgetPeers drops the state of nodes that are gone. A node that returns is sent
// everything again.
func (g *Guard) ForgetPeers(gone func(node string) bool) { g.ledger.Refusals().ForgetPeers(gone) }
