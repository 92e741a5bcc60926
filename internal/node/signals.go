package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/wire"
)

const (
	// maxInvalidSignals bounds the invalid signals that are remembered as logged; further ones
	// are not logged.
	maxInvalidSignals = 256
	// maxUpdates bounds the updates of one message: 6 kB.
	maxUpdates = 128
	// gossipInterval is how often changes are sent to all neighbors at once. Without it,
	// endpoints whose signals come and go would keep all nodes sending.
	gossipInterval = 300 * time.Millisecond
)

// invalidSignal is a signal that can't be parsed, and the endpoint that sent it.
type invalidSignal struct{ endpoint, text string }

// signals guards what endpoints announce, as this node knows it.
type signals struct {
	mu      sync.Mutex
	limits  *signal.Limits
	invalid map[invalidSignal]bool
	// pending is true while a change is to be sent, sentAt when the last one was.
	pending bool
	sentAt  time.Time
}

func newSignals() *signals {
	return &signals{limits: signal.NewLimits(), invalid: make(map[invalidSignal]bool)}
}

// limited returns the number of endpoints with a rate limit.
func (s *signals) limited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Len()
}

// any reports whether any endpoint has, or lately had, a rate limit.
func (s *signals) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.limits.Empty()
}

// bound returns the bound that an endpoint's rate limit sets.
func (s *signals) bound(endpoint string) intake.Bound {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Bound(endpoint)
}

// isNew reports whether an invalid signal is to be logged.
func (s *signals) isNew(i invalidSignal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.invalid[i] || len(s.invalid) >= maxInvalidSignals {
		return false
	}
	s.invalid[i] = true
	return true
}

// membersChanged drops what is kept for nodes that are gone.
func (s *signals) membersChanged(live []wire.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.ForgetPeers(noneOf(live))
}

// observeSignals records the signals of an endpoint's answer.
func (n *Node) observeSignals(endpoint string, s signal.Signals) {
	for _, err := range s.Invalid {
		if n.signals.isNew(invalidSignal{endpoint, err.Error()}) {
			n.log.Warn(eventSignalInvalid, zap.String("endpoint", endpoint), zap.Error(err))
		}
	}
	if !s.Limit.Known {
		return
	}
	if s.Limit.Rate.Bounded() {
		n.meters.observedLimit()
	}
	n.signals.mu.Lock()
	change, changed := n.signals.limits.Observe(time.Now(), endpoint, s.Limit.Rate)
	n.signals.mu.Unlock()
	if changed {
		n.limitsChanged(sourceEndpoint, change)
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
	s := n.signals
	s.mu.Lock()
	ended := s.limits.Expire(now)
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
	out := wire.RateLimits{Sum: s.limits.Sum()}
	for _, u := range s.limits.Updates(time.Now(), to, maxUpdates) {
		out.Updates = append(out.Updates, wire.RateLimit{Endpoint: u.Endpoint, Bounded: u.Rate.Bounded(), PerSecond: u.Rate.PerSecond(), Age: u.Age.Milliseconds()})
	}
	if out.Sum != 0 || len(out.Updates) > 0 {
		m.RateLimits = &out
	}
	return m
}

// mergeSignals applies the updates of another node, and reports whether that node lacks some.
func (n *Node) mergeSignals(m *wire.Gossip) bool {
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
	changes := n.signals.limits.Merge(now, updates)
	lacks := n.signals.limits.Differs(now, m.Node, in.Sum)
	n.signals.mu.Unlock()
	n.limitsChanged(sourcePeer, changes...)
	return lacks
}
