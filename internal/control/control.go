package control

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/config"
	"gradetiller.example/internal/core/decisionlog"
	"gradetiller.example/internal/core/lease"
	"gradetiller.example/internal/core/member"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/platform"
	"gradetiller.example/internal/wire"
)

// decisionLogSize is the number of decisions kept in memory for Explain.
const decisionLogSize = 4096

// Identity identifies a control process; it comes from the process settings.
type Identity struct {
	System      string
	Node        string
	Incarnation uint64
	PeerAddress string
	Domain      string
	Region      string
}

// Control is the control path of one instance.
type Control struct {
	id           Identity
	log          *zap.Logger
	table        platform.Table
	objects      platform.Objects
	instances    platform.Instances
	security     *peer.Security
	peers        *peers
	watcher      *watcher
	placement    *placement
	leaseTerm    time.Duration
	entryQueries entryQueries

	mu                sync.Mutex
	member            *member.Node
	decisions         *decisionlog.Ring
	inForce           wire.ConfigFile
	cfg               *config.Config
	entries           map[string]*entryLink
	storeUnavailable  bool
	started           time.Time
	lastConfigRequest time.Time     // when a configuration was last requested from a peer
	changed           chan struct{} // receives a value when entries need a new snapshot
}

// Option sets an optional part of a Control.
type Option func(*Control)

// WithLog sets the logger; the default discards everything.
func WithLog(log *zap.Logger) Option { return func(c *Control) { c.log = log } }

// WithPlatform sets the platform's services.
func WithPlatform(t platform.Table, o platform.Objects, i platform.Instances) Option {
	return func(c *Control) { c.table, c.objects, c.instances = t, o, i }
}

// WithSecurity sets the TLS material for connections between processes.
func WithSecurity(s *peer.Security) Option { return func(c *Control) { c.security = s } }

// WithLeaseTerm sets how long a lease is valid without renewal.
func WithLeaseTerm(d time.Duration) Option { return func(c *Control) { c.leaseTerm = d } }

// New returns a control process that has no configuration yet.
func New(id Identity, opts ...Option) *Control {
	c := &Control{
		id:        id,
		leaseTerm: lease.DefaultTerm,
		started:   time.Now(),
		log:       zap.NewNop(),
		decisions: decisionlog.NewRing(decisionLogSize),
		entries:   make(map[string]*entryLink),
		changed:   make(chan struct{}, 1),
		member: member.New(wire.Member{
			Node: id.Node, Incarnation: id.Incarnation, Address: id.PeerAddress, Domain: id.Domain, Region: id.Region,
		}, id.Incarnation),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.peers = newPeers(c)
	c.watcher = newWatcher(c)
	c.placement = newPlacement(c, c.leaseTerm)
	return c
}

func (c *Control) hello() wire.Hello {
	return wire.Hello{Version: wire.Version, System: c.id.System, Role: wire.RoleControl, Node: c.id.Node, Incarnation: c.id.Incarnation}
}

// leaveGossipTime is how long a stopping process gossips that it has left.
const leaveGossipTime = 300 * time.Millisecond

// Run serves peers and runs the background loops until ctx ends, then gossips
// that this node has left.
func (c *Control) Run(ctx context.Context, l net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wait sync.WaitGroup
	for _, loop := range []func(context.Context){c.gossipLoop, c.configLoop, c.instanceLoop, c.wakeLoop, c.watcher.run} {
		wait.Go(func() { loop(inner) })
	}
	// The placement job stops with ctx, before the other loops: a stopping
	// process must not acquire or renew the lease, because no other process
	// could do the job until that lease expires.
	wait.Go(func() { c.placement.run(ctx) })
	server := peer.NewServer(l, c.hello(), c.security, []wire.Role{wire.RoleEntry, wire.RoleControl}, c.servePeer, c.logRefusedPeer)
	served := make(chan error, 1)
	go func() { served <- server.Serve(inner) }()
	var err error
	select {
	case <-ctx.Done():
		c.leave()
	case err = <-served:
	}
	stop()
	c.peers.close()
	wait.Wait()
	return err
}

func (c *Control) leave() {
	c.mu.Lock()
	c.member.Leave()
	c.mu.Unlock()
	time.Sleep(leaveGossipTime)
}

func (c *Control) logRefusedPeer(err error) {
	c.log.Warn("peer connection refused", zap.Error(err))
}

// servePeer serves one incoming connection according to the peer's role.
func (c *Control) servePeer(conn *peer.Conn) {
	if conn.Hello().Role == wire.RoleEntry {
		c.serveEntry(conn)
		return
	}
	c.serveControl(conn)
}

// gossipLoop sends the membership's pending gossip.
func (c *Control) gossipLoop(ctx context.Context) {
	every(ctx, member.FlushInterval, func() {
		c.mu.Lock()
		sends := c.member.Tick(time.Now())
		changed := c.member.PollChanged()
		c.mu.Unlock()
		c.peers.enqueueAll(sends)
		if changed {
			c.notifyEntries()
		}
		c.requestNewerConfig()
	})
}

// every calls f at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// notifyEntries requests a new snapshot for every connected entry.
func (c *Control) notifyEntries() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// record logs one decision and keeps it for Explain.
func (c *Control) record(name, subject, text string) {
	c.mu.Lock()
	c.decisions.Add(decisionlog.Event{At: time.Now(), Subjects: [3]string{subject}, Name: name, Text: text})
	c.mu.Unlock()
	c.log.Info(name, zap.String("subject", subject), zap.String("text", text))
}
