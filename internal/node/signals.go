package node

import (
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/wire"
)

const (
	// maxLoggedSignals bounds the invalid and unknown signals that are remembered as logged;
	// further ones are not logged.
	maxLoggedSignals = 256
	// maxUpdates bounds the updates of one message: 6 kB.
	maxUpdates = 128
	// gossipInterval is how often changes are sent to all neighbors at once. Without it,
	// endpoints whose signals come and go would keep all nodes sending.
	gossipInterval = 300 * time.Millisecond
	// sweepInterval is how often endpoints that are gone are dropped.
	sweepInterval = time.Second
)

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
	// drainingChanged is true while the view lacks an endpoint that drains, and swept when the
	// set was last swept.
	drainingChanged bool
	swept           time.Time
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
	return s.registry.Bounds()
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
	s.registry.ForgetPeers(noneOf(live))
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

// drainingChanged takes endpoints out of use that are newly known to drain.
func (n *Node) drainingChanged(source string, endpoints ...string) {
	if len(endpoints) == 0 {
		return
	}
	for _, e := range endpoints {
		n.log.Info(eventEndpointDraining, zap.String("endpoint", e), zap.String("source", source))
		n.pools.drain(e)
		n.leaders.models.drain(e)
	}
	n.signals.mu.Lock()
	n.signals.pending, n.signals.drainingChanged = true, true
	n.signals.mu.Unlock()
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

// markDraining marks the endpoints of a list that announced draining, whatever the store says.
func (s *signals) markDraining(list []catalog.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry.Draining().Len() == 0 {
		return
	}
	for i := range list {
		list[i].Draining = list[i].Draining || s.registry.Draining().Has(list[i].ID)
	}
}

// applyDraining marks endpoints in the view that are newly known to drain.
func (n *Node) applyDraining() {
	n.signals.mu.Lock()
	changed := n.signals.drainingChanged
	n.signals.drainingChanged = false
	n.signals.mu.Unlock()
	if !changed {
		return
	}
	n.viewMu.Lock()
	next := *n.view.Load()
	next.endpoints = slices.Clone(next.endpoints)
	n.signals.markDraining(next.endpoints)
	n.view.Store(&next)
	n.viewMu.Unlock()
	n.viewChanged()
}

// sweepDraining drops endpoints that drained and are gone.
func (n *Node) sweepDraining(now time.Time) {
	s := n.signals
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry.Draining().Len() == 0 || now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	listed := make(map[string]bool)
	for _, e := range n.view.Load().endpoints {
		listed[e.ID] = true
	}
	s.registry.Draining().Expire(now, func(endpoint string) bool { return listed[endpoint] })
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

// Where signals come from, in log lines, besides peers.
const (
	sourceEndpoint = "endpoint"
	sourceAge      = "age"
)

// limitsChanged applies changed rate limits and has them sent with the next heartbeat.
func (n *Node) limitsChanged(source string, changes ...signal.LimitChange) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		n.log.Info(eventLimitChanged, zap.String("endpoint", c.Endpoint), zap.Stringer("limit", c.After), zap.Stringer("before", c.Before), zap.String("source", source))
	}
	n.ratesChanged.Store(true)
	n.signals.mu.Lock()
	n.signals.pending = true
	n.signals.mu.Unlock()
}

// expireSignals ends signals that are too old, and reports whether all neighbors are to be sent
// an update now.
func (n *Node) expireSignals(now time.Time) bool {
	n.applyDraining()
	n.sweepDraining(now)
	s := n.signals
	s.mu.Lock()
	ended := s.registry.Expire(now)
	send := s.pending && now.Sub(s.sentAt) >= gossipInterval
	if send {
		s.pending, s.sentAt = false, now
	}
	s.mu.Unlock()
	n.limitsChanged(sourceAge, ended...)
	return send
}

// appendSignals adds the updates to a message that its receiver may not have.
func (n *Node) appendSignals(to string, m wire.Gossip) wire.Gossip {
	s := n.signals
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.registry.Limits()
	out := wire.RateLimits{Sum: limits.Sum()}
	for _, u := range limits.Updates(time.Now(), to, maxUpdates) {
		out.Updates = append(out.Updates, wire.RateLimit{Endpoint: u.Endpoint, Bounded: u.Rate.Bounded(), PerSecond: u.Rate.PerSecond(), Age: u.Age.Milliseconds()})
	}
	if out.Sum != 0 || len(out.Updates) > 0 {
		m.RateLimits = &out
	}
	draining := wire.Draining{Sum: s.registry.Draining().Sum()}
	for _, u := range s.registry.Draining().Updates(time.Now(), to, maxUpdates) {
		draining.Updates = append(draining.Updates, wire.DrainingEndpoint{Endpoint: u.Endpoint, Age: u.Age.Milliseconds()})
	}
	if draining.Sum != 0 || len(draining.Updates) > 0 {
		m.Draining = &draining
	}
	return m
}

// mergeSignals applies the updates of another node, and reports whether that node lacks some.
func (n *Node) mergeSignals(m *wire.Gossip) bool {
	lacksLimits, lacksDraining := n.mergeLimits(m), n.mergeDraining(m)
	return lacksLimits || lacksDraining
}

func (n *Node) mergeDraining(m *wire.Gossip) bool {
	in := wire.Draining{}
	if m.Draining != nil {
		in = *m.Draining
	}
	updates := make([]signal.DrainingUpdate, 0, len(in.Updates))
	for _, u := range in.Updates {
		updates = append(updates, signal.DrainingUpdate{Endpoint: u.Endpoint, Age: time.Duration(u.Age) * time.Millisecond})
	}
	now := time.Now()
	n.signals.mu.Lock()
	added := n.signals.registry.Draining().Merge(now, updates)
	lacks := n.signals.registry.Draining().Differs(now, m.Node, in.Sum)
	n.signals.mu.Unlock()
	n.drainingChanged(sourcePeer, added...)
	return lacks
}

func (n *Node) mergeLimits(m *wire.Gossip) bool {
	in := wire.RateLimits{}
	if m.RateLimits != nil {
		in = *m.RateLimits
	}
	updates := make([]signal.LimitUpdate, 0, len(in.Updates))
	for _, u := range in.Updates {
		update := signal.LimitUpdate{Endpoint: u.Endpoint, Age: time.Duration(u.Age) * time.Millisecond}
		if u.Bounded {
			rate, err := intake.RateOf(u.PerSecond)
			if err != nil {
				n.log.Warn(eventMessageNotExpected, zap.String("node", m.Node), zap.Error(err))
				continue
			}
			update.Rate = rate
		}
		updates = append(updates, update)
	}
	now := time.Now()
	n.signals.mu.Lock()
	changes := n.signals.registry.Limits().Merge(now, updates)
	lacks := n.signals.registry.Limits().Differs(now, m.Node, in.Sum)
	n.signals.mu.Unlock()
	n.limitsChanged(sourcePeer, changes...)
	return lacks
}
