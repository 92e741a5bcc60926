package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/reach"
	"gradetiller.example/internal/socket"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

// paths holds what this node knows of its paths to the endpoints, and the nodes that it asks to
// relay. It is safe for concurrent use.
type paths struct {
	mu     sync.Mutex
	table  *reach.Table
	relays *reach.Relays
	// logged holds the services whose lost paths were logged, and loggedAt when that last happened.
	logged   map[string]time.Time
	loggedAt time.Time
}

func newPaths(self string) *paths {
	return &paths{table: reach.NewTable(), relays: reach.NewRelays(self), logged: make(map[string]time.Time)}
}

func (p *paths) record(now time.Time, to reach.Target, o reach.Outcome) reach.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Record(now, to, o)
}

func (p *paths) recordRelay(now time.Time, to reach.Target, reached bool) (first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.RecordRelay(now, to, reached)
}

func (p *paths) route(now time.Time, to reach.Target) reach.Route {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Route(now, to)
}

// begin is like route and records a direct attempt if the route has one.
func (p *paths) begin(now time.Time, to reach.Target) reach.Route {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.table.Route(now, to)
	if r.Direct {
		p.table.RecordAttempt(now, to)
	}
	return r
}

// beginCheck records a direct attempt that checks the path to an endpoint, unless one was made just
// before.
func (p *paths) beginCheck(now time.Time, to reach.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.BeginCheck(now, to)
}

func (p *paths) recentlyLost(now time.Time, to reach.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.RecentlyLost(now, to)
}

func (p *paths) lostHere(to reach.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.LostHere(to)
}

func (p *paths) silentHere(to reach.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.SilentHere(to)
}

func (p *paths) trusted(to reach.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Trusted(to)
}

func (p *paths) candidates(now time.Time, service string, entries *[]wire.Entry) []wire.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relays.Candidates(now, service, entries)
}

// recordAsked records how a node answered when it was asked to relay to a service.
func (p *paths) recordAsked(now time.Time, node, service string, a relayAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch a {
	case relayConnected:
		p.relays.RecordWorking(node, service)
	case relayNoPath:
		p.relays.RecordNoPath(now, node, service)
	case relayIncapable:
		p.relays.RecordIncapable(now, node)
	default:
		p.relays.RecordUnavailable(now, node)
	}
}

// lost returns the number of endpoints to which no direct connection can be opened.
func (p *paths) lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.LostCount()
}

// targetOf returns an endpoint with its service, or false if the endpoint is not in the view.
func (n *Node) targetOf(endpoint string) (reach.Target, bool) {
	e, ok := n.view.Load().endpoints.Get(endpoint)
	if !ok {
		return reach.Target{}, false
	}
	return reach.Target{Endpoint: endpoint, Service: e.Service}, true
}

// recordPath records the outcome of opening or using a direct connection to an endpoint.
func (n *Node) recordPath(endpoint string, o reach.Outcome) {
	to, ok := n.targetOf(endpoint)
	if !ok {
		return
	}
	n.paths.record(time.Now(), to, o)
	if o != reach.Answered {
		n.meters.dialed(to.Service, o)
	}
}

// lostHere reports whether this node has lost its path to an endpoint that other nodes reach, so that
// what failed there says nothing about the endpoint.
func (n *Node) lostHere(endpoint string) bool {
	to, ok := n.targetOf(endpoint)
	return ok && n.paths.lostHere(to)
}

// relays reports whether other nodes may be asked to relay.
func (n *Node) relays() bool {
	return !n.disabled.Has(mechanism.Relays) && n.liveNodes.Load() > 1
}

// beginRoute returns how to connect to an endpoint, and records a direct attempt if that is a part of
// it.
func (n *Node) beginRoute(endpoint string) (reach.Target, reach.Route) {
	to, ok := n.targetOf(endpoint)
	if !ok || !n.relays() {
		return to, reach.Route{Reuse: true, Direct: true}
	}
	return to, n.paths.begin(time.Now(), to)
}

// Reusable implements platform.Dialer.
func (n *Node) Reusable(endpoint string) bool {
	to, ok := n.targetOf(endpoint)
	return !ok || !n.relays() || n.paths.route(time.Now(), to).Reuse
}

