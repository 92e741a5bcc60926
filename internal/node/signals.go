package node

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/reach"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/wire"
)

// maxLoggedSignals bounds the unknown signals that are remembered as logged. Further ones are not
// logged.
const maxLoggedSignals = 256

// loggedSignal identifies an unknown signal of an endpoint, which is logged once.
type loggedSignal struct{ endpoint, header string }

// signals is the registry of endpoint signals with the state for logging and gossip. It is safe for
// concurrent use.
type signals struct {
	mu       sync.Mutex
	registry *signal.Registry
	logged   map[loggedSignal]bool
	invalid  signal.InvalidLog
	// pending is true if there are changes to send to all neighbors. sentAt is the time of the
	// last such update.
	pending bool
	sentAt  time.Time
	// viewStale is true if an endpoint that announced draining is not marked in the view. swept is
	// the time of the last sweepDraining.
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

// inBackoff returns the number of endpoints in backoff towards this node.
func (s *signals) inBackoff(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.registry.Backoffs().Active(now))
}

// slowdown returns the mean of the slowdowns that endpoints stated recently, or 0 if there are none.
func (s *signals) slowdown(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Slowdowns().Mean(now)
}

// hasBounds reports whether any endpoint has a rate limit, had one recently, or is cold.
func (s *signals) hasBounds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.HasBounds()
}

// bound returns the bound set by an endpoint's rate limit, and the end of its announced cold period.
func (s *signals) bound(endpoint string) (limit intake.Bound, coldUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Bound(endpoint), s.registry.ColdUntil(endpoint)
}

// markLogged records a signal as logged, and reports whether it must be logged now.
func (s *signals) markLogged(l loggedSignal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logged[l] || len(s.logged) >= maxLoggedSignals {
		return false
	}
	s.logged[l] = true
	return true
}

// logsInvalid reports whether an invalid signal of an endpoint must be logged now, and the number of
// those that were not logged before.
func (s *signals) logsInvalid(now time.Time, endpoint string) (skipped int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.invalid.Observe(now, endpoint)
}

// forgetPeers removes the state kept for nodes that are not in the list.
func (s *signals) forgetPeers(live []wire.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.ForgetPeers(notIn(live))
}

// observeSignals applies the signals in an endpoint's response, which came through another node
// unless relay is "".
func (n *Node) observeSignals(endpoint, relay string, status int, s signal.Signals) {
	if relay == "" {
		n.recordPath(endpoint, reach.Answered)
	} else if s.Backoff > 0 {
		n.reportBackoff(relay, endpoint, s.Backoff)
	}
	n.logUnusableSignals(endpoint, s)
	n.observeBrittle(endpoint, status, s.Brittle)
	n.applySignals(endpoint, s)
}

// applySignals applies the signals of an endpoint.
func (n *Node) applySignals(endpoint string, s signal.Signals) {
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
		n.pools.setBackoff(endpoint, c.BackoffUntil)
		n.leaders.backoff(now, endpoint, c.BackoffUntil)
		n.log.Info(eventEndpointBackoff, zap.String("endpoint", endpoint), zap.Duration("asked", s.Backoff), zap.Duration("left", c.BackoffUntil.Sub(now)))
	}
}

// checkSignals returns an error if no request may be sent to an endpoint because of its signals.
func (n *Node) checkSignals(endpoint string) error {
	n.signals.mu.Lock()
	defer n.signals.mu.Unlock()
	return n.signals.registry.Check(time.Now(), endpoint)
}

// recordBlocked sets the backoff that blocked a request in the pools. A pool created after the
// signal was observed doesn't have it.
func (n *Node) recordBlocked(err error) {
	var blocked *signal.BlockedError
	if errors.As(err, &blocked) && !blocked.Until.IsZero() {
		n.pools.setBackoff(blocked.Endpoint, blocked.Until)
	}
}

// backoffs returns the backoffs in force of a service's endpoints.
func (n *Node) backoffs(now time.Time, service string) []signal.Backoff {
	n.signals.mu.Lock()
	active := n.signals.registry.Backoffs().Active(now)
	n.signals.mu.Unlock()
	return n.pools.backoffsOf(service, active)
}

// logUnusableSignals counts invalid signals and logs a bounded part of them, and logs unknown signals
// once per endpoint.
func (n *Node) logUnusableSignals(endpoint string, s signal.Signals) {
	for _, err := range s.Invalid {
		n.meters.invalidSignal(err.Signal)
		if skipped, ok := n.signals.logsInvalid(time.Now(), endpoint); ok {
			n.log.Warn(eventSignalInvalid, zap.String("endpoint", endpoint), zap.String("signal", string(err.Signal)), zap.Int("skipped", skipped), zap.Error(err))
		}
	}
	for _, name := range s.Unknown {
		if n.signals.markLogged(loggedSignal{endpoint, name}) {
			n.log.Warn(eventSignalUnknown, zap.String("endpoint", endpoint), zap.String("header", name))
		}
	}
}
