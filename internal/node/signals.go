package node

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/wire"
)

// maxLoggedSignals bounds the invalid and unknown signals that are remembered as logged; further
// ones are not logged.
const maxLoggedSignals = 256

// loggedSignal is a signal that is logged once, and the endpoint that sent it.
type loggedSignal struct{ endpoint, text string }

// signals guards what endpoints announce, as this node knows it.
type signals struct {
	mu       sync.Mutex
	registry *signal.Registry
	logged   map[loggedSignal]bool
	// pending is true while a change is to be sent, sentAt when the last one was.
	pending bool
	sentAt  time.Time
	// viewStale is true while the view lacks an endpoint that drains, and swept when the set was
	// last swept.
	viewStale bool
	swept     time.Time
}

func newSignals(seed uint64) *signals {
	return &signals{registry: signal.NewRegistry(seed), logged: make(map[loggedSignal]bool)}
}

// limited returns the number of endpoints with a rate limit.
func (s *signals) limited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Limits().Len()
}

// draining returns the number of endpoints that announced draining.
func (s *signals) draining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Draining().Len()
}

// backingOff returns the number of endpoints to which this node sends nothing since they asked
// it to.
func (s *signals) backingOff(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.registry.Backoffs().Active(now))
}

// any reports whether a signal bounds, or lately bounded, what any endpoint takes.
func (s *signals) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.HasBounds()
}

// bound returns the bound that an endpoint's rate limit sets, and until when its answers announce
// that it is cold.
func (s *signals) bound(endpoint string) (limit intake.Bound, coldUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Bound(endpoint), s.registry.ColdUntil(endpoint)
}

// isNew reports whether a signal that is logged once is to be logged.
func (s *signals) isNew(l loggedSignal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logged[l] || len(s.logged) >= maxLoggedSignals {
		return false
	}
	s.logged[l] = true
	return true
}

// membersChanged drops what is kept for nodes that are gone.
func (s *signals) membersChanged(live []wire.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.ForgetPeers(notIn(live))
}

// observeSignals records the signals of an endpoint's answer.
func (n *Node) observeSignals(endpoint string, s signal.Signals) {
	n.logUnusable(endpoint, s)
	if s.Limit.Rate.Bounded() {
		n.meters.observedLimit()
	}
	now := time.Now()
	n.signals.mu.Lock()
	c := n.signals.registry.Observe(now, endpoint, s)
	n.signals.mu.Unlock()
	if c.Limit != nil {
		n.limitsChanged(sourceEndpoint, *c.Limit)
	}
	if c.Cold {
		n.log.Info(eventEndpointCold, zap.String("endpoint", endpoint), zap.Duration("left", s.Cold))
		n.ratesChanged.Store(true)
	}
	if c.Draining {
		n.drainingChanged(sourceEndpoint, endpoint)
	}
	if !c.BackoffUntil.IsZero() {
		n.meters.observedBackoff()
		n.pools.backoff(endpoint, c.BackoffUntil)
		n.leaders.backoff(now, endpoint, c.BackoffUntil)
		n.log.Info(eventEndpointBackoff, zap.String("endpoint", endpoint), zap.Duration("asked", s.Backoff), zap.Duration("left", c.BackoffUntil.Sub(now)))
	}
}

// checkSignals returns an error if the signals of an endpoint forbid to send it anything.
func (n *Node) checkSignals(endpoint string) error {
	n.signals.mu.Lock()
	defer n.signals.mu.Unlock()
	return n.signals.registry.Check(time.Now(), endpoint)
}

// learnBlocked has the pools know why a request was not sent. A pool that was made after the
// signal was observed lacks it.
func (n *Node) learnBlocked(err error) {
	var blocked *signal.BlockedError
	if errors.As(err, &blocked) && !blocked.Until.IsZero() {
		n.pools.backoff(blocked.Endpoint, blocked.Until)
	}
}

// backoffs returns the backoffs in force that concern a request.
func (n *Node) backoffs(now time.Time, service string) []signal.Backoff {
	n.signals.mu.Lock()
	active := n.signals.registry.Backoffs().Active(now)
	n.signals.mu.Unlock()
	return n.pools.of(service, active)
}

// logUnusable logs, once for each endpoint, signals that are invalid or unknown.
func (n *Node) logUnusable(endpoint string, s signal.Signals) {
	for _, err := range s.Invalid {
		if n.signals.isNew(loggedSignal{endpoint, err.Error()}) {
			n.log.Warn(eventSignalInvalid, zap.String("endpoint", endpoint), zap.Error(err))
		}
	}
	for _, name := range s.Unknown {
		if n.signals.isNew(loggedSignal{endpoint, name}) {
			n.log.Warn(eventSignalUnknown, zap.String("endpoint", endpoint), zap.String("header", name))
		}
	}
}
