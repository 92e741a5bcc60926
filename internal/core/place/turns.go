package place

import "time"

// turn returns an endpoint at which this node has a turn that ends unused soon, or None. Left to
// the policy, 295 nodes that choose for themselves used a tenth of what such an endpoint takes
// while others had room, and none heard for half a minute that it took any number again.
func (p *Pool) turn(now time.Time, req Request) int {
	if !p.limited {
		return None
	}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.spec.Pace.HasTurn(now, &e.sends) && p.Accepts(now, i, req) {
			return i
		}
	}
	return None
}

// Turns is how many calls this node may send until a moment to the available endpoints, and
// how many a second that is. It is false if one of them takes any number, or there is none.
func (p *Pool) Turns(now, by time.Time) (turns int, perSecond float64, bounded bool) {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.available(now, "") {
			continue
		}
		n, ok := e.spec.Pace.AllowedUntil(now, by, &e.sends)
		if !ok {
			return 0, 0, false
		}
		bounded = true
		turns += n
		rate, _ := e.spec.Pace.PerSecond(now)
		perSecond += rate
	}
	return turns, perSecond, bounded
}

// NextTurn is when the first of the available endpoints takes a call of this node, or false
// if there is none.
func (p *Pool) NextTurn(now time.Time) (time.Time, bool) {
	var first time.Time
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.available(now, "") {
			continue
		}
		if next := e.spec.Pace.Next(now, &e.sends); first.IsZero() || next.Before(first) {
			first = next
		}
	}
	return first, !first.IsZero()
}
