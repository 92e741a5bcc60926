package poison

import "time"

// recordFindings records this node's findings, and adds reports to the owners with all
// crashes known here, so that a new owner of a subject learns of the earlier ones too.
func (g *Guard) recordFindings(now time.Time, out *Outcome) {
	for _, f := range out.Findings {
		if len(f.Requests) == 0 {
			continue
		}
		e := Crash{
			Endpoint: f.Endpoint.ID, Address: f.Endpoint.Address, ServiceSize: g.serviceSize(f.Endpoint.Service),
			Confirmed: f.FromList, Alive: !f.Crashed, Age: now.Sub(f.At),
		}
		if f.Crashed {
			g.recordCrashedParts(f.Requests)
		}
		for _, s := range g.suspectsOf(now, f.Requests) {
			e.Companions = s.companions
			e.ServedBefore = s.subject.Part && g.servedWithin(now, s.subject.ID, servedBeforeTTL)
			r := Report{Subject: s.subject, Crashes: append(g.ledger.Crashes(now, s.subject.ID), e)}
			g.recordCrash(now, s.subject, e, e.Confirmed || g.singleNode, out)
			out.Reports = append(out.Reports, r)
		}
	}
}

// recordCrashedParts remembers the parts of requests under which an endpoint crashed, to tell when they are
// served.
func (g *Guard) recordCrashedParts(requests []Request) {
	for _, q := range requests {
		for _, part := range q.Parts {
			g.crashedParts.Add(part, struct{}{})
		}
	}
}

// suspectAt is a subject of requests that ran where an endpoint crashed.
type suspectAt struct {
	subject    Subject
	companions []ID
}

// suspectsOf returns the subjects of requests that may have crashed an endpoint, with their companions.
// Those that were served here lately have not.
func (g *Guard) suspectsOf(now time.Time, requests []Request) []suspectAt {
	var list []suspectAt
	known := make(map[ID]int)
	for _, q := range requests {
		for _, s := range q.subjects() {
			ttl := servedTTL
			if s.Part {
				ttl = partServedTTL
			}
			if g.servedWithin(now, s.ID, ttl) {
				continue
			}
			at, ok := known[s.ID]
			if !ok {
				at = len(list)
				known[s.ID] = at
				list = append(list, suspectAt{subject: s})
			}
			if s.Part {
				list[at].companions = union(list[at].companions, g.companionsOf(now, q, s.ID))
			}
		}
	}
	return list
}

// companionsOf returns the other subjects of a request that were not served here lately.
func (g *Guard) companionsOf(now time.Time, q Request, id ID) []ID {
	var list []ID
	for _, s := range q.subjects() {
		if s.ID != id && !g.servedWithin(now, s.ID, servedTTL) {
			list = append(list, s.ID)
		}
	}
	return list
}

// recordCrash records a crash, or the retraction of one, under a subject.
func (g *Guard) recordCrash(now time.Time, s Subject, e Crash, confirmed bool, out *Outcome) {
	if e.Alive {
		retract := g.ledger.RetractCrash
		if e.Accepted {
			retract = g.ledger.RetractRecentCrash
		}
		if retract(now, s.ID, e.Endpoint) {
			out.Cleared = append(out.Cleared, s)
			out.GossipSoon = true
		}
		return
	}
	if g.servedAfter(now, s, e) {
		return
	}
	change := g.ledger.AddCrash(now, s, e, confirmed)
	if change.Refused {
		out.Refused = append(out.Refused, s)
	}
	if change.Suspected {
		out.Suspected = append(out.Suspected, s)
	}
	out.GossipSoon = out.GossipSoon || change != (Change{})
}

// servedAfter reports whether a subject was served so that a crash under it doesn't count: a content
// lately, a part after the crash.
func (g *Guard) servedAfter(now time.Time, s Subject, e Crash) bool {
	if !s.Part {
		return g.servedWithin(now, s.ID, servedTTL)
	}
	at, ok := g.lastServed(s.ID)
	return ok && at.After(now.Add(-e.Age))
}
