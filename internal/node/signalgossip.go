package node

import (
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/wire"
)

const (
	// maxUpdates bounds the updates of each kind in one message, to about 6 kB.
	maxUpdates = 128
	// gossipInterval is the minimum interval between updates to all neighbors. Without it,
	// endpoints whose signals flap would keep all nodes sending.
	gossipInterval = 300 * time.Millisecond
)

// Values of the log key "source" for signal changes that don't come from a peer.
const (
	sourceEndpoint = "endpoint"
	sourceAge      = "age"
)

// limitsChanged applies changed rate limits and schedules them for gossip.
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

// expireSignals removes expired signals, and reports whether an update must be sent to all neighbors
// now.
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

// appendSignals adds to a message the checksums and the updates that its receiver may not have.
func (n *Node) appendSignals(to string, m wire.Gossip) wire.Gossip {
	s := n.signals
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.registry.Limits()
	out := wire.RateLimits{Sum: limits.Checksum()}
	for _, u := range limits.NextUpdates(time.Now(), to, maxUpdates) {
		out.Updates = append(out.Updates, wire.RateLimit{Endpoint: u.Endpoint, Bounded: u.Rate.Bounded(), PerSecond: u.Rate.PerSecond(), Age: u.Age.Milliseconds()})
	}
	if out.Sum != 0 || len(out.Updates) > 0 {
		m.RateLimits = &out
	}
	draining := wire.Draining{Sum: s.registry.Draining().Checksum()}
	for _, u := range s.registry.Draining().NextUpdates(time.Now(), to, maxUpdates) {
		draining.Updates = append(draining.Updates, wire.DrainingEndpoint{Endpoint: u.Endpoint, Age: u.Age.Milliseconds()})
	}
	if draining.Sum != 0 || len(draining.Updates) > 0 {
		m.Draining = &draining
	}
	return m
}

// mergeSignals applies the updates of a peer, and reports whether there are updates for the peer.
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
		updates = append(updates, signal.DrainingUpdate{Endpoint: u.Endpoint, Age: clamp.Milliseconds(u.Age)})
	}
	now := time.Now()
	n.signals.mu.Lock()
	added := n.signals.registry.Draining().Merge(now, updates)
	lacks := n.signals.registry.Draining().NeedsUpdate(now, m.Node, in.Sum)
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
		update := signal.LimitUpdate{Endpoint: u.Endpoint, Age: clamp.Milliseconds(u.Age)}
		if u.Bounded {
			rate, err := intake.NewRate(u.PerSecond)
			if err != nil {
				n.log.Warn(eventUnexpectedMessage, zap.String("node", m.Node), zap.Error(err))
				continue
			}
			update.Rate = rate
		}
		updates = append(updates, update)
	}
	now := time.Now()
	n.signals.mu.Lock()
	changes := n.signals.registry.Limits().Merge(now, updates)
	lacks := n.signals.registry.Limits().NeedsUpdate(now, m.Node, in.Sum)
	n.signals.mu.Unlock()
	n.limitsChanged(sourcePeer, changes...)
	return lacks
}
