package intake

import (
	"math"
	"time"
)

// mixStep is the change of a mix after which rates are recomputed.
const mixStep = 0.05

// serviceMix holds what a node knows of who places the requests of one service.
type serviceMix struct {
	// own covers this node's requests, and led those of all nodes that this node places as a
	// leader, together with those that their nodes placed themselves.
	own, led Mix
	// unreported is the number of requests that this node placed itself since its last
	// submission to a leader.
	unreported Unreported
	// usedOwn and usedLed are the values that the present rates are based on.
	usedOwn, usedLed float64
}

// Mixes holds the mix of each service. It is not safe for concurrent use.
type Mixes struct {
	byService map[string]*serviceMix
}

// NewMixes returns an empty set of mixes.
func NewMixes() *Mixes { return &Mixes{byService: make(map[string]*serviceMix)} }

// get returns the mix of a service.
func (m *Mixes) get(service string) *serviceMix {
	s, ok := m.byService[service]
	if !ok {
		s = &serviceMix{}
		s.usedOwn, s.usedLed = s.own.Leaders(), s.led.Leaders()
		m.byService[service] = s
	}
	return s
}

// RecordOwn records a request of this node and reports whether rates must be recomputed.
func (m *Mixes) RecordOwn(now time.Time, service string, byLeader bool) bool {
	s := m.get(service)
	if byLeader {
		s.own.Add(now, 1, 0)
	} else {
		s.own.Add(now, 0, 1)
		s.unreported.Add(now)
	}
	return updateUsed(&s.usedOwn, s.own.Leaders())
}

// TakeUnreported returns the number of requests to report with a submission to a leader.
func (m *Mixes) TakeUnreported(now time.Time, service string) int {
	return m.get(service).unreported.Take(now)
}

// RecordLed records a submission to this node as a leader, with the number of requests that its
// node placed itself, and reports whether rates must be recomputed.
func (m *Mixes) RecordLed(now time.Time, service string, byNode int) bool {
	s := m.get(service)
	s.led.Add(now, 1, max(byNode, 0))
	return updateUsed(&s.usedLed, s.led.Leaders())
}

func updateUsed(used *float64, estimate float64) bool {
	if math.Abs(estimate-*used) < mixStep {
		return false
	}
	*used = estimate
	return true
}

// Leaders returns the fraction of a service's requests that leaders place, as estimated from
// this node's own requests and as a leader.
func (m *Mixes) Leaders(service string) (own, led float64) {
	s := m.get(service)
	return s.usedOwn, s.usedLed
}

// Retain drops the mixes of services that are not listed.
func (m *Mixes) Retain(listed func(service string) bool) {
	for name := range m.byService {
		if !listed(name) {
			delete(m.byService, name)
		}
	}
}
