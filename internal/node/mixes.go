package node

import (
	"math"
	"sync"
	"time"

	"gradetiller.example/internal/core/intake"
)

// mixStep is the change of a mix after which rates are recomputed.
const mixStep = 0.05

// serviceMix holds what a node knows of who places the requests of one service.
type serviceMix struct {
	// own covers this node's requests, and led those of all nodes that this node places as a
	// leader, together with those that their nodes placed themselves.
	own, led intake.Mix
	// unreported is the number of requests that this node placed itself since its last
	// submission to a leader.
	unreported intake.Unreported
	// usedOwn and usedLed are the values that the present rates are based on.
	usedOwn, usedLed float64
}

// mixes holds the mix of each service. It is safe for concurrent use.
type mixes struct {
	mu        sync.Mutex
	byService map[string]*serviceMix
}

func newMixes() *mixes { return &mixes{byService: make(map[string]*serviceMix)} }

// get returns the mix of a service. The caller must hold the lock.
func (m *mixes) get(service string) *serviceMix {
	s, ok := m.byService[service]
	if !ok {
		s = &serviceMix{}
		s.usedOwn, s.usedLed = s.own.Leaders(), s.led.Leaders()
		m.byService[service] = s
	}
	return s
}

// recordOwn records a request of this node and reports whether rates must be recomputed.
func (m *mixes) recordOwn(now time.Time, service string, byLeader bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(service)
	if byLeader {
		s.own.Add(now, 1, 0)
	} else {
		s.own.Add(now, 0, 1)
		s.unreported.Add(now)
	}
	return updateUsed(&s.usedOwn, s.own.Leaders())
}

// takeUnreported returns the number of requests to report with a submission to a leader.
func (m *mixes) takeUnreported(now time.Time, service string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.get(service).unreported.Take(now)
}

// recordLed records a submission to this node as a leader, with the number of requests that its
// node placed itself, and reports whether rates must be recomputed.
func (m *mixes) recordLed(now time.Time, service string, byNode int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
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

// leaders returns the fraction of a service's requests that leaders place, as estimated from
// this node's own requests and as a leader.
func (m *mixes) leaders(service string) (own, led float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(service)
	return s.usedOwn, s.usedLed
}

// retain drops the mixes of services that are not listed.
func (m *mixes) retain(listed func(service string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.byService {
		if !listed(name) {
			delete(m.byService, name)
		}
	}
}

// recordOwnMix records who places a request, if both leaders and nodes place requests of its
// service.
func (n *Node) recordOwnMix(q *request) {
	if q.view.config.Placing(q.service) != intake.ByBoth {
		return
	}
	if n.mixes.recordOwn(q.arrived, q.service, len(q.route.Stages) > 0) {
		n.ratesChanged.Store(true)
	}
}

// recordLedMix records a submission to this node as a leader.
func (n *Node) recordLedMix(service string, byNode int) {
	v := n.view.Load()
	if v.config == nil || v.config.Placing(service) != intake.ByBoth {
		return
	}
	if n.mixes.recordLed(time.Now(), service, byNode) {
		n.ratesChanged.Store(true)
	}
}
