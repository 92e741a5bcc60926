package place

import (
	"slices"
	"time"
)

// maxReservation bounds how long a prompt's memory is reserved. A leader is not told when a prompt
// ends, and a wrong prediction must not keep an engine from work for long.
const maxReservation = 10 * time.Second

// Reservation is the memory of an engine that a prompt takes from its placement until its predicted
// end. The zero value reserves nothing.
type Reservation struct {
	tokens int
	until  time.Time
	id     uint64
}

// reservations holds the reserved memory of one endpoint.
type reservations struct {
	list   []Reservation
	tokens int
	// firstEnd is the earliest end of a reservation in the list.
	firstEnd time.Time
}

// reserved returns the tokens that are reserved now.
func (r *reservations) reserved(now time.Time) int {
	if len(r.list) > 0 && !now.Before(r.firstEnd) {
		r.remove(func(o Reservation) bool { return !now.Before(o.until) })
	}
	return r.tokens
}

func (r *reservations) add(o Reservation) {
	if len(r.list) == 0 || o.until.Before(r.firstEnd) {
		r.firstEnd = o.until
	}
	r.list = append(r.list, o)
	r.tokens += o.tokens
}

// remove drops the selected reservations.
func (r *reservations) remove(selected func(Reservation) bool) {
	r.list = slices.DeleteFunc(r.list, selected)
	r.tokens = 0
	for i, o := range r.list {
		r.tokens += o.tokens
		if i == 0 || o.until.Before(r.firstEnd) {
			r.firstEnd = o.until
		}
	}
}

// Reserve reserves memory of endpoint i for a prompt that is about to start there: the tokens that
// it doesn't share with what the endpoint holds, and those that it generates. Call it before Start,
// which adds the prompt to what the endpoint holds.
func (p *Pool) Reserve(now time.Time, i int, req Request) Reservation {
	e := &p.endpoints[i]
	if e.spec.MemoryTokens <= 0 {
		return Reservation{}
	}
	h := p.findCacheHits(now, req)
	// What exceeds an empty endpoint would only keep others away for longer than it runs.
	need := min(req.neededTokens(&h, i), e.spec.MemoryTokens)
	if need > p.roomOf(now, i) {
		p.placedWithoutRoom++
	}
	p.lastReservation++
	took := min(max(p.PredictTTFT(now, i, req)+req.OutputTime, 0), maxReservation)
	r := Reservation{tokens: need, until: now.Add(took), id: p.lastReservation}
	e.reservations.add(r)
	return r
}

// Unreserve ends a reservation at endpoint i before its time, because the prompt failed.
func (p *Pool) Unreserve(i int, r Reservation) {
	if r.id != 0 {
		p.endpoints[i].reservations.remove(func(o Reservation) bool { return o.id == r.id })
	}
}

// neededTokens returns the memory that a prompt needs at endpoint i.
func (r *Request) neededTokens(h *cacheHits, i int) int {
	return max(r.Prompt.Tokens-h.at(i), 0) + max(r.Prompt.OutputTokens, 0)
}

// roomOf returns the tokens that endpoint i has left, which may be negative.
func (p *Pool) roomOf(now time.Time, i int) int {
	e := &p.endpoints[i]
	return e.spec.MemoryTokens - e.reservations.reserved(now)
}

// hasRoom reports whether endpoint i has room for a prompt. One without a stated memory always has.
func (p *Pool) hasRoom(now time.Time, i int, req Request, h *cacheHits) bool {
	return p.endpoints[i].spec.MemoryTokens <= 0 || req.neededTokens(h, i) <= p.roomOf(now, i)
}

// largestRoom returns which of two endpoints has more room.
func (p *Pool) largestRoom(now time.Time, i, k int) int {
	if k == None || p.roomOf(now, i) > p.roomOf(now, k) {
		return i
	}
	return k
}

// firstWithRoom returns the first usable endpoint with room at or after start, or None.
func (p *Pool) firstWithRoom(now time.Time, start int, req Request, h *cacheHits) int {
	n := len(p.endpoints)
	for k := range n {
		if i := (start + k) % n; p.hasRoom(now, i, req, h) && p.usable(now, i, req) {
			return i
		}
	}
	return None
}

// ReservedShare returns the largest share of an endpoint's memory that is reserved, from 0 on.
func (p *Pool) ReservedShare(now time.Time) float64 {
	most := 0.0
	for i := range p.endpoints {
		if e := &p.endpoints[i]; e.spec.MemoryTokens > 0 && !e.removed {
			most = max(most, float64(e.reservations.reserved(now))/float64(e.spec.MemoryTokens))
		}
	}
	return most
}

// TakeWithoutRoom returns the number of prompts placed at endpoints that had no room for them since
// the last call.
func (p *Pool) TakeWithoutRoom() uint64 {
	count := p.placedWithoutRoom
	p.placedWithoutRoom = 0
	return count
}
