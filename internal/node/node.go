package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/member"
	"gradetiller.example/internal/core/membudget"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/logging"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/settings"
	"gradetiller.example/internal/socket"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

const (
	// maxLookupTTL bounds how long clients may cache a look-up answer.
	maxLookupTTL   = 2 * time.Second
	headerTimeout  = 3 * time.Second
	idleTimeout    = 40 * time.Second
	maxHeaderBytes = 64 << 10
	// retrySlackShare is the part of the fixed retry allowance that all nodes together use.
	retrySlackShare = 0.5
	// retryRatioShare is the part of the allowed retry ratio that each node uses.
	retryRatioShare = 0.75
)

// Node is the server process of an instance.
type Node struct {
	settings        platform.Settings
	incarnation     uint64
	started         time.Time
	log             *zap.Logger
	store           *platform.Store
	workers         *platform.WorkerClient
	dialDirect      platform.DialFunc
	pools           *pools
	leaders         *leaders
	standbys        *standbys
	submissions     *submissions
	links           *peer.Links
	verdictTimeouts verdictTimeouts
	promptSizes     *promptSizes
	durations       *durations
	memory          *membudget.Budget
	mixes           *lockedMixes
	rollouts        *rollouts
	meters          *meters
	// metricsAddress is the address at which metrics are served. If empty, they are not
	// served.
	metricsAddress string
	// droppedLines returns the number of log lines of a priority that were dropped. It may be
	// nil.
	droppedLines func(logging.Priority) uint64
	// peerAddress is the address at which other nodes reach this one.
	peerAddress string
	// disabled holds the mechanisms that are switched off.
	disabled    mechanism.Disabled
	budget      *lockedBudget
	stageBudget *lockedBudget

	// viewMu serializes changes of view, list and directReads.
	viewMu      sync.Mutex
	view        atomic.Pointer[view]
	list        *discovery.List
	directReads discovery.DirectReads
	// packedList is the last full list that was sent to a peer. It is guarded by viewMu.
	packedList *packedList
	// fullListMu is held while a full list from a peer is applied.
	fullListMu sync.Mutex
	// refusedEntries is used only by the goroutine that reads the endpoint list.
	refusedEntries refusedEntries
	// loggedEvacuationFaults holds the faults of evacuation rows that were logged already. It
	// is used only by the goroutine that reads the configuration.
	loggedEvacuationFaults map[string]bool
	// loggedRolloutFaults is the same for orders of rollouts.
	loggedRolloutFaults map[string]bool

	// poolsMu is held while the pools are updated from a view.
	poolsMu sync.Mutex

	membersMu sync.Mutex
	members   *member.Node
	// entriesBuiltAt is when entries was last built from members.
	entriesBuiltAt time.Time
	entries        atomic.Pointer[[]wire.Entry]
	// ranking determines from entries which nodes read the store.
	ranking   atomic.Pointer[discovery.Ranking]
	liveNodes atomic.Int64
	// share is the rank of this node among all nodes, which determines its share of the
	// endpoints' rates.
	share  atomic.Pointer[nodeShare]
	peakMu sync.Mutex
	peak   intake.Peak
	// contendedUntil is the time since the start until which another leader may send calls to
	// the same endpoints. ratesChanged reports whether the rate at which this node may send
	// to some endpoint has changed.
	contendedUntil atomic.Int64
	ratesChanged   atomic.Bool
	// claimedCells has a bit set for each cell that this node claims to lead.
	claimedCells atomic.Uint64
	// viewRequestedAt and viewRequests are used only by the goroutine that runs
	// tick.
	viewRequestedAt time.Time
	// askedInVain reports whether a peer answered since viewRequestedAt that it has no list.
	askedInVain  atomic.Bool
	viewRequests int
	// stagePacesAt is when the paces of canaries were last refreshed. It is used only by tick.
	stagePacesAt time.Time

	// candidatesChangedAt is the time from the start to the last change of the set of leader
	// candidates, and candidatesHash the hash of that set. hasJoined stays true once the set
	// is considered complete.
	candidatesChangedAt atomic.Int64
	candidatesHash      atomic.Uint64
	hasJoined           atomic.Bool
	// hasCaughtUp stays true once this node has received the newest configuration that other
	// nodes announced.
	hasCaughtUp atomic.Bool

	// storeLost reports for each kind of store call whether the last one failed. readsStore
	// reports whether this node read the store when it last checked.
	storeLost      [storeCallCount]atomic.Bool
	readsStore     atomic.Bool
	configsRefused atomic.Int64
	// keptEndpoints is the number of endpoints whose entries lapsed in the store but that
	// remain in use.
	keptEndpoints atomic.Int64
	poisonGuard   *lockedGuard
	waits         waits
	origins       *origins
	originStore   *originStore
	// originTimeout bounds a search for where a stream began.
	originTimeout time.Duration
	signals       *signals
	brittle       *brittleServices
	paths         *paths
	// relaysOpen is the number of connections that this node relays for others.
	relaysOpen atomic.Int64
	inFlight   atomic.Int64
	// shutdown is the graceful shutdown in progress, or nil.
	shutdown atomic.Pointer[shutdown]
	// requestContext is the base context of all requests. cancelRequests cancels it with a
	// cause.
	requestContext context.Context
	cancelRequests context.CancelCauseFunc
}

