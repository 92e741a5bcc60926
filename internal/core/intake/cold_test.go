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

// These tests simulate a burst of requests while a few endpoints among many busy ones restart
// empty. Whoever picks the least loaded endpoint sends everything to them, and nodes that don't
// know of each other do so at the same time.
//
// The figures are those that operators give for a fleet of model servers: a server that has just
// started handles 10 requests per second for 3 s, and in no second may it get more than 1.5 times
// that plus 5. The normal load is 219 requests per second; in a burst it is 2.5 times as high.
const (
	coldPerSecond = 10.0
	coldTime      = 3 * time.Second
	normalRate    = 219.0
	burst         = 2.5
	fleet         = 90
	returning     = 3
)

var cold = intake.ColdLimit{PerSecond: coldPerSecond, Excess: 1.5, Slack: 5}

// maxPerAnySecond is how many requests a cold endpoint may get in any second.
const maxPerAnySecond = 20

// manyNodes is a number of nodes among which a node has no time slot for hours.
const manyNodes = 1 << 20

// strategy is a way to divide the rate of a cold endpoint among nodes.
type strategy int

const (
	// unlimited treats a cold endpoint like all others.
	unlimited strategy = iota
	// singleOwner lets one node, chosen by rendezvous hashing, send to a cold endpoint.
	singleOwner
	// shares is what package intake implements.
	shares
)

func (d strategy) String() string { return [...]string{"unlimited", "one owner", "shares"}[d] }

// scenario is a sequence of events that affect the nodes.
type scenario struct {
	name string
	// byLeader is true if one node places the requests of all, as for prompts.
	byLeader bool
	// leaderLost has the leader lost while the endpoints restart, with a second one active beside
	// it. lag is the maximum delay until a node learns of the endpoints.
	leaderLost bool
	lag        time.Duration
	// partitions is the number of groups of nodes that can't reach each other. Each has its own
	// leader.
	partitions int
}

var scenarios = []scenario{
	{name: "leader", byLeader: true, lag: 700 * time.Millisecond, partitions: 1},
	{name: "leader lost", byLeader: true, leaderLost: true, lag: 1200 * time.Millisecond, partitions: 1},
	{name: "nodes for themselves", lag: time.Second, partitions: 1},
	{name: "nodes in two parts", lag: time.Second, partitions: 2},
	{name: "leaders in two parts", byLeader: true, lag: time.Second, partitions: 2},
}

// completion is the end of a call at an endpoint.
type completion struct {
	at   time.Time
	pool *place.Pool
	i    int
	r    place.Result
}

type completions []completion

func (f completions) Len() int           { return len(f) }
func (f completions) Less(a, b int) bool { return f[a].at.Before(f[b].at) }
func (f completions) Swap(a, b int)      { f[a], f[b] = f[b], f[a] }
func (f *completions) Push(x any)        { *f = append(*f, x.(completion)) }
func (f *completions) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// world simulates nodes that use one service, a few of whose endpoints restart cold.
type world struct {
	start       time.Time
	rand        *rand.Rand
	nodes       int
	strategy    strategy
	scenario    scenario
	pools       []*place.Pool
	learnedAt   []time.Time
	completions completions
	arrivals    map[string][]time.Time
	unserved    int
}

func name(i int) string { return fmt.Sprintf("endpoint-%d", i) }

func newWorld(seed uint64, nodes int, how strategy, c scenario) *world {
	w := &world{start: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), nodes: nodes, strategy: how, scenario: c, arrivals: make(map[string][]time.Time)}
	for k := range nodes {
		pool, err := place.NewPool("predicted_finish", seed+uint64(k))
		if err != nil {
			panic(err)
		}
		pool.Update(w.specs(k, time.Time{}, fleet-returning))
		w.pools = append(w.pools, pool)
		w.learnedAt = append(w.learnedAt, w.start.Add(time.Duration(w.rand.Int64N(int64(c.lag)))))
	}
	return w
}

// specs returns the first count endpoints as a node knows them; those that restart are cold from
// since on.
func (w *world) specs(node int, since time.Time, count int) []place.Spec {
	list := make([]place.Spec, count)
	for i := range list {
		list[i] = place.Spec{Name: name(i), Slots: 64}
		if i >= fleet-returning && w.strategy != unlimited {
			list[i].Pace = w.pace(node, name(i), since)
		}
	}
	return list
}

func (w *world) pace(node int, endpoint string, since time.Time) intake.Pace {
	bound := intake.Bound{}.WithCold(cold, since.Add(coldTime))
	placing := intake.ByNodes
	if w.scenario.byLeader {
		placing = intake.ByLeaders
	}
	switch {
	case w.scenario.byLeader && w.leads(node):
		contendedUntil := time.Time{}
		if w.scenario.leaderLost && node == w.scenario.partitions {
			contendedUntil = since.Add(coldTime)
		}
		return intake.NewPace(bound, intake.LeaderShare(placing, 1, 1, 1, contendedUntil))
	case w.strategy == shares:
		return intake.NewPace(bound, intake.NodeShare(placing, 0, node, w.nodes, endpoint))
	case w.strategy == singleOwner && int(hash.Of(endpoint)%uint64(w.nodes)) == node:
		return intake.NewPace(bound, intake.LeaderShare(intake.ByLeaders, 1, 1, 1, time.Time{}))
	}
	// No requests while the endpoint is cold.
	return intake.NewPace(bound, intake.NodeShare(placing, 0, manyNodes/2, manyNodes, endpoint))
}

