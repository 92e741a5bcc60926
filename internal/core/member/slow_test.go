package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gradetiller.example/internal/wire"
)

// slowNetwork runs members as values in one goroutine, on links of limited
// bandwidth and processors of limited speed, both of which hold messages up in
// turn. Messages are lost now and then.
type slowNetwork struct {
	t     testing.TB
	now   time.Time
	rand  *rand.Rand
	nodes []*slowNode
	byAt  map[string]*slowNode
	queue arrivals
	lost  float64
}

type slowNode struct {
	*Node
	name     string
	capacity int
	// up is when the process starts, in, out and free when its link and its
	// processor are done with what came before.
	up   time.Time
	in   time.Time
	out  time.Time
	free time.Time
}

// Costs of one message on an instance of one whole core, from benchmarks: decoding and
// taking 32 records took 62 µs, a listing of 295 members 267 µs. A link carries
// bytesPerCore for the same share of a core. The small instances of today have 0.192
// cores and 2.5 MB/s.
const (
	perMessage   = 60 * time.Microsecond
	perRecord    = 2 * time.Microsecond
	perListed    = time.Microsecond
	bytesPerCore = 13_000_000
	overhead     = 100
	latency      = 900 * time.Microsecond
)

type arrival struct {
	at time.Time
	do func()
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

const (
	smallCapacity = 192
	largeCapacity = 800
)

// newSlowNetwork starts nodes within 0.3 s in any order, every largeEvery-th of them
// large. They know three small ones as seeds.
func newSlowNetwork(t testing.TB, seed uint64, size, largeEvery int) *slowNetwork {
	w := &slowNetwork{t: t, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 7)), byAt: make(map[string]*slowNode), lost: 0.005}
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
		n.up = w.now.Add(time.Duration(w.rand.Int64N(int64(300 * time.Millisecond))))
		n.free = n.up
		w.nodes = append(w.nodes, n)
		w.byAt[n.name] = n
		w.at(n.up, func() { w.beat(n) })
	}
	return w
}

func (w *slowNetwork) at(at time.Time, do func()) { heap.Push(&w.queue, arrival{at, do}) }

// beat ticks a node as the shell does, and greets the seeds while it knows nobody.
func (w *slowNetwork) beat(n *slowNode) {
	w.work(n, perMessage)
	sends := n.Tick(w.now)
	if n.LiveCount() < 2 {
		sends = append(sends, n.Join()...)
	}
	w.send(n, sends)
	w.at(w.now.Add(FlushInterval), func() { w.beat(n) })
}

// work keeps a node's processor busy and returns when it is done.
func (w *slowNetwork) work(n *slowNode, whole time.Duration) time.Time {
	if n.free.Before(w.now) {
		n.free = w.now
	}
	n.free = n.free.Add(time.Duration(float64(whole) * 1000 / float64(n.capacity)))
	return n.free
}

func (w *slowNetwork) send(from *slowNode, sends []Message) {
	for _, s := range sends {
		to := w.byAt[s.Node]
		frame, err := wire.Append(nil, s.Gossip)
		if err != nil {
			w.t.Fatal(err)
		}
		lost := to == nil || w.rand.Float64() < w.lost
		bytes := len(frame) + overhead
		w.at(w.work(from, perMessage), func() {
			sent := w.transmit(from, &from.out, bytes)
			if lost {
				return
			}
			w.at(sent.Add(latency), func() {
				w.at(w.transmit(to, &to.in, bytes), func() { w.take(to, s.Gossip) })
			})
		})
	}
}

// transmit has one direction of a node's link carry some bytes, and returns when it
// is done. busy is until when it carries others.
func (w *slowNetwork) transmit(n *slowNode, busy *time.Time, bytes int) time.Time {
	if busy.Before(w.now) {
		*busy = w.now
	}
	*busy = busy.Add(time.Duration(float64(bytes) / (bytesPerCore * float64(n.capacity) / 1000) * float64(time.Second)))
	return *busy
}

func (w *slowNetwork) take(n *slowNode, g wire.Gossip) {
	if w.now.Before(n.up) {
		return
	}
	cost := perMessage + time.Duration(len(g.Members))*perRecord + time.Duration(len(g.Listing))*perListed
	w.at(w.work(n, cost), func() {
		w.send(n, n.Receive(w.now, g))
	})
}

// until plays events until the condition holds and returns how long it took.
func (w *slowNetwork) until(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := w.now
	looked := w.now
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(arrival)
		w.now = e.at
		e.do()
		if w.now.Sub(looked) < 10*time.Millisecond {
			continue
		}
		looked = w.now
		if condition() {
			return w.now.Sub(start), true
		}
		if w.now.Sub(start) > limit {
			break
		}
	}
	return w.now.Sub(start), false
}

// knowLarge reports whether every node knows all large ones, which lead and read.
func (w *slowNetwork) knowLarge() bool {
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

// TestAllStartOnSmallLinks starts nodes at once, most of them with small processors
// and links, the seeds among these: all of them know those that lead and read soon,
// hundreds of nodes not much later than some dozens.
func TestAllStartOnSmallLinks(t *testing.T) {
	for _, c := range []struct {
		nodes int
		limit time.Duration
	}{{32, 700 * time.Millisecond}, {100, 900 * time.Millisecond}, {295, 1700 * time.Millisecond}} {
		for seed := range uint64(3) {
			w := newSlowNetwork(t, seed, c.nodes, 16)
			took, ok := w.until(10*time.Second, w.knowLarge)
			if !ok || took > c.limit {
				t.Errorf("%d nodes, seed %d: not all know the large ones after %v", c.nodes, seed, took)
			}
			t.Logf("%d nodes, seed %d: %v", c.nodes, seed, took)
		}
	}
}
