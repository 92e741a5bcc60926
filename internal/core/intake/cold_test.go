package intake_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/place"
)

// The pattern that these tests answer: a few endpoints begin anew, empty, among many that
// are busy, while a burst is on. Whoever chooses the emptiest sends all to them, and nodes
// that know nothing of each other do so at the same time.
//
// The figures are those of a fleet of model engines as operators describe theirs: an engine
// that has just begun handles 10 requests a second for 3 s, and in no second may it get more
// than 1.5 times that and 5 more; in calm times 219 requests a second come, in a burst 2.5
// times as many.
const (
	perSecond = 10.0
	coldFor   = 3 * time.Second
	calmRate  = 219.0
	burst     = 2.5
	fleet     = 90
	returning = 3
)

var cold = intake.ColdLimit{PerSecond: perSecond, Excess: 1.5, Slack: 5}

// most is how many requests a cold endpoint may get in any second.
const most = 20

// never is a number of nodes among which one has no turn for hours.
const never = 1 << 20

// design is a way to spread what a cold endpoint bears.
type design int

const (
	// unpaced is choosing as among all others.
	unpaced design = iota
	// owners lets one node by rendezvous hashing send to each cold endpoint, and no other.
	owners
	// shares is what the package does.
	shares
)

func (d design) String() string { return [...]string{"unpaced", "one owner", "shares"}[d] }

// course is what happens to the nodes.
type course struct {
	name string
	// byLeader is true when one node places for all, as for prompts.
	byLeader bool
	// lost has the leader lost as the endpoints return, with a second one at work beside
	// it, and lag is how late the nodes learn of endpoints at most.
	lost bool
	lag  time.Duration
	// parts cuts the nodes into so many parts that know nothing of each other. Each has a
	// leader of its own.
	parts int
}

var courses = []course{
	{name: "leader", byLeader: true, lag: 700 * time.Millisecond, parts: 1},
	{name: "leader lost", byLeader: true, lost: true, lag: 1200 * time.Millisecond, parts: 1},
	{name: "nodes for themselves", lag: time.Second, parts: 1},
	{name: "nodes in two parts", lag: time.Second, parts: 2},
	{name: "leaders in two parts", byLeader: true, lag: time.Second, parts: 2},
}

