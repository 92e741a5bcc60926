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

// storySize is how many decisions a control process remembers.
const storySize = 4096

// Identity is what a control process knows of itself from its settings.
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
	id        Identity
	log       *zap.Logger
	table     platform.Table
	objects   platform.Objects
	instances platform.Instances
	security  *peer.Security
	peers     *peers
	watcher   *watcher
	placement *placement
	term      time.Duration
	stories   stories

	mu        sync.Mutex
	member    *member.Node
	story     *decisionlog.Ring
	inForce   wire.ConfigFile
	cfg       *config.Config
	entries   map[string]*entryLink
	storeAway bool
	started   time.Time
	asked     time.Time // when a peer was last asked for a configuration
	wake      chan struct{}
}

// Option sets an optional part of a Control.
type Option func(*Control)

// WithLog sets the log; the default is silent.
func WithLog(log *zap.Logger) Option { return func(c *Control) { c.log = log } }

// WithPlatform sets the platform's services.
func WithPlatform(t platform.Table, o platform.Objects, i platform.Instances) Option {
	return func(c *Control) { c.table, c.objects, c.instances = t, o, i }
}

// WithSecurity sets the keys for connections between processes.
func WithSecurity(s *peer.Security) Option { return func(c *Control) { c.security = s } }

// WithLeaseTerm sets how long leases last without renewal.
func WithLeaseTerm(d time.Duration) Option { return func(c *Control) { c.term = d } }

// New returns a control process without configuration.
func New(id Identity, opts ...Option) *Control {
	c := &Control{
		id:      id,
		term:    lease.DefaultTerm,
		started: time.Now(),
		log:     zap.NewNop(),
		story:   decisionlog.NewRing(storySize),
		entries: make(map[string]*entryLink),
		wake:    make(chan struct{}, 1),
		member: member.New(wire.Member{
			Node: id.Node, Incarnation: id.Incarnation, Address: id.PeerAddress, Domain: id.Domain, Region: id.Region,
		}, id.Incarnation),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.peers = newPeers(c)
	c.watcher = newWatcher(c)
	c.placement = newPlacement(c, c.term)
	return c
}

func (c *Control) hello() wire.Hello {
	return wire.Hello{Version: wire.Version, System: c.id.System, Role: wire.RoleControl, Node: c.id.Node, Incarnation: c.id.Incarnation}
}

// leaveTime is how long a stopping process spreads that it left.
const leaveTime = 300 * time.Millisecond

// Run serves peers and keeps everything up to date until ctx ends, then tells
// the others that this node left.
func (c *Control) Run(ctx context.Context, l net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wait sync.WaitGroup
	for _, loop := range []func(context.Context){c.flushLoop, c.configLoop, c.instanceLoop, c.snapshotLoop, c.watcher.run} {
		wait.Go(func() { loop(inner) })
	}
	// The job ends with ctx: a process that leaves takes no lease, since it
	// will not be there to do the job.
	wait.Go(func() { c.placement.run(ctx) })
	server := peer.NewServer(l, c.hello(), c.security, []wire.Role{wire.RoleEntry, wire.RoleControl}, c.accept, c.refusedPeer)
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
	time.Sleep(leaveTime)
}

func (c *Control) refusedPeer(err error) {
	c.log.Warn("peer connection refused", zap.Error(err))
}

// accept serves one connection by the peer's role.
func (c *Control) accept(conn *peer.Conn) {
	if conn.Hello().Role == wire.RoleEntry {
		c.serveEntry(conn)
		return
	}
	c.serveControl(conn)
}

// flushLoop sends what the membership has to send.
func (c *Control) flushLoop(ctx context.Context) {
	every(ctx, member.FlushInterval, func() {
		c.mu.Lock()
		sends := c.member.Tick(time.Now())
		changed := c.member.PollChanged()
		c.mu.Unlock()
		c.peers.send(sends)
		if changed {
			c.signal()
		}
		c.fetchFromPeer()
	})
}

// every calls f now and then at each interval until ctx ends.
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

// signal has snapshots sent to the entries.
func (c *Control) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// record keeps one decision for explain, and logs it.
func (c *Control) record(name, subject, text string) {
	c.mu.Lock()
	c.story.Add(decisionlog.Event{At: time.Now(), Subjects: [3]string{subject}, Name: name, Text: text})
	c.mu.Unlock()
	c.log.Info(name, zap.String("subject", subject), zap.String("text", text))
}
