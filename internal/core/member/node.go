package member

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/wire"
)

// Protocol timing. The suspect timeout, the dead timeout and one heartbeat interval
// together stay below 5 s.
const (
	FlushInterval      = 100 * time.Millisecond
	HeartbeatInterval  = time.Second
	suspectTimeout     = 2200 * time.Millisecond
	deadTimeout        = 1500 * time.Millisecond
	inboundLinkTimeout = 3 * time.Second
	probeInterval      = time.Second
	tombstoneTTL       = 2 * time.Hour
)

// maxRecords bounds the member records in one message.
const maxRecords = 32

// pacing limits how fast a member sends its state.
type pacing struct {
	// heartbeat is the interval between heartbeats on a link.
	heartbeat time.Duration
	// records and listings bound what is sent in one heartbeat interval to all links, and listed
	// the members in these listings, beyond a first one.
	records  int
	listings int
	listed   int
	// mismatches is the number of heartbeats with a different view after which the link is
	// sent a listing, and listingInterval the shortest time between two listings.
	mismatches      int
	listingInterval time.Duration
}

// normalPacing bounds the bytes sent while many members change. A member uses startupPacing
// for startupPeriod after its start: after a loss of all power every member has to learn of
// every other, and until then they do not agree on the leaders.
var (
	normalPacing  = pacing{heartbeat: HeartbeatInterval, records: 192, listings: 2, listed: 1000, mismatches: 3, listingInterval: 5 * time.Second}
	startupPacing = pacing{heartbeat: 200 * time.Millisecond, records: 1024, listings: 8, listed: 1000, mismatches: 1, listingInterval: 400 * time.Millisecond}
)

const startupPeriod = 4 * time.Second

// Message is a message that the caller has to send to a node. Without an address it is a
// reply to the message that was just received.
type Message struct {
	Node    string
	Address string
	Gossip  wire.Gossip
}

// Seed is an instance in the platform's list.
type Seed struct {
	Node    string
	Address string
}

// Node is one member's view of the membership. It is not safe for concurrent use.
type Node struct {
	self      wire.Member
	config    uint64
	list      uint64
	records   map[string]*record
	endpoints map[endpointKey]wire.Endpoint
	links     map[string]*link
	seeds     []Seed
	rand      *rand.Rand

	ring          []string // names of the live members in ring order
	ringStale     bool
	hash          uint64
	started       time.Time // the first tick
	nextHeartbeat time.Time
	nextProbe     time.Time
	// nextJoin is when the seeds are greeted again, and joins how often they were.
	nextJoin time.Time
	joins    int
	pacing   pacing
	// maxCapacity is the largest capacity of any member seen.
	maxCapacity   int
	recordBudget  int // records left in this heartbeat interval
	listingBudget int // listings left in this heartbeat interval
	// newerConfigs and newerLists hold the nodes that announced a higher configuration
	// version, or endpoint list revision, than this node's.
	newerConfigs map[string]uint64
	newerLists   map[string]uint64
	changed      bool
}

type record struct {
	member    wire.Member
	since     time.Time // when the present state was recorded
	lastHeard time.Time // when this node last heard from it, or began to monitor it
}

type endpointKey struct{ pool, name string }

// link holds the state of the messages to a peer.
type link struct {
	address  string
	neighbor bool
	// near is true for the neighbors next to this node on the ring.
	near         bool
	lastReceived time.Time
	sendSelf     bool // the own record is pending; it is sent at once
	pending      recordQueue
	endpoints    []endpointKey
	mismatches   int
	lastListing  time.Time
	heartbeatDue bool
}

// New returns a view that holds only the node itself.
func New(self wire.Member, seed uint64) *Node {
	self.Seq = 1
	n := &Node{
		self:         self,
		records:      make(map[string]*record),
		endpoints:    make(map[endpointKey]wire.Endpoint),
		links:        make(map[string]*link),
		rand:         rand.New(rand.NewPCG(seed, self.Incarnation)),
		newerConfigs: make(map[string]uint64), newerLists: make(map[string]uint64),
		ringStale:    true,
		recordBudget: startupPacing.records,
	}
	n.hash = recordHash(self)
	n.maxCapacity = capacityOf(self)
	return n
}

// Self returns the node's own record.
func (n *Node) Self() wire.Member { return n.self }

// SetSeeds sets the platform's list of instances.
func (n *Node) SetSeeds(list []Seed) { n.seeds = list }

// SetConfigVersion announces the configuration version in force at this node.
func (n *Node) SetConfigVersion(v uint64) {
	if v == n.config {
		return
	}
	n.config = v
	n.RequestHeartbeat()
}

// SetListRevision announces the endpoint list revision in force at this node with the next
// heartbeats, or at once if other nodes may otherwise learn of it late.
func (n *Node) SetListRevision(v uint64, atOnce bool) {
	n.list = v
	if atOnce {
		n.RequestHeartbeat()
	}
}

// RequestHeartbeat makes the next tick send a heartbeat on each link.
func (n *Node) RequestHeartbeat() {
	for _, l := range n.links {
		l.heartbeatDue = true
	}
}

// NewerConfig returns a node that announced a configuration newer than this node's, and its
// version.
func (n *Node) NewerConfig() (node string, version uint64) { return highest(n.newerConfigs, n.config) }

// NewerList returns a node that announced an endpoint list newer than this node's, and its
// revision.
func (n *Node) NewerList() (node string, revision uint64) { return highest(n.newerLists, n.list) }

// highest returns the node with the highest announced version, if that is above the own
// one.
func highest(announced map[string]uint64, own uint64) (node string, version uint64) {
	for name, v := range announced {
		if v > version || v == version && name < node {
			node, version = name, v
		}
	}
	if version <= own {
		return "", 0
	}
	return node, version
}