// leads reports whether a node ever places requests for others: the first node of each partition
// and, if that leader is lost, its successor.
func (w *world) leads(node int) bool {
	return node < w.scenario.partitions || w.scenario.leaderLost && node == w.scenario.partitions
}

// placer returns the node that places a request received by node. When a leader is lost, some
// requests are placed by the old one for a while, and the others by its successor.
func (w *world) placer(node int) int {
	switch {
	case !w.scenario.byLeader:
		return node
	case w.scenario.leaderLost && w.rand.IntN(2) == 0:
		return w.scenario.partitions
	}
	return node % w.scenario.partitions
}

// run simulates the restart of the endpoints in a burst, for 1.5 times as long as they are cold.
func (w *world) run() {
	const perSecond = normalRate * burst
	for now := w.start.Add(-time.Second); now.Before(w.start.Add(coldTime * 3 / 2)); now = now.Add(time.Duration(w.rand.ExpFloat64() / perSecond * float64(time.Second))) {
		for len(w.completions) > 0 && !w.completions[0].at.After(now) {
			e := heap.Pop(&w.completions).(completion)
			e.pool.Finish(e.at, e.i, e.r)
		}
		w.send(now, w.placer(w.rand.IntN(w.nodes)))
	}
}

// send has a node place one request.
func (w *world) send(now time.Time, node int) {
	if at := w.learnedAt[node]; !at.IsZero() && !now.Before(at) {
		w.pools[node].Update(w.specs(node, at, fleet))
		w.learnedAt[node] = time.Time{}
	}
	pool := w.pools[node]
	i, ok := pool.Choose(now, place.Request{Exclude: place.None})
	if !ok {
		w.unserved++
		return
	}
	work := pool.Start(now, i, place.Request{})
	endpoint := pool.At(i).Spec().Name
	// Some packets are lost and retransmitted.
	arrives := now.Add(2 * time.Millisecond)
	if w.rand.IntN(40) == 0 {
		arrives = arrives.Add(200 * time.Millisecond)
	}
	w.arrivals[endpoint] = append(w.arrivals[endpoint], arrives)
	took := time.Duration(800+w.rand.IntN(400)) * time.Millisecond
	heap.Push(&w.completions, completion{at: now.Add(took), pool: pool, i: i, r: place.Result{OK: true, PendingTokens: work, Latency: took}})
}

// busiest returns the highest number of requests that a restarted endpoint got in any second while
// it was cold, and the mean per second.
func (w *world) busiest() (highest int, mean float64) {
	total := 0
	for i := fleet - returning; i < fleet; i++ {
		at := w.arrivals[name(i)]
		slices.SortFunc(at, time.Time.Compare)
		at = slices.DeleteFunc(at, func(t time.Time) bool { return t.After(w.start.Add(coldTime)) })
		total += len(at)
		first := 0
		for k := range at {
			for at[k].Sub(at[first]) > time.Second {
				first++
			}
			highest = max(highest, k-first+1)
		}
	}
	return highest, float64(total) / returning / coldTime.Seconds()
}

// TestColdEndpointsStayWithinBound guards against overloading endpoints that have just started. It
// checks the bound for each number of nodes and each scenario, and logs the other strategies for
// comparison.
func TestColdEndpointsStayWithinBound(t *testing.T) {
	broken := make(map[strategy]int)
	for _, c := range scenarios {
		for _, nodes := range []int{7, 59, 295} {
			for how := unlimited; how <= shares; how++ {
				highest, sum, unserved := 0, 0.0, 0
				const seeds = 3
				for seed := range uint64(seeds) {
					w := newWorld(seed, nodes, how, c)
					w.run()
					peak, mean := w.busiest()
					highest, sum, unserved = max(highest, peak), sum+mean, unserved+w.unserved
				}
				t.Logf("%-22s %3d nodes, %-9v: at most %3d in a second, %5.2f on average, %d unserved", c.name, nodes, how, highest, sum/seeds, unserved)
				if highest > maxPerAnySecond {
					broken[how]++
				}
				if how == shares && highest > maxPerAnySecond {
					t.Errorf("%s, %d nodes: %d requests in a second, want at most %d", c.name, nodes, highest, maxPerAnySecond)
				}
			}
		}
	}
	if broken[unlimited] == 0 {
		t.Error("the bound holds without a pace too, so nothing was tested")
	}
}

// TestPeak checks that the largest number of nodes is remembered for at least half a minute and at
// most a minute.
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
