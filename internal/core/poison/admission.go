package poison

import (
	"slices"
	"time"
)

// Admit reports whether an arriving request is refused. Of the requests with a part whose refusal has
// ended, only one node admits one at a time until an outcome is known: an endpoint that crashes again
// crashes once.
func (g *Guard) Admit(now time.Time, q Request) (Rejection, bool) {
	if r, refused := g.Refused(now, q); refused {
		return r, true
	}
	refusals := g.ledger.Refusals()
	for _, part := range q.Parts {
		if refusals.OnProbation(now, part) && g.applies(now, part, q) && !(g.admitsTrials(part) && refusals.TryTrial(now, part)) {
			return Rejection{Subject: Subject{ID: part, Part: true}, Remaining: trialTimeout}, true
		}
	}
	return Rejection{}, false
}

// admitsTrials reports whether this node admits requests on probation: the first owner does.
func (g *Guard) admitsTrials(id ID) bool {
	return len(g.nodes) == 0 || Owners(id, g.nodes)[0] == g.self
}

// Refused reports whether a request that was admitted before is refused by now.
func (g *Guard) Refused(now time.Time, q Request) (Rejection, bool) {
	if left, refused := g.ledger.Refused(now, q.Content); refused {
		return Rejection{Subject: Subject{ID: q.Content}, Remaining: left}, true
	}
	for _, part := range q.Parts {
		if left, refused := g.ledger.Refused(now, part); refused && g.applies(now, part, q) {
			return Rejection{Subject: Subject{ID: part, Part: true}, Remaining: left}, true
		}
	}
	return Rejection{}, false
}

// applies reports whether the refusal of a part applies to a request: it has all companions that the part
// had at its crashes and that may themselves be the cause.
func (g *Guard) applies(now time.Time, part ID, q Request) bool {
	return !slices.ContainsFunc(g.ledger.Refusals().Companions(part), func(c ID) bool {
		return !q.has(c) && !g.servedWithin(now, c, servedTTL)
	})
}

// Suspected reports whether so many endpoints crashed under a request's content or one of its parts that
// it must run apart from other requests, and returns that content or part. Requests with the same one
// run in the same place.
func (g *Guard) Suspected(now time.Time, q Request) (ID, bool) {
	for _, part := range slices.Backward(q.Parts) {
		if g.suspectsPart(now, part) && !g.servedWithin(now, part, servedTTL) {
			return part, true
		}
	}
	return q.Content, len(g.ledger.Crashes(now, q.Content)) >= isolationCrashes
}

// MayRetry reports whether a request may be sent to another endpoint after it broke at one. It may not if its
// content or one of its parts is suspected on findings that other nodes or the list share: this node alone
// may have lost its paths to endpoints that are alive.
func (g *Guard) MayRetry(now time.Time, q Request) bool {
	return g.confirmedCrashes(now, q.Content) < isolationCrashes && !slices.ContainsFunc(q.Parts, func(part ID) bool {
		return g.suspectsPart(now, part) && !g.servedWithin(now, part, servedTTL)
	})
}

func (g *Guard) suspectsPart(now time.Time, part ID) bool {
	refusals := g.ledger.Refusals()
	return refusals.Suspected(part) || refusals.OnProbation(now, part) || g.confirmedCrashes(now, part) >= isolationCrashes
}

func (g *Guard) confirmedCrashes(now time.Time, id ID) int {
	n := 0
	for _, e := range g.ledger.Crashes(now, id) {
		if e.Confirmed {
			n++
		}
	}
	return n
}
