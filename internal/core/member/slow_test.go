package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gradetiller.example/internal/wire"
)

// slowNetwork runs members in one goroutine, on links of limited bandwidth and processors
// of limited speed, both of which queue messages. Some messages are lost.
type slowNetwork struct {
	t        testing.TB
	now      time.Time
	rand     *rand.Rand
	nodes    []*slowNode
	byName   map[string]*slowNode
	queue    eventQueue
	lossRate float64
	// sentBytes counts the bytes of all messages.
	sentBytes int
}

type slowNode struct {
	*Node
	name     string
	capacity int
	// startsAt is when the process starts. inFreeAt, outFreeAt and cpuFreeAt are when its
	// link, in each direction, and its processor finish their queued work.
	startsAt  time.Time
	inFreeAt  time.Time
	outFreeAt time.Time
	cpuFreeAt time.Time
}

// Costs of one message on an instance of one whole core, from benchmarks: decoding and
// merging 32 records took 62 µs, a listing of 295 members 267 µs. A link carries
// bytesPerCore for the same share of a core. The present small instances have 0.192 cores
// and 2.5 MB/s.
const (
	messageCost   = 60 * time.Microsecond
	recordCost    = 2 * time.Microsecond
	listedCost    = time.Microsecond
	bytesPerCore  = 13_000_000
	frameOverhead = 100
	latency       = 900 * time.Microsecond
)

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

const (
	smallCapacity = 192
	largeCapacity = 800
)

// newSlowNetwork starts nodes within 0.3 s in random order, every largeEvery-th of them
// large. They know three small ones as seeds.
func newSlowNetwork(t testing.TB, seed uint64, size, largeEvery int) *slowNetwork {
	w := &slowNetwork{t: t, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 7)), byName: make(map[string]*slowNode), lossRate: 0.005}
	var seeds []Seed
	for i := range 3 {
		seeds = append(seeds, Seed{Node: nodeName(i), Address: address(i)})
	}
	for i := range size {
		n := &slowNode{name: nodeName(i), capacity: smallCapacity}
		if i%largeEvery == largeEvery-1 {
			n.capacity = largeCapacity
		}
		m := wire.Member{Node: n.name, Incarnation: 1, Address: address(i), Domain: fmt.Sprint("domain-", i%6), Region: "region-0"}
		n.Node = New(m, seed+uint64(i))
		n.SetSeeds(seeds)
		n.SetEntries([]wire.Entry{{Node: n.name, Incarnation: 1, Address: address(i), PeerAddress: address(i), Domain: m.Domain, Region: m.Region, Capacity: n.capacity}})
		n.startsAt = w.now.Add(time.Duration(w.rand.Int64N(int64(300 * time.Millisecond))))
		n.cpuFreeAt = n.startsAt
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
		w.schedule(n.startsAt, func() { w.tick(n) })
	}
	return w
}

func (w *slowNetwork) schedule(at time.Time, do func()) { heap.Push(&w.queue, event{at, do}) }

// tick runs a node's Tick as the production caller does, and greets the seeds while it
// knows no other node.
func (w *slowNetwork) tick(n *slowNode) {
	w.compute(n, messageCost)
	messages := n.Tick(w.now)
	messages = append(messages, n.JoinAlone(w.now)...)
	w.send(n, messages)
	w.schedule(w.now.Add(FlushInterval), func() { w.tick(n) })
}

// compute occupies a node's processor and returns when it is done.
func (w *slowNetwork) compute(n *slowNode, whole time.Duration) time.Time {
	if n.cpuFreeAt.Before(w.now) {
		n.cpuFreeAt = w.now
	}
	n.cpuFreeAt = n.cpuFreeAt.Add(time.Duration(float64(whole) * 1000 / float64(n.capacity)))
	return n.cpuFreeAt
}

func (w *slowNetwork) send(from *slowNode, messages []Message) {
	for _, s := range messages {
		to := w.byName[s.Node]
		frame, err := wire.Append(nil, s.Gossip)
		if err != nil {
			w.t.Fatal(err)
		}
		lost := to == nil || w.rand.Float64() < w.lossRate
		bytes := len(frame) + frameOverhead
		w.sentBytes += bytes
		w.schedule(w.compute(from, messageCost), func() {
			sent := w.transmit(from, &from.outFreeAt, bytes)
			if lost {
				return
			}
			w.schedule(sent.Add(latency), func() {
				w.schedule(w.transmit(to, &to.inFreeAt, bytes), func() { w.receive(to, s.Gossip) })
			})
		})
	}
}