// DialDirect implements platform.Dialer. It gives a direct attempt as long as other nodes may not be
// asked.
func (n *Node) DialDirect(ctx context.Context, endpoint, address string) (net.Conn, error) {
	_, r := n.beginRoute(endpoint)
	if !r.Relay {
		return n.dialRecorded(ctx, endpoint, address)
	}
	if !r.Direct || !r.Reuse {
		return nil, platform.ErrNoDirectPath
	}
	limited, cancel := context.WithTimeout(ctx, max(r.RelayAfter, minDirectTime))
	defer cancel()
	conn, err := n.dialRecorded(limited, endpoint, address)
	if err != nil && ctx.Err() == nil {
		if limited.Err() != nil {
			n.recordPath(endpoint, reach.Slow)
		}
		return nil, errors.Join(platform.ErrNoDirectPath, err)
	}
	return conn, err
}

// minDirectTime is how long a direct attempt takes at most that is made although the path is lost: an
// answer arrives within a round trip.
const minDirectTime = 20 * time.Millisecond

// dialRecorded opens a direct connection and records the outcome.
func (n *Node) dialRecorded(ctx context.Context, endpoint, address string) (net.Conn, error) {
	started := time.Now()
	conn, err := n.dialDirect(ctx, endpoint, address)
	if o, ok := dialOutcome(err, time.Since(started)); ok {
		n.recordPath(endpoint, o)
	}
	return conn, err
}

// minSilence is how long an attempt to connect that is canceled must have gone unanswered to count
// as silence: far longer than a round trip between regions.
const minSilence = 300 * time.Millisecond

// dialOutcome returns what an attempt to connect shows about the path, or false if it was canceled
// too soon to show anything.
func dialOutcome(err error, took time.Duration) (reach.Outcome, bool) {
	switch {
	case err == nil:
		return reach.Opened, true
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return reach.Refused, true
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return reach.Silent, took >= minSilence
	}
	return reach.Silent, true
}

// pathsLogInterval is how often the lost paths are logged.
const pathsLogInterval = time.Second

// logPaths logs the services to whose endpoints paths are lost, and those to which all paths work
// again.
func (n *Node) logPaths(now time.Time) {
	p := n.paths
	if now.Sub(p.loggedAt) < pathsLogInterval {
		return
	}
	p.loggedAt = now
	v := n.view.Load()
	p.mu.Lock()
	p.table.Retain(func(endpoint string) bool { _, ok := v.endpoints.Get(endpoint); return ok })
	p.relays.Expire(now)
	stats := p.table.Stats()
	p.mu.Unlock()
	lost := make(map[string]time.Time, len(stats))
	for _, s := range stats {
		lost[s.Service] = s.Since
		n.log.Info(eventPathsLost, zap.String("service", s.Service), zap.Int("lost", s.Lost), zap.Int("refused", s.Refused), zap.Int("reached_by_others", s.Relayed),
			zap.Duration("for", now.Sub(s.Since)), zap.Int64("last_used_ms", age(now, s.OpenedAt)), zap.Strings("endpoints", s.Examples))
	}
	for service, since := range p.logged {
		if _, still := lost[service]; !still {
			n.log.Info(eventPathsRestored, zap.String("service", service), zap.Duration("after", now.Sub(since)))
		}
	}
	p.logged = lost
}

// probeEndpoint checks whether an endpoint accepts connections. If it refuses this node, another one is
// asked, since only the path may be lost.
func (n *Node) probeEndpoint(e catalog.Endpoint) socket.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	answer := socket.Probe(ctx, func(ctx context.Context) (net.Conn, error) { return n.dialRecorded(ctx, e.ID, e.Address) })
	if answer == socket.Accepted || !n.relays() {
		return answer
	}
	to := reach.Target{Endpoint: e.ID, Service: e.Service}
	conn, others := n.askRelays(context.Background(), to)
	switch {
	case others == relayConnected:
		_ = conn.Close()
		return socket.Accepted
	case answer == socket.Refused && others != relayNoPath && !n.paths.trusted(to):
		return socket.NoAnswer
	}
	return answer
}

// checkPath checks the path to an endpoint that did not answer, unless it was tried just before. An
// idle connection on which packets vanish shows nothing else.
func (n *Node) checkPath(e catalog.Endpoint) {
	if to, ok := n.targetOf(e.ID); ok && n.relays() && n.paths.beginCheck(time.Now(), to) {
		go n.probeEndpoint(e)
	}
}
