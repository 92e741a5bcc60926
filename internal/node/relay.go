package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/membudget"
	"gradetiller.example/internal/core/reach"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

const (
	// relayTimeout bounds the time for other nodes to connect to an endpoint, and relayDialTimeout
	// that for one of them. A connection takes a few round trips.
	relayTimeout     = time.Second
	relayDialTimeout = 400 * time.Millisecond
	// relayStagger is how long a node may take before the next one is asked as well, and maxPendingRelays
	// how many are asked at a time. An endpoint that has lost power is silent to all nodes, each of
	// which tries to connect as often as it is asked.
	relayStagger     = 100 * time.Millisecond
	maxPendingRelays = 2
	// minNoPaths is how many other nodes must fail to reach an endpoint for it to be gone.
	minNoPaths = 2
	// relayBytes is the memory that a relayed connection takes: a buffer for each direction, and
	// one for frames.
	relayBytes = 64 << 10
	// relayDescriptorShare is the share of the file descriptors that relayed connections may take.
	// Each takes two.
	relayDescriptorShare = 0.25
)

// errNoRelay means that no other node could connect to an endpoint either.
var errNoRelay = errors.New("no other node reaches the endpoint")

// relayAnswer is how a node answered when it was asked to relay.
type relayAnswer int

const (
	relayConnected relayAnswer = iota
	// relayNoPath means that the node can't reach the endpoint either.
	relayNoPath
	// relayUnavailable means that the node did not answer, or does not relay now.
	relayUnavailable
	// relayIncapable means that the node is of a version that does not relay.
	relayIncapable
)

// String returns the name of the answer as used in logs and metrics.
func (a relayAnswer) String() string {
	return [...]string{"connected", "no_path", "unavailable", "incapable"}[a]
}

// relayedConn is a connection to an endpoint through another node. It implements
// platform.RelayedConn.
type relayedConn struct {
	*peer.Tunnel
	node, address string
}

// Relay implements platform.RelayedConn.
func (c *relayedConn) Relay() string { return c.address }

// DialOnce implements platform.Dialer. It connects directly or through another node, whichever is
// faster.
func (n *Node) DialOnce(ctx context.Context, endpoint, address string) (net.Conn, error) {
	to, r := n.beginRoute(endpoint)
	if !r.Relay {
		return n.dialRecorded(ctx, endpoint, address)
	}
	race := newDialRace()
	if r.Direct {
		// The attempt goes on after another way was faster, since its outcome shows whether the path
		// works.
		race.start(true, func() (net.Conn, error) { return n.dialRecorded(context.WithoutCancel(ctx), endpoint, address) })
	}
	askRelays := func() {
		race.start(false, func() (net.Conn, error) { return n.dialThroughRelay(ctx, to) })
	}
	conn, err := race.await(ctx, r.RelayAfter, askRelays)
	if race.slow {
		n.recordPath(endpoint, reach.Slow)
	}
	return conn, err
}

// dialed is the outcome of one way to connect to an endpoint.
type dialed struct {
	conn   net.Conn
	err    error
	direct bool
}

// dialRace connects to an endpoint in two ways and takes the faster one.
type dialRace struct {
	// results has room for both ways, so that the slower one ends without a reader.
	results chan dialed
	pending int
	// slow is true if the direct way took so long that the other one was started, and was not the
	// faster one.
	slow bool
}

func newDialRace() *dialRace { return &dialRace{results: make(chan dialed, 2)} }

// start starts one way.
func (r *dialRace) start(direct bool, dial func() (net.Conn, error)) {
	r.pending++
	go func() {
		conn, err := dial()
		r.results <- dialed{conn: conn, err: err, direct: direct}
	}()
}

// await returns the first connection. It calls startOther to start the other way, once, when the direct
// one has failed or has taken as long as given. If both fail, the error is that of the direct one.
func (r *dialRace) await(ctx context.Context, after time.Duration, startOther func()) (net.Conn, error) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	startOnce := sync.OnceFunc(startOther)
	var failure error
	for {
		select {
		case <-timer.C:
			r.slow = after > 0
			startOnce()
		case d := <-r.results:
			r.pending--
			if d.err == nil {
				r.slow = r.slow && !d.direct
				go r.closeSlower(r.pending)
				return d.conn, nil
			}
			if d.direct {
				startOnce()
			}
			if d.direct || failure == nil {
				failure = d.err
			}
			if r.pending == 0 {
				return nil, failure
			}
		case <-ctx.Done():
			go r.closeSlower(r.pending)
			return nil, ctx.Err()
		}
	}
}