// SetEntries replaces the entries linked to this node.
func (n *Node) SetEntries(entries []wire.Entry) {
	if slices.Equal(n.self.Entries, entries) {
		return
	}
	n.self.Entries = slices.Clone(entries)
	n.maxCapacity = max(n.maxCapacity, capacityOf(n.self))
	n.updateSelf()
}

// Leave marks this node as left. The caller sends the messages of the next Tick and stops.
func (n *Node) Leave() {
	n.self.State = wire.Left
	n.updateSelf()
}

// updateSelf raises the sequence number and queues the own record on all links.
func (n *Node) updateSelf() {
	n.hash ^= recordHash(n.self)
	n.self.Seq++
	n.hash ^= recordHash(n.self)
	n.changed = true
	for _, l := range n.links {
		l.sendSelf = true
	}
}

// SetEndpoint records this node's finding about an endpoint.
func (n *Node) SetEndpoint(e wire.Endpoint) {
	key := endpointKey{e.Pool, e.Name}
	known, ok := n.endpoints[key]
	if ok && known.Leaving == e.Leaving || !ok && !e.Leaving {
		return
	}
	e.Seq = known.Seq + 1
	n.storeEndpoint(e, "")
}

func (n *Node) storeEndpoint(e wire.Endpoint, from string) {
	key := endpointKey{e.Pool, e.Name}
	n.hash ^= endpointHash(n.endpoints[key]) ^ endpointHash(e)
	n.endpoints[key] = e
	n.changed = true
	for name, l := range n.links {
		if name != from && !slices.Contains(l.endpoints, key) {
			l.endpoints = append(l.endpoints, key)
		}
	}
}

// PollChanged reports whether members, entries or endpoints changed since the last call.
func (n *Node) PollChanged() bool {
	c := n.changed
	n.changed = false
	return c
}

// Members returns all records, including the node's own, sorted by name.
func (n *Node) Members() []wire.Member {
	list := []wire.Member{n.self}
	for _, r := range n.records {
		list = append(list, r.member)
	}
	slices.SortFunc(list, func(a, b wire.Member) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// LiveCount returns the number of members that are alive or suspect, including the node
// itself.
func (n *Node) LiveCount() int {
	n.rebuildRing()
	return len(n.ring)
}

// Entries returns the entries of all live members. If two members claim an entry, its
// latest incarnation counts, and it is leaving if either says so.
func (n *Node) Entries() []wire.Entry {
	best := make(map[string]wire.Entry)
	for _, m := range n.Members() {
		if m.State == wire.Dead || m.State == wire.Left {
			continue
		}
		for _, e := range m.Entries {
			known, ok := best[e.Node]
			if ok && (known.Incarnation > e.Incarnation || known.Incarnation == e.Incarnation && known.Leaving) {
				continue
			}
			best[e.Node] = e
		}
	}
	list := make([]wire.Entry, 0, len(best))
	for _, e := range best {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b wire.Entry) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// Endpoints returns all findings about endpoints.
func (n *Node) Endpoints() []wire.Endpoint {
	list := make([]wire.Endpoint, 0, len(n.endpoints))
	for _, e := range n.endpoints {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b wire.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// recordHash returns a record's contribution to the view's hash. Dead members and those
// that left contribute nothing, because nodes forget them at different times.
func recordHash(m wire.Member) uint64 {
	if m.State == wire.Dead || m.State == wire.Left {
		return 0
	}
	h := hash.Of(m.Node) ^ m.Incarnation*0x9e3779b97f4a7c15 ^ m.Seq*0xbf58476d1ce4e5b9 ^ uint64(m.State)<<61
	h ^= h >> 31
	return h * 0x94d049bb133111eb
}

func endpointHash(e wire.Endpoint) uint64 {
	if e.Seq == 0 {
		return 0
	}
	h := hash.Of(e.Pool+"/"+e.Name) ^ e.Seq*0x9e3779b97f4a7c15
	if e.Leaving {
		h ^= 1 << 63
	}
	h ^= h >> 29
	return h * 0xbf58476d1ce4e5b9
}

func isTerminal(s wire.State) bool { return s == wire.Dead || s == wire.Left }

// rebuildRing sorts the live members by the hash of their names.
func (n *Node) rebuildRing() {
	if !n.ringStale {
		return
	}
	n.ringStale = false
	n.ring = n.ring[:0]
	if !isTerminal(n.self.State) {
		n.ring = append(n.ring, n.self.Node)
	}
	for name, r := range n.records {
		if !isTerminal(r.member.State) {
			n.ring = append(n.ring, name)
		}
	}
	slices.SortFunc(n.ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash.Of(a), hash.Of(b)), cmp.Compare(a, b))
	})
}

// neighbors returns the members at distances 1, 2, √n and n^¾ in both directions.
func (n *Node) neighbors() []string {
	n.rebuildRing()
	size := len(n.ring)
	at := slices.Index(n.ring, n.self.Node)
	if at < 0 || size < 2 {
		return nil
	}
	root := math.Sqrt(float64(size))
	distances := []int{1, 2, int(root), int(root * math.Sqrt(root))}
	var names []string
	for _, d := range distances {
		for _, i := range []int{at + d, at - d} {
			name := n.ring[((i%size)+size)%size]
			if name != n.self.Node && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// Address returns the address of a known member, or "".
func (n *Node) Address(name string) string {
	if r, ok := n.records[name]; ok {
		return r.member.Address
	}
	return ""
}

// HasLiveAddress reports whether a member that is alive or suspect has the address.
func (n *Node) HasLiveAddress(address string) bool {
	for _, r := range n.records {
		if r.member.Address == address && !isTerminal(r.member.State) {
			return true
		}
	}
	return false
}
