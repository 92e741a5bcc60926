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

// The times of the protocol. Silence, suspicion and one interval together
// stay under 5 s.
const (
	FlushInterval     = 100 * time.Millisecond
	HeartbeatInterval = time.Second
	silence           = 2200 * time.Millisecond
	suspicion         = 1500 * time.Millisecond
	courtesyPeriod    = 3 * time.Second
	probeInterval     = time.Second
	forgetAfter       = 2 * time.Hour
)

// maxRecords bounds the member records of one message.
const maxRecords = 32

// pace is how fast a member tells what it knows.
type pace struct {
	// beat is the time between signs of life to a link.
	beat time.Duration
	// records and listings bound what is sent in one beat to all links.
	records  int
	listings int
	// mismatches is after how many beats with another view the link is sent a
	// listing, and listingGap how often at most.
	mismatches int
	listingGap time.Duration
}

// usualPace bounds the bytes of a storm. A member that was just started is at
// startPace for startTime: after a loss of all power every member has to learn
// of every other, and until then they don't agree on who leads what.
var (
	usualPace = pace{beat: HeartbeatInterval, records: 192, listings: 2, mismatches: 3, listingGap: 5 * time.Second}
	startPace = pace{beat: 200 * time.Millisecond, records: 1024, listings: 8, mismatches: 1, listingGap: 400 * time.Millisecond}
)

const startTime = 4 * time.Second

// Message asks the shell to send a message to a node. Without an address it
// answers the message that was just received.
type Message struct {
	Node    string
	Address string
	Gossip  wire.Gossip
}

// Seed is an instance of the platform's list.
type Seed struct {
	Node    string
	Address string
}

// Node is one member's view. It is not safe for concurrent use.
type Node struct {
	self      wire.Member
	config    uint64
	list      uint64
	records   map[string]*record
	endpoints map[endpointKey]wire.Endpoint
	links     map[string]*link
	seeds     []Seed
	rand      *rand.Rand

	ring      []string // names of the live members in ring order
	ringStale bool
	hash      uint64
	started   time.Time // the first tick
	nextBeat  time.Time
	nextProbe time.Time
	pace      pace
	// mostCapacity is that of the largest member ever heard of.
	mostCapacity int
	allowance    int // records left in this beat
	listings     int // listings left in this beat
	// higher and higherList are the nodes that have told a higher version of the
	// configuration, or revision of the list of endpoints, than this one's.
	higher     map[string]uint64
	higherList map[string]uint64
	changed    bool
}

type record struct {
	m       wire.Member
	since   time.Time // when the state was taken
	watched time.Time // when this node last heard from it, or began to watch
}

type endpointKey struct{ pool, name string }

// link is what this node owes a peer.
type link struct {
	address    string
	neighbor   bool
	lastIn     time.Time
	self       bool // the own record is owed; it is sent at once
	members    owed
	endpoints  []endpointKey
	mismatches int
	listed     time.Time
	wantBeat   bool
}

// New returns a view that holds only the node itself.
func New(self wire.Member, seed uint64) *Node {
	self.Seq = 1
	n := &Node{
		self:      self,
		records:   make(map[string]*record),
		endpoints: make(map[endpointKey]wire.Endpoint),
		links:     make(map[string]*link),
		rand:      rand.New(rand.NewPCG(seed, self.Incarnation)),
		higher:    make(map[string]uint64), higherList: make(map[string]uint64),
		ringStale: true,
		allowance: startPace.records,
	}
	n.hash = recordHash(self)
	n.mostCapacity = capacityOf(self)
	return n
}

// Self returns the node's own record.
func (n *Node) Self() wire.Member { return n.self }

// SetSeeds gives the platform's list of instances.
func (n *Node) SetSeeds(list []Seed) { n.seeds = list }

// SetConfigVersion tells the version of the configuration in force here.
func (n *Node) SetConfigVersion(v uint64) {
	if v == n.config {
		return
	}
	n.config = v
	n.RequestHeartbeat()
}