// closeSlower closes the connections of the ways that are still pending.
func (r *dialRace) closeSlower(pending int) {
	for range pending {
		if d := <-r.results; d.err == nil {
			_ = d.conn.Close()
		}
	}
}

// dialThroughRelay opens a connection to an endpoint through another node.
func (n *Node) dialThroughRelay(ctx context.Context, to reach.Target) (net.Conn, error) {
	conn, answer := n.askRelays(ctx, to)
	if answer != relayConnected {
		return nil, errNoRelay
	}
	return conn, nil
}

// askedRelay is the answer of one node.
type askedRelay struct {
	node   string
	conn   *relayedConn
	answer relayAnswer
}

// askRelays asks other nodes, one after the other, to connect to an endpoint. If none does, the
// answer is relayNoPath if nodes whose paths to others work can't reach the endpoint, so that it is
// gone, and otherwise relayUnavailable.
func (n *Node) askRelays(ctx context.Context, to reach.Target) (*relayedConn, relayAnswer) {
	candidates := n.paths.candidates(time.Now(), to.Service, n.entries.Load())
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answers := make(chan askedRelay, len(candidates))
	pending := make(map[string]bool, len(candidates))
	ask := func() {
		if len(candidates) == 0 {
			return
		}
		e := candidates[0]
		candidates = candidates[1:]
		pending[e.Node] = true
		go func() {
			a := askedRelay{node: e.Node, answer: relayUnavailable}
			_ = n.contain(taskRelay, e.Node, func() error {
				a = n.askRelay(ctx, e, to.Endpoint)
				return nil
			})
			answers <- a
		}()
	}
	stagger := time.NewTicker(relayStagger)
	defer stagger.Stop()
	noPaths := 0
	for ask(); len(pending) > 0 && noPaths < minNoPaths; {
		select {
		case a := <-answers:
			delete(pending, a.node)
			n.recordAsked(to, a)
			if a.answer == relayConnected {
				go closeUnused(answers, len(pending))
				return a.conn, relayConnected
			}
			if a.answer == relayNoPath {
				noPaths++
			}
			ask()
		case <-stagger.C:
			if len(pending) < maxPendingRelays {
				ask()
			}
		case <-ctx.Done():
			go closeUnused(answers, len(pending))
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				for node := range pending {
					n.paths.recordAsked(time.Now(), node, to.Service, relayUnavailable)
				}
			}
			return nil, relayUnavailable
		}
	}
	go closeUnused(answers, len(pending))
	if noPaths == 0 {
		return nil, relayUnavailable
	}
	n.paths.recordRelay(time.Now(), to, false)
	return nil, relayNoPath
}

