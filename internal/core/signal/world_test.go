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

// The timing of the simulated nodes, as that of real ones.
const (
	tickTime   = 100 * time.Millisecond
	beatTime   = time.Second
	gossipTime = 300 * time.Millisecond
	maxUpdates = 128
	// lostTime is how long a leader that is lost is still asked.
	lostTime = time.Second
	// holdTime is how long a leader places nothing at an endpoint that rejected a request.
	holdTime = 500 * time.Millisecond
	tries    = 3
)

// The operators' rules, as signaltest has them for real nodes.
const (
	drainTime    = 2 * time.Second
	graceTime    = 500 * time.Millisecond
	maxInBackoff = 2
)

// worldNode is a node of a world.
type worldNode struct {
	registry *signal.Registry
	own      *place.Pool
	// led is the pool by which it places for all, when it leads.
	led *place.Pool
	// away nodes are frozen, lost or not running; cut ones reach only nodes that are cut too.
	away, cut bool
	struck    []strike
	pending   bool
	sentAt    time.Time
	// passedOn is when it first passed on that an endpoint drains, in its present life.
	passedOn map[int]time.Time
}

// strike is a span in which a node was in trouble.
type strike struct {
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

// world is some nodes before one service whose endpoints announce signals.
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
	found      []string
	served     int
	// servedThen counts those that were served while endpoints rejected requests.
	servedThen int
	unserved   int
}

