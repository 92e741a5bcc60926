package signal_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/simulated"
)

const (
	// The timing of the simulated nodes, which is that of real ones.
	tickInterval      = 100 * time.Millisecond
	heartbeatInterval = time.Second
	updateDelay       = 300 * time.Millisecond
	maxUpdates        = 128
	// failoverDelay is how long a lost leader is still used.
	failoverDelay = time.Second
	// leaderBackoff is how long a leader avoids an endpoint that rejected a request.
	leaderBackoff = 500 * time.Millisecond
	maxAttempts   = 3
)

// The requirements of the operators; package signaltest has the same ones for real nodes.
const (
	drainReactionTime   = 2 * time.Second
	backoffReactionTime = 500 * time.Millisecond
	maxInBackoff        = 2
)

// worldNode is a node of a world.
type worldNode struct {
	registry *signal.Registry
	own      *place.Pool
	// led is the pool from which it places the requests of all nodes while it is the leader.
	led *place.Pool
	// down is true while the node is frozen, lost or not running. cut nodes reach only other cut
	// nodes.
	down, cut bool
	faults    []fault
	pending   bool
	sentAt    time.Time
	// relayedAt is when the node, since its last start, first relayed an answer announcing that an
	// endpoint is draining.
	relayedAt map[int]time.Time
}

// fault is a period in which a node had a fault.
type fault struct {
	from, to time.Time
	kind     string
}

// arrival is a request that reached an endpoint.
type arrival struct {
	node     int
	sent, at time.Time
}

// rejection is a request that was rejected with a backoff.
type rejection struct {
	node    int
	at      time.Time
	backoff time.Duration
}

// world simulates nodes that use one service whose endpoints send signals.
type world struct {
	script     script
	start      time.Time
	rand       *rand.Rand
	nodes      []*worldNode
	leader     int
	leaderLost time.Time
	events     simulated.Queue
	arrivals   [][]arrival
	rejections [][]rejection
	counts     []int
	violations []string
	served     int
	// servedDuringRejections counts the requests served while endpoints rejected some.
	servedDuringRejections int
	unserved               int
}

func newWorld(t *testing.T, s script, count int, seed uint64) *world {
	w := &world{
		script: s, start: time.Unix(5000, 0), rand: rand.New(rand.NewPCG(seed, 3)),
		arrivals: make([][]arrival, s.endpoints), rejections: make([][]rejection, s.endpoints), counts: make([]int, s.endpoints),
	}
	for k := range count {
		w.nodes = append(w.nodes, &worldNode{})
		w.startNode(t, k)
	}
	return w
}

func name(i int) string { return fmt.Sprintf("e%03d", i) }