// Option configures a node.
type Option func(*Node)

// WithLog sets the logger.
func WithLog(log *zap.Logger) Option { return func(n *Node) { n.log = log } }

// WithDroppedLines exports the number of dropped log lines of each priority as metrics.
func WithDroppedLines(count func(logging.Priority) uint64) Option {
	return func(n *Node) { n.droppedLines = count }
}

// WithMetrics serves metrics at the given address, an IP address and a port.
func WithMetrics(address string) Option { return func(n *Node) { n.metricsAddress = address } }

// WithPeerAddress sets the address that is advertised to other nodes, for environments where
// ports are mapped. By default, or if the address is empty, this is the address that the node
// listens on.
func WithPeerAddress(address string) Option {
	return func(n *Node) {
		if address != "" {
			n.peerAddress = address
		}
	}
}

// Without disables mechanisms, to measure their effect.
func Without(off mechanism.Disabled) Option { return func(n *Node) { n.disabled = off } }

// New returns a node. It serves nothing until Run is called.
func New(s platform.Settings, options ...Option) *Node {
	n := &Node{
		settings: s, incarnation: settings.Incarnation(), started: time.Now(), log: zap.NewNop(),
		submissions: newSubmissions(), origins: newOrigins(), originStore: newOriginStore(), originTimeout: originTimeout, standbys: newStandbys(), durations: newDurations(), memory: membudget.New(int64(heldShare * float64(s.MemoryBytes))), mixes: &lockedMixes{mixes: intake.NewMixes()}, rollouts: newRollouts(), promptSizes: &promptSizes{averages: make(map[string]float64)},
		verdictTimeouts: verdictTimeouts{first: verdictTimeout, afterReconnect: reconnectVerdictTimeout},
		peerAddress:     s.PeerAddress, dialDirect: platform.DialWorker,
	}
	for _, o := range options {
		o(n)
	}
	n.requestContext, n.cancelRequests = context.WithCancelCause(context.Background())
	n.store = platform.NewStore(s.StoreAddress, platform.WithEraErrorHandler(func(err error) { n.log.Warn(eventStoreEra, zap.Error(err)) }))
	n.workers = platform.NewWorkerClient(platform.WithSignalObserver(n.observeSignals), platform.WithSendCheck(n.checkSignals), platform.WithDialer(n), platform.WithMemory(n.memory))
	n.paths = newPaths(s.Node)
	n.brittle = newBrittleServices()
	n.signals = newSignals(hash.Of(s.Node))
	n.pools = newPools(hash.Of(s.Node), modelPolicy, n.ownPace, n.disabled)
	n.pools.slots = n.ownSlots
	n.pools.subset = &endpointSubset{node: hash.Of(s.Node), domain: s.Domain}
	n.budget = n.newBudget()
	n.stageBudget = n.newBudget()
	n.leaders = newLeaders(n.log, n.workers, newPools(hash.Of(s.Node), leaderPolicy, n.leaderPace, n.disabled), func() stagepool.RetryBudget { return n.stageBudget }, n.stagePace, n.disabled)
	n.leaders.modelPools.slots = n.leaderSlots
	n.leaders.brittle = n.brittle.active
	n.poisonGuard = &lockedGuard{guard: poison.NewGuard(s.HeartbeatInterval)}
	n.meters = newMeters(n)
	n.leaders.meters = n.meters
	n.leaders.domains, n.leaders.armOf, n.leaders.tracked = n.domainsOf, n.rollouts.arm, n.trackStageCall
	n.leaders.stageVersions = n.stageVersions
	n.leaders.onBrokenCall = n.recordBrokenStageCall
	n.leaders.checkPath = n.checkPath
	n.leaders.standbyAddress, n.leaders.retries = n.standbyAddress, newStageRetries(n.stageBudget)
	n.leaders.send = func(address string, m wire.Message) { n.links.Send(address, m) }
	n.refusedEntries = refusedEntries{logged: make(map[refusedEntry]bool), faults: make(map[platform.EntryFault]bool)}
	n.view.Store(&view{})
	n.list = discovery.NewList(discovery.WithHeartbeat(s.HeartbeatInterval))
	n.members = member.New(wire.Member{
		Node: s.Node, Incarnation: n.incarnation, Address: n.peerAddress, Domain: s.Domain, Region: s.Region,
		Entries: []wire.Entry{n.entry(false)},
	}, hash.Of(s.Node))
	n.setEntries(n.members.Entries())
	n.links = peer.NewLinks(n.hello(), &peer.Security{}, func(m wire.Message, answer peer.Answer) {
		n.receiveMessage(n.hello(), m, answer)
	}, n.peerLost)
	return n
}