func newWorld(t *testing.T, s script, count int, seed uint64) *world {
	w := &world{
		script: s, start: time.Unix(5000, 0), rand: rand.New(rand.NewPCG(seed, 3)),
		arrivals: make([][]arrival, s.endpoints), rejections: make([][]rejection, s.endpoints), counts: make([]int, s.endpoints),
	}
	for k := range count {
		w.nodes = append(w.nodes, &worldNode{})
		w.begin(t, k)
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

// begin has a node begin without any knowledge: the list still shows all endpoints as ready.
func (w *world) begin(t *testing.T, k int) {
	n := w.nodes[k]
	*n = worldNode{registry: signal.NewRegistry(w.rand.Uint64()), own: w.pool(t, "predicted_finish"), led: w.pool(t, place.LeastWork), struck: n.struck, passedOn: make(map[int]time.Time)}
}

func (w *world) after(at time.Time, do func(time.Time)) { w.events.At(at, do) }

// play runs the script.
func (w *world) play(t *testing.T) {
	for k := range w.nodes {
		w.after(w.start.Add(time.Duration(w.rand.Int64N(int64(tickTime)))), func(now time.Time) { w.tick(now, k, now) })
	}
	for _, s := range w.script.strikes {
		w.after(w.start.Add(s.at), func(now time.Time) { w.strike(t, now, s) })
	}
	w.after(w.start, w.request)
	end := w.start.Add(w.script.lasts)
	w.events.Run(end)
}

func (w *world) strike(t *testing.T, now time.Time, s step) {
	if s.kind == "leader-lost" {
		w.nodes[w.leader].away = true
		w.leader++
		w.leaderLost = now
		return
	}
	for k, n := range w.nodes {
		if w.rand.Float64() >= s.part {
			continue
		}
		n.struck = append(n.struck, strike{from: now, to: now.Add(s.lasts), kind: s.kind})
		if s.kind == "cut" {
			n.cut = true
			w.after(now.Add(s.lasts), func(time.Time) { n.cut = false })
			continue
		}
		n.away = true
		w.after(now.Add(s.lasts), func(time.Time) {
			if s.kind == "restart" {
				w.begin(t, k)
			}
			n.away = false
		})
	}
}

// tick expires what a node knows and has it send updates to its neighbors.
func (w *world) tick(now time.Time, k int, beaten time.Time) {
	n := w.nodes[k]
	if !n.away {
		n.registry.Expire(now)
		n.registry.Draining().Expire(now, func(string) bool { return true })
		if n.pending && now.Sub(n.sentAt) >= gossipTime || now.Sub(beaten) >= beatTime {
			n.pending, n.sentAt, beaten = false, now, now
			for _, d := range []int{1, 2, 7, 17, 71} {
				if size := len(w.nodes); d < size {
					w.exchange(now, k, (k+d)%size)
					w.exchange(now, k, (k-d+size)%size)
				}
			}
		}
	}
	w.after(now.Add(tickTime), func(now time.Time) { w.tick(now, k, beaten) })
}

// exchange has a node send another one its updates, and the other answer with those it lacks.
func (w *world) exchange(now time.Time, from, to int) {
	a := w.nodes[from]
	updates, sum := a.registry.Draining().Updates(now, name(to), maxUpdates), a.registry.Draining().Sum()
	w.after(now.Add(2*time.Millisecond), func(now time.Time) {
		b := w.nodes[to]
		if b.away || a.away || a.cut != b.cut {
			return
		}
		w.learn(b, b.registry.Draining().Merge(now, updates))
		if b.registry.Draining().Differs(now, name(from), sum) {
			w.learn(a, a.registry.Draining().Merge(now, b.registry.Draining().Updates(now, name(from), maxUpdates)))
		}
	})
}

// learn takes endpoints out of a node's use.
func (w *world) learn(n *worldNode, endpoints []string) {
	for _, e := range endpoints {
		n.pending = true
		for _, p := range []*place.Pool{n.own, n.led} {
			if i := p.Find(e); i != place.None {
				p.MarkLeaving(i)
			}
		}
	}
}

// request has the next request come to a node.
func (w *world) request(now time.Time) {
	if k := w.rand.IntN(len(w.nodes)); !w.nodes[k].away {
		w.send(now, k, now, nil)
	}
	w.after(now.Add(time.Duration(w.rand.ExpFloat64()/w.script.traffic*float64(time.Second))), w.request)
}

// send has a node send a request that its client sent at a moment.
func (w *world) send(now time.Time, k int, sent time.Time, tried []int) {
	n := w.nodes[k]
	i, led, ok := w.choose(now, n, tried)
	if !ok || len(tried) >= tries {
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
	w.after(arrives, func(now time.Time) { w.arrive(now, k, i, sent, tried, led != nil, finish) })
}

// choose returns the endpoint of a request and, when its leader chose it, the leader's pool.
func (w *world) choose(now time.Time, n *worldNode, tried []int) (int, *place.Pool, bool) {
	if w.script.placedByLeader && now.Sub(w.leaderLost) > lostTime && len(tried) == 0 && !n.cut {
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

// arrive has a request reach its endpoint, which rejects it at once or begins to answer.
func (w *world) arrive(now time.Time, k, i int, sent time.Time, tried []int, led bool, finish func(time.Time, place.Result)) {
	w.arrivals[i] = append(w.arrivals[i], arrival{node: k, sent: sent, at: now})
	at := now.Sub(w.start)
	s := signal.Signals{Draining: w.script.drainsAt(i, at)}
	if r, ok := w.script.rejectsAt(i, at); ok {
		if w.counts[i]++; w.counts[i]%r.every == 0 {
			s.Backoff = r.backoff
			w.rejections[i] = append(w.rejections[i], rejection{node: k, at: now, backoff: r.backoff})
			w.after(now.Add(2*time.Millisecond), func(now time.Time) {
				w.observe(now, k, i, s)
				finish(now, place.Result{Neutral: true})
				if led {
					w.nodes[w.leader].led.SetBackoff(i, now.Add(holdTime))
				}
				if !w.nodes[k].away {
					w.send(now, k, sent, append(tried, i))
				}
			})
			return
		}
	}
	w.served++
	if _, ok := w.script.rejectsAt(0, at); ok {
		w.servedThen++
	}
	took := time.Duration(50+w.rand.IntN(300)) * time.Millisecond
	w.after(now.Add(took), func(now time.Time) { w.observe(now, k, i, s) })
	w.after(now.Add(2*took), func(now time.Time) { finish(now, place.Result{OK: true, Latency: 2 * took}) })
}

// observe has a node pass on an answer and record its signals.
func (w *world) observe(now time.Time, k, i int, s signal.Signals) {
	n := w.nodes[k]
	if n.away {
		return
	}
	if _, ok := n.passedOn[i]; s.Draining && !ok {
		n.passedOn[i] = now
	}
	c := n.registry.Observe(now, name(i), s)
	if c.Draining {
		w.learn(n, []string{name(i)})
	}
	if !c.BackoffUntil.IsZero() {
		n.own.SetBackoff(i, c.BackoffUntil)
	}
}

// excused reports whether a node was in trouble of some kinds between two moments.
func (n *worldNode) excused(from, to time.Time, kinds ...string) bool {
	for _, s := range n.struck {
		if s.from.Before(to) && s.to.After(from) && strings.Contains(strings.Join(kinds, " "), s.kind) {
			return true
		}
	}
	return false
}

// check holds what reached the endpoints against the rules and the script.
func (w *world) check() error {
	for i := range w.arrivals {
		w.checkDraining(i)
		w.checkBackoff(i)
	}
	if share := float64(w.served) / float64(w.served+w.unserved); share < w.script.served {
		w.found = append(w.found, fmt.Sprintf("%.3f of the requests were served, %.3f must be", share, w.script.served))
	}
	rejected := 0
	for _, list := range w.rejections {
		rejected += len(list)
	}
	if share := float64(rejected) / float64(max(w.servedThen, 1)); w.script.rejected > 0 && share > w.script.rejected {
		w.found = append(w.found, fmt.Sprintf("%d requests were rejected, %.3f of those served meanwhile, %.3f may be", rejected, share, w.script.rejected))
	}
	if len(w.found) == 0 {
		return nil
	}
	return errors.New(strings.Join(w.found[:min(len(w.found), 5)], "\n"))
}

func (w *world) checkDraining(i int) {
	for _, d := range w.script.drains {
		announced := w.start.Add(d.at)
		for _, a := range w.arrivals[i] {
			n := w.nodes[a.node]
			if i >= d.count || a.at.Before(announced) {
				continue
			}
			if at, ok := n.passedOn[i]; ok && a.sent.Sub(at) > drainTime && !n.excused(at, a.at, "restart", "freeze") {
				w.found = append(w.found, fmt.Sprintf("%v: endpoint %d got a request of node %d sent %v after it had passed on that it drains", a.at.Sub(w.start), i, a.node, a.sent.Sub(at)))
			}
			if w.script.learned > 0 && a.sent.Sub(announced) > w.script.learned && !n.excused(announced, a.at, "cut", "restart", "freeze") {
				w.found = append(w.found, fmt.Sprintf("%v: endpoint %d got a request of node %d, %v after it began to drain", a.at.Sub(w.start), i, a.node, a.sent.Sub(announced)))
			}
		}
	}
}

func (w *world) checkBackoff(i int) {
	for _, r := range w.rejections[i] {
		count := 0
		for _, a := range w.arrivals[i] {
			if a.node == r.node && a.at.After(r.at.Add(graceTime)) && a.at.Before(r.at.Add(r.backoff)) {
				count++
			}
		}
		if count > maxInBackoff && !w.nodes[r.node].excused(r.at, r.at.Add(r.backoff), "restart", "freeze", "cut") {
			w.found = append(w.found, fmt.Sprintf("%v: endpoint %d got %d requests of node %d in the backoff that it asked for", r.at.Sub(w.start), i, count, r.node))
		}
	}
	if w.script.again > 0 && len(w.rejections[i]) > 0 {
		w.checkReturn(i)
	}
}

// checkReturn checks how soon, and how gently, an endpoint is in use again after its last backoff.
func (w *world) checkReturn(i int) {
	ends := time.Time{}
	for _, r := range w.rejections[i] {
		if end := r.at.Add(r.backoff); end.After(ends) {
			ends = end
		}
	}
	even := w.script.traffic / float64(w.script.endpoints)
	inSecond, inTenth := 0, 0
	for _, a := range w.arrivals[i] {
		if back := a.at.Sub(ends); back >= 0 && back <= w.script.again {
			inTenth = max(inTenth, w.count(i, a.at, a.at.Add(tickTime)))
			if back <= w.script.again-time.Second {
				inSecond = max(inSecond, w.count(i, a.at, a.at.Add(time.Second)))
			}
		}
	}
	if float64(inSecond) < even/2 {
		w.found = append(w.found, fmt.Sprintf("endpoint %d got at most %d requests in a second within %v of its backoff, an even share is %.1f", i, inSecond, w.script.again, even))
	}
	if w.script.herd > 0 && float64(inTenth) > w.script.herd*even {
		w.found = append(w.found, fmt.Sprintf("endpoint %d got %d requests in a tenth of a second after its backoff, an even share of a second is %.1f", i, inTenth, even))
	}
}

// count returns how many requests reached an endpoint from one moment to another.
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

// TestSignalsAreHonored guards against nodes that ignore what endpoints announce, at 7, 59 and 295
// nodes, whoever places the requests.
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
