package place

import "time"

// expiringTimeSlot returns the endpoint at which a time slot of this node is the next to expire
// unused, or None. These slots take precedence over the policy: when the policy alone decided, 295
// nodes used a tenth of the rate limit of such an endpoint while other endpoints had capacity, and
// for 30 s no node noticed that the limit had been lifted.
func (p *Pool) expiringTimeSlot(now time.Time, req Request) int {
	if p.rateLimited == 0 {
		return None
	}
	chosen, first := None, time.Time{}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		end, ok := e.spec.Pace.TimeSlotEnd(now, &e.sends)
		if ok && (chosen == None || end.Before(first)) && p.Accepts(now, i, req) {
			chosen, first = i, end
		}
	}
	return chosen
}

// SendAllowance returns the number of calls this node may send to the available endpoints until
// the given time, and their rate per second. It reports false if an available endpoint has no
// rate limit or if no endpoint is available.
func (p *Pool) SendAllowance(now, until time.Time) (calls int, perSecond float64, bounded bool) {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.available(now, "") {
			continue
		}
		n, ok := e.spec.Pace.AllowedUntil(now, until, &e.sends)
		if !ok {
			return 0, 0, false
		}
		bounded = true
		calls += n
		rate, _ := e.spec.Pace.PerSecond(now)
		perSecond += rate
	}
	return calls, perSecond, bounded
}

// NextSendTime returns the earliest time at which the rate limit of an available endpoint admits
// a call of this node, or false if no endpoint is available.
func (p *Pool) NextSendTime(now time.Time) (time.Time, bool) {
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