func (n *Node) newBudget() *lockedBudget {
	return &lockedBudget{budget: attempt.NewWindowBudget(retryRatioShare*n.settings.RetryRatio, 1, n.settings.RetryWindow)}
}

// shareBudgets divides the fixed retry allowance by the number of live nodes.
func (n *Node) shareBudgets(live int) {
	allowance := max(1, retrySlackShare*n.settings.RetrySlack/float64(max(live, 2)))
	for _, b := range []*lockedBudget{n.budget, n.stageBudget} {
		b.mu.Lock()
		b.budget.SetAllowance(allowance)
		b.mu.Unlock()
	}
}

func (n *Node) entry(leaving bool) wire.Entry {
	s := n.settings
	return wire.Entry{
		Node: s.Node, Incarnation: n.incarnation, Address: s.FrontAddress, PeerAddress: n.peerAddress,
		Domain: s.Domain, Region: s.Region, Leaving: leaving, Leads: n.claimedCells.Load(), Capacity: s.Millicores,
	}
}

// Run serves requests until ctx is done, then drains and stops.
func (n *Node) Run(ctx context.Context) error {
	f, err := n.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer n.links.Close()
	n.serveMetrics()
	go n.runMembers(background)
	go n.watchConfig(background)
	go n.watchEndpoints(background)
	go n.runOriginStore(background)
	n.log.Info(eventStarted, zap.String("node", n.settings.Node), zap.String("front", n.settings.FrontAddress))
	<-ctx.Done()
	n.drain(f)
	return nil
}

// listen opens all listeners and starts serving them. It returns the front.
func (n *Node) listen() (*front, error) {
	if err := n.listenForPeers(); err != nil {
		return nil, err
	}
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, n.serveReady)
	if _, err := n.serve(n.settings.ReadyAddress, ready); err != nil {
		return nil, err
	}
	lookup := http.NewServeMux()
	lookup.HandleFunc(platform.LookupPath, n.serveLookup)
	if _, err := n.serve(n.settings.DirectoryAddress, lookup); err != nil {
		return nil, err
	}
	return n.serve(n.settings.FrontAddress, http.HandlerFunc(n.serveFront))
}

func (n *Node) listenForPeers() error {
	peers, err := socket.Listen(n.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	server := peer.NewServer(peers, n.hello(), &peer.Security{}, []wire.Role{wire.RoleNode}, n.servePeer, func(err error) {
		n.log.Info(eventPeerRefused, zap.Error(err))
	})
	go func() { _ = server.Serve(context.Background()) }()
	return nil
}

// serve starts an HTTP server at an address. It runs until the process ends.
func (n *Node) serve(address string, handler http.Handler) (*front, error) {
	listener, err := socket.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return n.requestContext },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	go func() { _ = s.Serve(listener) }()
	return &front{server: s, listener: listener}, nil
}

// isReady reports whether the node can serve requests: it has a complete view and is not
// stopping.
func (n *Node) isReady() bool {
	return n.hasCompleteView() && n.joined() && n.caughtUp() && n.liveNodes.Load() > 0 && !n.stopping()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveLookup returns the addresses of the nodes that a client should use. Until this node
// knows the others it answers 503, so that clients ask another node or keep their present
// answer: with this node's address alone, they would all connect to it at once.
func (n *Node) serveLookup(w http.ResponseWriter, r *http.Request) {
	if !n.joined() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	addresses := n.lookupAddresses(platform.ParseLookup(r))
	platform.WriteLookup(w, addresses, min(maxLookupTTL, n.settings.LookupTTL))
}