// transmit sends some bytes in one direction of a node's link, and returns when it is done.
// busy is when the link has finished its earlier transfers.
func (w *slowNetwork) transmit(n *slowNode, busy *time.Time, bytes int) time.Time {
	if busy.Before(w.now) {
		*busy = w.now
	}
	*busy = busy.Add(time.Duration(float64(bytes) / (bytesPerCore * float64(n.capacity) / 1000) * float64(time.Second)))
	return *busy
}

func (w *slowNetwork) receive(n *slowNode, g wire.Gossip) {
	if w.now.Before(n.startsAt) {
		return
	}
	cost := messageCost + time.Duration(len(g.Members))*recordCost + time.Duration(len(g.Listing))*listedCost
	w.schedule(w.compute(n, cost), func() {
		w.send(n, n.Receive(w.now, g))
	})
}

// runUntil processes events until the condition holds, and returns how long that took.
func (w *slowNetwork) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := w.now
	checked := w.now
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		if w.now.Sub(checked) < 10*time.Millisecond {
			continue
		}
		checked = w.now
		if condition() {
			return w.now.Sub(start), true
		}
		if w.now.Sub(start) > limit {
			break
		}
	}
	return w.now.Sub(start), false
}

// allKnowLarge reports whether every node knows all large ones, which lead and read.
func (w *slowNetwork) allKnowLarge() bool {
	want := 0
	for _, n := range w.nodes {
		if n.capacity == largeCapacity {
			want++
		}
	}
	for _, n := range w.nodes {
		known := 0
		for _, e := range n.Entries() {
			if e.Capacity == largeCapacity {
				known++
			}
		}
		if known < want {
			return false
		}
	}
	return true
}

// TestAllStartOnSmallLinks starts nodes at once, most of them with small processors and
// links, including the seeds. It guards against starts that slow down with the system's
// size: all nodes must soon know those that lead and read, and hundreds of nodes not much
// later than dozens.
func TestAllStartOnSmallLinks(t *testing.T) {
	for _, c := range []struct {
		nodes int
		limit time.Duration
	}{{32, 700 * time.Millisecond}, {100, 900 * time.Millisecond}, {295, 1700 * time.Millisecond}} {
		for seed := range uint64(3) {
			w := newSlowNetwork(t, seed, c.nodes, 16)
			took, ok := w.runUntil(10*time.Second, w.allKnowLarge)
			if !ok || took > c.limit {
				t.Errorf("%d nodes, seed %d: not all know the large ones after %v", c.nodes, seed, took)
			}
			t.Logf("%d nodes, seed %d: %v", c.nodes, seed, took)
		}
	}
}

// TestStartCostPerMember starts nodes at once and counts what they send until they know each other. It
// guards against a start whose messages grow faster than each node's learning of each other, and
// against nodes, above all the seeds, that fall behind.
func TestStartCostPerMember(t *testing.T) {
	// A record takes some 130 bytes, and reaches a node a few times.
	const maxBytesPerRecord = 1000
	for _, nodes := range []int{100, 295} {
		w := newSlowNetwork(t, 1, nodes, 16)
		behind := time.Duration(0)
		w.runUntil(6*time.Second, func() bool {
			known := true
			for _, n := range w.nodes {
				behind = max(behind, n.inFreeAt.Sub(w.now), n.outFreeAt.Sub(w.now), n.cpuFreeAt.Sub(w.now))
				known = known && n.LiveCount() == nodes
			}
			return known
		})
		perRecord := w.sentBytes / (nodes * nodes)
		t.Logf("%d nodes: %d bytes for each member that a node learned of, at most %v behind", nodes, perRecord, behind)
		if perRecord > maxBytesPerRecord {
			t.Errorf("%d nodes: %d bytes for each member that a node learned of, want at most %d", nodes, perRecord, maxBytesPerRecord)
		}
		if behind > 500*time.Millisecond {
			t.Errorf("%d nodes: a node was %v behind", nodes, behind)
		}
	}
}