// finish is the end of a call at an endpoint.
type finish struct {
	at   time.Time
	pool *place.Pool
	i    int
	r    place.Result
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(a, b int) bool { return f[a].at.Before(f[b].at) }
func (f finishes) Swap(a, b int)      { f[a], f[b] = f[b], f[a] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// world is some nodes before one service of which few endpoints return cold.
type world struct {
	start    time.Time
	rand     *rand.Rand
	nodes    int
	how      design
	course   course
	pools    []*place.Pool
	learnt   []time.Time
	ends     finishes
	arrivals map[string][]time.Time
	unserved int
}

func name(i int) string { return fmt.Sprintf("endpoint-%d", i) }

func newWorld(seed uint64, nodes int, how design, c course) *world {
	w := &world{start: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), nodes: nodes, how: how, course: c, arrivals: make(map[string][]time.Time)}
	for k := range nodes {
		pool, err := place.NewPool("predicted_finish", seed+uint64(k))
		if err != nil {
			panic(err)
		}
		pool.Update(w.specs(k, time.Time{}, fleet-returning))
		w.pools = append(w.pools, pool)
		w.learnt = append(w.learnt, w.start.Add(time.Duration(w.rand.Int64N(int64(c.lag)))))
	}
	return w
}

// specs lists the first endpoints as a node knows them; those that return are cold since a
// moment.
func (w *world) specs(node int, since time.Time, count int) []place.Spec {
	list := make([]place.Spec, count)
	for i := range list {
		list[i] = place.Spec{Name: name(i), Slots: 64}
		if i >= fleet-returning && w.how != unpaced {
			list[i].Pace = w.pace(node, name(i), since)
		}
	}
	return list
}

func (w *world) pace(node int, endpoint string, since time.Time) intake.Pace {
	bound := intake.Bound{}.WithCold(cold, since.Add(coldFor))
	placing := intake.ByNodes
	if w.course.byLeader {
		placing = intake.ByLeaders
	}
	switch {
	case w.course.byLeader && w.leads(node):
		crowded := time.Time{}
		if w.course.lost && node == w.course.parts {
			crowded = since.Add(coldFor)
		}
		return intake.NewPace(bound, intake.LeaderShare(placing, 1, 1, crowded))
	case w.how == shares:
		return intake.NewPace(bound, intake.NodeShare(placing, node, w.nodes, endpoint))
	case w.how == owners && int(hash.Of(endpoint)%uint64(w.nodes)) == node:
		return intake.NewPace(bound, intake.LeaderShare(intake.ByLeaders, 1, 1, time.Time{}))
	}
	// Not at all while it is cold.
	return intake.NewPace(bound, intake.NodeShare(placing, never/2, never, endpoint))
}

// leads reports whether a node places for others at any time: the first of each part, and
// the one that follows it.
func (w *world) leads(node int) bool {
	return node < w.course.parts || w.course.lost && node == w.course.parts
}

// placer is the node that places a request that came to a node. When a leader is lost, some
// requests still go by the old one for a while, the others by the next.
func (w *world) placer(node int) int {
	switch {
	case !w.course.byLeader:
		return node
	case w.course.lost && w.rand.IntN(2) == 0:
		return w.course.parts
	}
	return node % w.course.parts
}

// run plays the return of the endpoints in a burst, and 1.5 times as long as they are cold.
func (w *world) run() {
	const perSecond = calmRate * burst
	for now := w.start.Add(-time.Second); now.Before(w.start.Add(coldFor * 3 / 2)); now = now.Add(time.Duration(w.rand.ExpFloat64() / perSecond * float64(time.Second))) {
		for len(w.ends) > 0 && !w.ends[0].at.After(now) {
			e := heap.Pop(&w.ends).(finish)
			e.pool.Finish(e.at, e.i, e.r)
		}
		w.send(now, w.placer(w.rand.IntN(w.nodes)))
	}
}

// send has a node place one request.
func (w *world) send(now time.Time, node int) {
	if at := w.learnt[node]; !at.IsZero() && !now.Before(at) {
		w.pools[node].Update(w.specs(node, at, fleet))
		w.learnt[node] = time.Time{}
	}
	pool := w.pools[node]
	i, ok := pool.Choose(now, place.Request{Exclude: place.None})
	if !ok {
		w.unserved++
		return
	}
	work := pool.Start(now, i, place.Request{})
	endpoint := pool.At(i).Spec().Name
	// Packets are lost on the way now and then, and sent again.
	arrives := now.Add(2 * time.Millisecond)
	if w.rand.IntN(40) == 0 {
		arrives = arrives.Add(200 * time.Millisecond)
	}
	w.arrivals[endpoint] = append(w.arrivals[endpoint], arrives)
	took := time.Duration(800+w.rand.IntN(400)) * time.Millisecond
	heap.Push(&w.ends, finish{at: now.Add(took), pool: pool, i: i, r: place.Result{OK: true, Work: work, Took: took}})
}

// busiest is the most that one of the returning endpoints got in any second while it was
// cold, and mean what they got a second on the average.
func (w *world) busiest() (highest int, mean float64) {
	total := 0
	for i := fleet - returning; i < fleet; i++ {
		at := w.arrivals[name(i)]
		slices.SortFunc(at, time.Time.Compare)
		at = slices.DeleteFunc(at, func(t time.Time) bool { return t.After(w.start.Add(coldFor)) })
		total += len(at)
		first := 0
		for k := range at {
			for at[k].Sub(at[first]) > time.Second {
				first++
			}
			highest = max(highest, k-first+1)
		}
	}
	return highest, float64(total) / returning / coldFor.Seconds()
}

// TestFewReturnAmongMany holds what cold endpoints get in any second against the bound, for
// systems of each size and each course of events, and compares the designs.
func TestFewReturnAmongMany(t *testing.T) {
	broken := make(map[design]int)
	for _, c := range courses {
		for _, nodes := range []int{7, 59, 295} {
			for how := unpaced; how <= shares; how++ {
				highest, sum, unserved := 0, 0.0, 0
				const seeds = 3
				for seed := range uint64(seeds) {
					w := newWorld(seed, nodes, how, c)
					w.run()
					most, mean := w.busiest()
					highest, sum, unserved = max(highest, most), sum+mean, unserved+w.unserved
				}
				t.Logf("%-22s %3d nodes, %-9v: at most %3d in a second, %5.2f on the average, %d unserved", c.name, nodes, how, highest, sum/seeds, unserved)
				if highest > most {
					broken[how]++
				}
				if how == shares && highest > most {
					t.Errorf("%s, %d nodes: %d requests in a second, %d are allowed", c.name, nodes, highest, most)
				}
			}
		}
	}
	if broken[unpaced] == 0 {
		t.Error("without a pace the bound holds too: the test shows nothing")
	}
}

// TestPeak remembers the largest number of nodes for half a minute at least, and for a
// minute at most.
func TestPeak(t *testing.T) {
	var p intake.Peak
	start := time.Unix(1000, 0)
	steps := []struct {
		after       time.Duration
		nodes, want int
	}{{0, 59, 59}, {5 * time.Second, 3, 59}, {31 * time.Second, 3, 59}, {59 * time.Second, 4, 59}, {62 * time.Second, 4, 4}}
	for _, s := range steps {
		if got := p.Observe(start.Add(s.after), s.nodes); got != s.want {
			t.Errorf("after %v: %d, want %d", s.after, got, s.want)
		}
	}
}