// SetListRevision tells the revision of the list of endpoints in force here, with the
// next beats, or at once when others may not hear of it soon.
func (n *Node) SetListRevision(v uint64, atOnce bool) {
	n.list = v
	if atOnce {
		n.RequestHeartbeat()
	}
}

// RequestHeartbeat has the next tick send a beat on each link.
func (n *Node) RequestHeartbeat() {
	for _, l := range n.links {
		l.wantBeat = true
	}
}

// NewerConfig returns a node that is known to have a configuration above
// this one's, and its version.
func (n *Node) NewerConfig() (node string, version uint64) { return highest(n.higher, n.config) }

// NewerList returns a node that is known to have a list of endpoints of a revision
// above this one's, and that revision.
func (n *Node) NewerList() (node string, revision uint64) { return highest(n.higherList, n.list) }

// highest returns the node that told the highest version, if it is above one's own.
func highest(told map[string]uint64, own uint64) (node string, version uint64) {
	for name, v := range told {
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
	n.mostCapacity = max(n.mostCapacity, capacityOf(n.self))
	n.renewSelf()
}

// Leave marks this node as left; the shell sends what Tick returns and stops.
func (n *Node) Leave() {
	n.self.State = wire.Left
	n.renewSelf()
}

// renewSelf raises the sequence number and spreads the own record.
func (n *Node) renewSelf() {
	n.hash ^= recordHash(n.self)
	n.self.Seq++
	n.hash ^= recordHash(n.self)
	n.changed = true
	for _, l := range n.links {
		l.self = true
	}
}

// SetEndpoint tells what this node found out about an endpoint.
func (n *Node) SetEndpoint(e wire.Endpoint) {
	key := endpointKey{e.Pool, e.Name}
	known, ok := n.endpoints[key]
	if ok && known.Leaving == e.Leaving || !ok && !e.Leaving {
		return
	}
	e.Seq = known.Seq + 1
	n.takeEndpoint(e, "")
}

func (n *Node) takeEndpoint(e wire.Endpoint, from string) {
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

// PollChanged reports whether members, entries or endpoints changed since the
// last call.
func (n *Node) PollChanged() bool {
	c := n.changed
	n.changed = false
	return c
}

// Members returns all records, the node's own among them, by name.
func (n *Node) Members() []wire.Member {
	list := []wire.Member{n.self}
	for _, r := range n.records {
		list = append(list, r.m)
	}
	slices.SortFunc(list, func(a, b wire.Member) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// LiveCount returns the number of members that are alive or suspect, itself
// included.
func (n *Node) LiveCount() int {
	n.rebuildRing()
	return len(n.ring)
}

// Entries returns the entries of all live members. An entry that two members
// claim counts with its latest incarnation, and as leaving if either says so.
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

// recordHash is a record's part of the view's hash; ended members have none,
// because nodes forget them at different times.
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

func ended(s wire.State) bool { return s == wire.Dead || s == wire.Left }

// rebuildRing orders the live members by the hash of their names.
func (n *Node) rebuildRing() {
	if !n.ringStale {
		return
	}
	n.ringStale = false
	n.ring = n.ring[:0]
	if !ended(n.self.State) {
		n.ring = append(n.ring, n.self.Node)
	}
	for name, r := range n.records {
		if !ended(r.m.State) {
			n.ring = append(n.ring, name)
		}
	}
	slices.SortFunc(n.ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash.Of(a), hash.Of(b)), cmp.Compare(a, b))
	})
}

// neighbors returns the members at distances 1, 2, √n and n^¾ on both sides.
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
		return r.m.Address
	}
	return ""
}

// HasLiveAddress reports whether a member that is alive or suspect has the address.
func (n *Node) HasLiveAddress(address string) bool {
	for _, r := range n.records {
		if r.m.Address == address && !ended(r.m.State) {
			return true
		}
	}
	return false
}