func (w *world) pool(t *testing.T, policy string) *place.Pool {
	p, err := place.NewPool(policy, w.rand.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	specs := make([]place.Spec, w.script.endpoints)
	for i := range specs {
		specs[i] = place.Spec{Name: name(i), Slots: 64}
	}
	p.Update(specs)
	return p
}

// startNode starts a node without any state. Its endpoint list still shows all endpoints as ready.
func (w *world) startNode(t *testing.T, k int) {
	n := w.nodes[k]
	*n = worldNode{registry: signal.NewRegistry(w.rand.Uint64()), own: w.pool(t, "predicted_finish"), led: w.pool(t, place.LeastWork), faults: n.faults, relayedAt: make(map[int]time.Time)}
}

func (w *world) at(at time.Time, do func(time.Time)) { w.events.At(at, do) }

// play runs the script.
func (w *world) play(t *testing.T) {
	for k := range w.nodes {
		w.at(w.start.Add(time.Duration(w.rand.Int64N(int64(tickInterval)))), func(now time.Time) { w.tick(now, k, now) })
	}
	for _, s := range w.script.faults {
		w.at(w.start.Add(s.at), func(now time.Time) { w.injectFault(t, now, s) })
	}
	w.at(w.start, w.request)
	end := w.start.Add(w.script.lasts)
	w.events.Run(end)
}

func (w *world) injectFault(t *testing.T, now time.Time, s step) {
	if s.kind == "leader-lost" {
		w.nodes[w.leader].down = true
		w.leader++
		w.leaderLost = now
		return
	}
	for k, n := range w.nodes {
		if w.rand.Float64() >= s.part {
			continue
		}
		n.faults = append(n.faults, fault{from: now, to: now.Add(s.lasts), kind: s.kind})
		if s.kind == "cut" {
			n.cut = true
			w.at(now.Add(s.lasts), func(time.Time) { n.cut = false })
			continue
		}
		n.down = true
		w.at(now.Add(s.lasts), func(time.Time) {
			if s.kind == "restart" {
				w.startNode(t, k)
			}
			n.down = false
		})
	}
}

// tick expires a node's signals and sends updates to its neighbors when due.
func (w *world) tick(now time.Time, k int, lastHeartbeat time.Time) {
	n := w.nodes[k]
	if !n.down {
		n.registry.Expire(now)
		n.registry.Draining().Expire(now, func(string) bool { return true })
		if n.pending && now.Sub(n.sentAt) >= updateDelay || now.Sub(lastHeartbeat) >= heartbeatInterval {
			n.pending, n.sentAt, lastHeartbeat = false, now, now
			for _, d := range []int{1, 2, 7, 17, 71} {
				if size := len(w.nodes); d < size {
					w.exchange(now, k, (k+d)%size)
					w.exchange(now, k, (k-d+size)%size)
				}
			}
		}
	}
	w.at(now.Add(tickInterval), func(now time.Time) { w.tick(now, k, lastHeartbeat) })
}

// exchange sends a node's updates to another node, which answers with those that the sender lacks.
func (w *world) exchange(now time.Time, from, to int) {
	a := w.nodes[from]
	updates, sum := a.registry.Draining().NextUpdates(now, name(to), maxUpdates), a.registry.Draining().Checksum()
	w.at(now.Add(2*time.Millisecond), func(now time.Time) {
		b := w.nodes[to]
		if b.down || a.down || a.cut != b.cut {
			return
		}
		w.exclude(b, b.registry.Draining().Merge(now, updates))
		if b.registry.Draining().NeedsUpdate(now, name(from), sum) {
			w.exclude(a, a.registry.Draining().Merge(now, b.registry.Draining().NextUpdates(now, name(from), maxUpdates)))
		}
	})
}

// exclude removes endpoints from a node's pools.
func (w *world) exclude(n *worldNode, endpoints []string) {
	for _, e := range endpoints {
		n.pending = true
		for _, p := range []*place.Pool{n.own, n.led} {
			if i := p.Find(e); i != place.None {
				p.MarkLeaving(i)
			}
		}
	}
}

// request delivers the next request to a random node and schedules the one after it.
func (w *world) request(now time.Time) {
	if k := w.rand.IntN(len(w.nodes)); !w.nodes[k].down {
		w.send(now, k, now, nil)
	}
	w.at(now.Add(time.Duration(w.rand.ExpFloat64()/w.script.traffic*float64(time.Second))), w.request)
}

// send sends a request, which the client sent at the given time, to an endpoint.
func (w *world) send(now time.Time, k int, sent time.Time, tried []int) {
	n := w.nodes[k]
	i, led, ok := w.choose(now, n, tried)
	if !ok || len(tried) >= maxAttempts {
		w.unserved++
		return
	}
	if n.registry.Check(now, name(i)) != nil {
		w.send(now, k, sent, append(tried, i))
		return
	}
	pools := []*place.Pool{n.own}
	if led != nil {
		pools = append(pools, led)
	}
	works := make([]int, len(pools))
	for j, p := range pools {
		works[j] = p.Start(now, i, place.Request{ChosenByPeer: j == 0 && led != nil})
	}
	finish := func(now time.Time, r place.Result) {
		for j, p := range pools {
			r.PendingTokens = works[j]
			p.Finish(now, i, r)
		}
	}
	arrives := now.Add(time.Millisecond)
	if w.rand.IntN(40) == 0 {
		arrives = arrives.Add(200 * time.Millisecond)
	}
	w.at(arrives, func(now time.Time) { w.arrive(now, k, i, sent, tried, led != nil, finish) })
}

// choose returns the endpoint for a request and, if the leader chose it, the leader's pool.
func (w *world) choose(now time.Time, n *worldNode, tried []int) (int, *place.Pool, bool) {
	if w.script.placedByLeader && now.Sub(w.leaderLost) > failoverDelay && len(tried) == 0 && !n.cut {
		var avoid []int
		for _, b := range n.registry.Backoffs().Active(now) {
			avoid = append(avoid, n.own.Find(b.Endpoint))
		}
		led := w.nodes[w.leader].led
		if i, ok := led.Choose(now, place.Request{Exclude: place.None, Tried: avoid}); ok && n.own.Accepts(now, i, place.Request{Exclude: place.None}) {
			return i, led, true
		}
	}
	i, ok := n.own.Choose(now, place.Request{Exclude: place.None, Tried: tried})
	return i, nil, ok
}

// arrive delivers a request to its endpoint, which rejects it at once or starts to answer.
func (w *world) arrive(now time.Time, k, i int, sent time.Time, tried []int, led bool, finish func(time.Time, place.Result)) {
	w.arrivals[i] = append(w.arrivals[i], arrival{node: k, sent: sent, at: now})
	at := now.Sub(w.start)
	s := signal.Signals{Draining: w.script.drainsAt(i, at)}
	if r, ok := w.script.rejectsAt(i, at); ok {
		if w.counts[i]++; w.counts[i]%r.every == 0 {
			s.Backoff = r.backoff
			w.rejections[i] = append(w.rejections[i], rejection{node: k, at: now, backoff: r.backoff})
			w.at(now.Add(2*time.Millisecond), func(now time.Time) {
				w.observe(now, k, i, s)
				finish(now, place.Result{Neutral: true})
				if led {
					w.nodes[w.leader].led.SetBackoff(i, now.Add(leaderBackoff))
				}
				if !w.nodes[k].down {
					w.send(now, k, sent, append(tried, i))
				}
			})
			return
		}
	}
	w.served++
	if _, ok := w.script.rejectsAt(0, at); ok {
		w.servedDuringRejections++
	}
	took := time.Duration(50+w.rand.IntN(300)) * time.Millisecond
	w.at(now.Add(took), func(now time.Time) { w.observe(now, k, i, s) })
	w.at(now.Add(2*took), func(now time.Time) { finish(now, place.Result{OK: true, Latency: 2 * took}) })
}

// observe has a node relay an answer and record its signals.
func (w *world) observe(now time.Time, k, i int, s signal.Signals) {
	n := w.nodes[k]
	if n.down {
		return
	}
	if _, ok := n.relayedAt[i]; s.Draining && !ok {
		n.relayedAt[i] = now
	}
	c := n.registry.Observe(now, name(i), s)
	if c.Draining {
		w.exclude(n, []string{name(i)})
	}
	if !c.BackoffUntil.IsZero() {
		n.own.SetBackoff(i, c.BackoffUntil)
	}
}

// wasFaulty reports whether a node had a fault of one of the given kinds between two times.
func (n *worldNode) wasFaulty(from, to time.Time, kinds ...string) bool {
	for _, s := range n.faults {
		if s.from.Before(to) && s.to.After(from) && strings.Contains(strings.Join(kinds, " "), s.kind) {
			return true
		}
	}
	return false
}

// check compares what reached the endpoints with the operators' requirements and the script.
func (w *world) check() error {
	for i := range w.arrivals {
		w.checkDraining(i)
		w.checkBackoff(i)
	}
	if share := float64(w.served) / float64(w.served+w.unserved); share < w.script.minServed {
		w.violations = append(w.violations, fmt.Sprintf("%.3f of the requests were served, want at least %.3f", share, w.script.minServed))
	}
	rejected := 0
	for _, list := range w.rejections {
		rejected += len(list)
	}
	if share := float64(rejected) / float64(max(w.servedDuringRejections, 1)); w.script.maxRejected > 0 && share > w.script.maxRejected {
		w.violations = append(w.violations, fmt.Sprintf("%d requests were rejected, %.3f of those served meanwhile, want at most %.3f", rejected, share, w.script.maxRejected))
	}
	if len(w.violations) == 0 {
		return nil
	}
	return errors.New(strings.Join(w.violations[:min(len(w.violations), 5)], "\n"))
}

func (w *world) checkDraining(i int) {
	for _, d := range w.script.drains {
		announced := w.start.Add(d.at)
		for _, a := range w.arrivals[i] {
			n := w.nodes[a.node]
			if i >= d.count || a.at.Before(announced) {
				continue
			}
			if at, ok := n.relayedAt[i]; ok && a.sent.Sub(at) > drainReactionTime && !n.wasFaulty(at, a.at, "restart", "freeze") {
				w.violations = append(w.violations, fmt.Sprintf("%v: draining endpoint %d got a request from node %d, sent %v after the node had relayed the announcement", a.at.Sub(w.start), i, a.node, a.sent.Sub(at)))
			}
			if w.script.learnWithin > 0 && a.sent.Sub(announced) > w.script.learnWithin && !n.wasFaulty(announced, a.at, "cut", "restart", "freeze") {
				w.violations = append(w.violations, fmt.Sprintf("%v: endpoint %d got a request from node %d, %v after it began to drain", a.at.Sub(w.start), i, a.node, a.sent.Sub(announced)))
			}
		}
	}
}

func (w *world) checkBackoff(i int) {
	for _, r := range w.rejections[i] {
		count := 0
		for _, a := range w.arrivals[i] {
			if a.node == r.node && a.at.After(r.at.Add(backoffReactionTime)) && a.at.Before(r.at.Add(r.backoff)) {
				count++
			}
		}
		if count > maxInBackoff && !w.nodes[r.node].wasFaulty(r.at, r.at.Add(r.backoff), "restart", "freeze", "cut") {
			w.violations = append(w.violations, fmt.Sprintf("%v: endpoint %d got %d requests from node %d during the requested backoff", r.at.Sub(w.start), i, count, r.node))
		}
	}
	if w.script.reuseWithin > 0 && len(w.rejections[i]) > 0 {
		w.checkRecovery(i)
	}
}

// checkRecovery checks how soon, and how evenly, an endpoint is used again after its last backoff.
func (w *world) checkRecovery(i int) {
	ends := time.Time{}
	for _, r := range w.rejections[i] {
		if end := r.at.Add(r.backoff); end.After(ends) {
			ends = end
		}
	}
	even := w.script.traffic / float64(w.script.endpoints)
	inSecond, inTenth := 0, 0
	for _, a := range w.arrivals[i] {
		if back := a.at.Sub(ends); back >= 0 && back <= w.script.reuseWithin {
			inTenth = max(inTenth, w.count(i, a.at, a.at.Add(tickInterval)))
			if back <= w.script.reuseWithin-time.Second {
				inSecond = max(inSecond, w.count(i, a.at, a.at.Add(time.Second)))
			}
		}
	}
	if float64(inSecond) < even/2 {
		w.violations = append(w.violations, fmt.Sprintf("endpoint %d got at most %d requests in a second within %v of its backoff, an even share is %.1f", i, inSecond, w.script.reuseWithin, even))
	}
	if w.script.maxHerd > 0 && float64(inTenth) > w.script.maxHerd*even {
		w.violations = append(w.violations, fmt.Sprintf("endpoint %d got %d requests in a tenth of a second after its backoff, an even share of a second is %.1f", i, inTenth, even))
	}
}

// count returns how many requests reached an endpoint in the given interval.
func (w *world) count(i int, from, to time.Time) int {
	n := 0
	for _, a := range w.arrivals[i] {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

var worldSeeds = flag.Uint64("world-seeds", 1, "seeds with which each script of testdata/world is played")

// TestSignalsAreHonored guards against nodes that ignore signals. It plays each script with 7, 59
// and 295 nodes.
func TestSignalsAreHonored(t *testing.T) {
	files, err := filepath.Glob("testdata/world/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		s := readScript(t, file)
		for _, nodes := range []int{7, 59, 295} {
			t.Run(fmt.Sprintf("%s-%d", strings.TrimSuffix(filepath.Base(file), ".txt"), nodes), func(t *testing.T) {
				t.Parallel()
				for seed := range *worldSeeds {
					w := newWorld(t, s, nodes, seed)
					w.play(t)
					if err := w.check(); err != nil {
						t.Errorf("seed %d: %v", seed, err)
					}
					t.Logf("seed %d: %d served, %d not", seed, w.served, w.unserved)
				}
			})
		}
	}
}