func closeUnused(answers <-chan askedRelay, pending int) {
	for range pending {
		if a := <-answers; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}

// recordAsked records the answer of a node that was asked to relay.
func (n *Node) recordAsked(to reach.Target, a askedRelay) {
	now := time.Now()
	n.meters.askedRelay(to.Service, a.answer)
	n.paths.recordAsked(now, a.node, to.Service, a.answer)
	if a.answer == relayConnected && n.paths.recordRelay(now, to, true) {
		// It was ejected because of calls that broke when the path was lost.
		n.pools.readmit(to.Endpoint)
		if n.paths.silentHere(to) {
			n.workers.CancelDirect(to.Endpoint)
		}
		n.log.Info(eventRelayed, zap.String("endpoint", to.Endpoint), zap.String("service", to.Service), zap.String("node", a.node))
	}
}

// askRelay asks a node to connect to an endpoint.
func (n *Node) askRelay(ctx context.Context, e wire.Entry, endpoint string) askedRelay {
	a := askedRelay{node: e.Node, answer: relayUnavailable}
	conn, err := peer.Dial(ctx, e.PeerAddress, n.hello(), &peer.Security{})
	if err != nil {
		return a
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	a.answer = requestRelay(conn, endpoint)
	if a.answer != relayConnected || !stop() {
		_ = conn.Close()
		if a.answer == relayConnected {
			a.answer = relayUnavailable
		}
		return a
	}
	a.conn = &relayedConn{Tunnel: peer.NewTunnel(conn), node: e.Node, address: e.PeerAddress}
	return a
}

// requestRelay asks the node at the other end of a connection to relay.
func requestRelay(conn *peer.Conn, endpoint string) relayAnswer {
	if !conn.Hello().Knows(wire.RelayOpen{}) {
		return relayIncapable
	}
	if conn.Send(wire.RelayOpen{Endpoint: endpoint}) != nil {
		return relayUnavailable
	}
	m, err := conn.Receive()
	if err != nil {
		return relayUnavailable
	}
	opened, ok := m.(*wire.RelayOpened)
	switch {
	case !ok:
		return relayUnavailable
	case opened.Result == wire.RelayConnected:
		return relayConnected
	case opened.Result == wire.RelayNoPath:
		return relayNoPath
	}
	return relayUnavailable
}

// serveRelay connects to an endpoint for another node and relays until either side ends.
func (n *Node) serveRelay(c *peer.Conn, m *wire.RelayOpen) {
	// A stopping node relays to the end what it has begun.
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	open := n.relaysOpen.Add(1)
	defer n.relaysOpen.Add(-1)
	buffers := n.memory.Reservation(membudget.Relays)
	if !buffers.TryGrow(relayBytes) {
		n.answerRelay(c, m, wire.RelayUnavailable)
		return
	}
	defer buffers.Release()
	if most := n.maxRelays(); most > 0 && open > most {
		n.answerRelay(c, m, wire.RelayUnavailable)
		return
	}
	conn, result := n.connectForRelay(m.Endpoint)
	if !n.answerRelay(c, m, result) {
		if conn != nil {
			_ = conn.Close()
		}
		return
	}
	peer.NewTunnel(c).Relay(conn)
}

// maxRelays returns how many connections this node relays at a time, or 0 for no bound.
func (n *Node) maxRelays() int64 {
	return int64(relayDescriptorShare * float64(n.settings.MaxFileDescriptors) / 2)
}

// answerRelay answers a node that asked for a relay, and reports whether the connection is open.
func (n *Node) answerRelay(c *peer.Conn, m *wire.RelayOpen, result wire.RelayResult) bool {
	n.meters.relayed(result)
	if result != wire.RelayConnected {
		n.log.Debug(eventRelayRefused, zap.String("endpoint", m.Endpoint), zap.String("node", c.Hello().Node), zap.Stringer("result", result))
	}
	return c.Send(wire.RelayOpened{Result: result}) == nil && result == wire.RelayConnected
}

// connectForRelay opens a direct connection to an endpoint for another node. It never asks a further
// node, so that nodes don't relay in circles.
func (n *Node) connectForRelay(endpoint string) (net.Conn, wire.RelayResult) {
	v := n.view.Load()
	e, ok := v.endpoints.Get(endpoint)
	if !ok || n.stopping() || !v.evacuations.AcceptsWork(*e) || n.checkSignals(endpoint) != nil {
		return nil, wire.RelayUnavailable
	}
	to := reach.Target{Endpoint: endpoint, Service: e.Service}
	if n.paths.recentlyLost(time.Now(), to) {
		return nil, n.noPathResult(to)
	}
	n.paths.begin(time.Now(), to)
	ctx, cancel := context.WithTimeout(n.requestContext, relayDialTimeout)
	defer cancel()
	conn, err := n.dialRecorded(ctx, endpoint, e.Address)
	if err != nil {
		return nil, n.noPathResult(to)
	}
	return conn, wire.RelayConnected
}

// noPathResult returns what this node answers if it can't reach an endpoint: nothing can be concluded
// about the endpoint if this node has lost most of its paths.
func (n *Node) noPathResult(to reach.Target) wire.RelayResult {
	if n.paths.trusted(to) {
		return wire.RelayNoPath
	}
	return wire.RelayUnavailable
}

// reportBackoff tells the node that relayed an answer that its endpoint asked for a backoff.
func (n *Node) reportBackoff(relay, endpoint string, left time.Duration) {
	n.links.Send(relay, wire.RelayBackoff{Endpoint: endpoint, Remaining: left.Milliseconds()})
}

// handleRelayBackoff applies a backoff that an endpoint asked for in an answer that this node relayed.
func (n *Node) handleRelayBackoff(m *wire.RelayBackoff) {
	n.applySignals(m.Endpoint, signal.Signals{Backoff: clamp.Milliseconds(m.Remaining)})
}
