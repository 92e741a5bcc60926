package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/simulated"
)

const (
	// limitTick is how often nodes tend what they know, beat how often they tell their
	// neighbors, and urgent how soon after the last news they tell what is new.
	limitTick = 100 * time.Millisecond
	beat      = time.Second
	urgent    = 300 * time.Millisecond
	// lostKnown is how long after the loss of a leader the next one is asked, and crowding
	// how long that one leaves room for the other.
	lostKnown = time.Second
	crowding  = 6 * time.Second
	mostTold  = 128
)

// limitNode is a node of a limitWorld.
type limitNode struct {
	limits *signal.Limits
	chosen *place.Pool // by itself
	placed *place.Pool // for all others, when it leads
	leads  bool
	// since is when it began to lead.
	since      time.Time
	away       bool // frozen or not running
	part       int  // nodes reach those of the same part
	troubled   time.Time
	untold     bool
	told       time.Time
	dirty      bool
	firstHeard map[int]time.Time
}

// arrival is a request that reached a limited endpoint.
type arrival struct {
	at       time.Time
	node     int
	troubled bool
}

// limitWorld is some nodes before one service of which some endpoints name what they take.
type limitWorld struct {
	script   script
	start    time.Time
	rand     *rand.Rand
	nodes    []*limitNode
	events   simulated.Queue
	arrivals [][]arrival
	served   int
	unserved int
}

func newLimitWorld(s script, count int, seed uint64) *limitWorld {
	w := &limitWorld{script: s, start: time.Unix(5000, 0), rand: rand.New(rand.NewPCG(seed, 2)), arrivals: make([][]arrival, s.limited)}
	for range count {
		w.nodes = append(w.nodes, &limitNode{})
	}
	for k := range w.nodes {
		w.begin(k)
	}
	return w
}

func (w *limitWorld) after(at time.Time, do func(time.Time)) {
	w.events.At(at, do)
}

// begin has a node begin without any knowledge.
func (w *limitWorld) begin(k int) {
	n := w.nodes[k]
	seed := w.rand.Uint64()
	own, err := place.NewPool("predicted_finish", seed)
	if err != nil {
		panic(err)
	}
	led, err := place.NewPool(place.LeastWork, seed)
	if err != nil {
		panic(err)
	}
	*n = limitNode{limits: signal.NewLimits(), chosen: own, placed: led, part: n.part, troubled: n.troubled, firstHeard: make(map[int]time.Time)}
	w.pace(k)
}

// pace puts in force what a node may send.
func (w *limitWorld) pace(k int) {
	n := w.nodes[k]
	n.dirty = false
	if w.script.placing != intake.ByLeaders {
		n.chosen.Update(w.specs(n, func(endpoint string) intake.Share {
			return intake.NodeShare(w.script.placing, k, len(w.nodes), endpoint)
		}))
	}
	if n.leads {
		part := intake.LeaderShare(w.script.placing, 1, 1, n.since.Add(crowding))
		n.placed.Update(w.specs(n, func(string) intake.Share { return part }))
	}
}

// specs are the endpoints as a node knows them, with its part of what each takes.
func (w *limitWorld) specs(n *limitNode, part func(endpoint string) intake.Share) []place.Spec {
	list := make([]place.Spec, w.script.endpoints)
	for i := range list {
		endpoint := name(i)
		list[i] = place.Spec{Name: endpoint, Slots: 64, Pace: intake.NewPace(n.limits.Bound(endpoint), part(endpoint))}
	}
	return list
}

// play runs the script.
func (w *limitWorld) play() {
	end := w.start.Add(w.script.lasts)
	for k := range w.nodes {
		w.after(w.start.Add(time.Duration(w.rand.Int64N(int64(limitTick)))), func(now time.Time) { w.tick(now, k, now) })
	}
	for _, t := range w.script.troubles {
		w.after(w.start.Add(t.at), func(now time.Time) { w.trouble(now, t) })
	}
	w.after(w.start, w.request)
	w.events.Run(end)
}

// trouble strikes some nodes, and ends.
func (w *limitWorld) trouble(now time.Time, t trouble) {
	var struck []int
	switch t.part {
	case "leader":
		struck = []int{w.leader(0)}
	default:
		for k := range w.nodes {
			if w.rand.Float64() < number(t.part) {
				struck = append(struck, k)
			}
		}
	}
	for _, k := range struck {
		n := w.nodes[k]
		n.troubled = now.Add(t.lasts + intaketest.GracePeriod)
		if t.kind == "cut" {
			n.part = 1
			w.after(now.Add(t.lasts), func(time.Time) { n.part = 0 })
			continue
		}
		n.away = true
		w.after(now.Add(t.lasts), func(time.Time) {
			n.away = false
			if t.kind == "restart" {
				w.begin(k)
			}
		})
	}
}

// leader is the node that places for those of a part.
func (w *limitWorld) leader(part int) int {
	for k, n := range w.nodes {
		if !n.away && n.part == part {
			return k
		}
	}
	return 0
}

// tick tends what a node knows, and has it tell its neighbors.
func (w *limitWorld) tick(now time.Time, k int, beaten time.Time) {
	n := w.nodes[k]
	if !n.away {
		n.limits.Expire(now)
		if n.dirty {
			w.pace(k)
		}
		if n.untold && now.Sub(n.told) >= urgent || now.Sub(beaten) >= beat {
			n.untold, n.told, beaten = false, now, now
			for _, to := range w.neighbors(k) {
				w.tell(now, k, to)
			}
		}
	}
	w.after(now.Add(limitTick), func(now time.Time) { w.tick(now, k, beaten) })
}

// neighbors are those whom a node tells, as in the membership's ring.
func (w *limitWorld) neighbors(k int) []int {
	var list []int
	size := len(w.nodes)
	for _, d := range []int{1, 2, 7, 17, 71} {
		if d < size {
			list = append(list, (k+d)%size, (k-d+size)%size)
		}
	}
	return list
}

// tell has a node tell another one what is new, and the other answer what it lacks.
func (w *limitWorld) tell(now time.Time, from, to int) {
	a := w.nodes[from]
	news, sum := a.limits.Updates(now, name(to), mostTold), a.limits.Sum()
	w.after(now.Add(2*time.Millisecond), func(now time.Time) {
		b := w.nodes[to]
		if b.away || a.part != b.part {
			return
		}
		w.changed(b, len(b.limits.Merge(now, news)) > 0)
		if b.limits.Differs(now, name(from), sum) {
			w.changed(a, len(a.limits.Merge(now, b.limits.Updates(now, name(from), mostTold))) > 0)
		}
	})
}

func (w *limitWorld) changed(n *limitNode, changed bool) {
	if changed {
		n.untold, n.dirty = true, true
	}
}

// request has the next request come to a node.
func (w *limitWorld) request(now time.Time) {
	k := w.rand.IntN(len(w.nodes))
	if !w.nodes[k].away {
		w.send(now, k)
	}
	w.after(now.Add(time.Duration(w.rand.ExpFloat64()/w.script.traffic*float64(time.Second))), w.request)
}

// send has a node's request sent to the endpoint that it, or its leader, chooses.
func (w *limitWorld) send(now time.Time, k int) {
	n := w.nodes[k]
	pool := n.chosen
	if w.script.placing == intake.ByLeaders || w.script.placing == intake.ByBoth && w.rand.Float64() < w.script.mix {
		first := w.leader(n.part)
		leads := w.nodes[first]
		if !leads.leads {
			// The loss of the one before takes a while to be known.
			leads.leads, leads.since = true, now
			if now.Sub(w.start) > lostKnown {
				leads.since = now.Add(lostKnown)
			}
			w.pace(first)
		}
		if now.Before(leads.since) {
			w.unserved++
			return
		}
		pool = leads.placed
	}
	i, ok := pool.Choose(now, place.Request{Exclude: place.None})
	if !ok {
		w.unserved++
		return
	}
	w.served++
	work := pool.Start(now, i, place.Request{})
	arrives := now.Add(time.Millisecond)
	if w.rand.IntN(40) == 0 {
		arrives = arrives.Add(200 * time.Millisecond)
	}
	if i < w.script.limited {
		w.arrivals[i] = append(w.arrivals[i], arrival{at: arrives, node: k, troubled: arrives.Before(n.troubled)})
	}
	// The answer's head comes soon, and tells the endpoint's word of that moment.
	head := arrives.Add(time.Duration(50+w.rand.IntN(300)) * time.Millisecond)
	w.after(head, func(now time.Time) { w.hear(now, n, i) })
	took := time.Duration(800+w.rand.IntN(400)) * time.Millisecond
	w.after(now.Add(took), func(now time.Time) { pool.Finish(now, i, place.Result{OK: true, Work: work, Took: took}) })
}

// hear takes in what an endpoint's answer says.
func (w *limitWorld) hear(now time.Time, n *limitNode, i int) {
	if n.away {
		return
	}
	rate := intake.Rate{}
	if named := w.script.named(now.Sub(w.start)); i < w.script.limited && named >= 0 {
		rate, _ = intake.NewRate(named)
		if _, ok := n.firstHeard[i]; !ok {
			n.firstHeard[i] = now
		}
	}
	_, changed := n.limits.Observe(now, name(i), rate)
	w.changed(n, changed)
}

// judge holds what the limited endpoints got against what they named.
func (w *limitWorld) judge(t *testing.T, seed uint64) {
	worst, worstOfAll, sent, named := 0.0, 0.0, 0, 0.0
	for i, list := range w.arrivals {
		for k := range list {
			at := list[k].at.Sub(w.start)
			allowed, ok := w.script.allowed(at)
			if !ok {
				continue
			}
			told, all := w.counted(i, k)
			if told > allowed {
				t.Errorf("seed %d: %v: endpoint %d got %d requests in %v of nodes that were told, %d are allowed", seed, at, i, told, intaketest.Span, allowed)
				return
			}
			if all > allowed {
				t.Errorf("seed %d: %v: endpoint %d got %d requests in %v of all nodes, %d are allowed", seed, at, i, all, intaketest.Span, allowed)
				return
			}
			worst = max(worst, float64(told)/float64(allowed))
			worstOfAll = max(worstOfAll, float64(all)/float64(allowed))
		}
		for _, a := range list {
			if w.settled(a.at.Sub(w.start)) {
				sent++
			}
		}
	}
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < w.script.lasts; at += step {
		if w.settled(at) {
			named += w.script.named(at) * step.Seconds() * float64(w.script.limited)
		}
	}
	used := float64(sent) / named
	t.Logf("seed %d: at most %.2f of what is allowed (%.2f of all nodes), %.2f of what is named used, %d served, %d not", seed, worst, worstOfAll, used, w.served, w.unserved)
	if used < w.script.used {
		t.Errorf("seed %d: %.2f of what is named were used, %.2f must be", seed, used, w.script.used)
	}
	if w.script.again > 0 {
		slowest := w.slowestReturn()
		t.Logf("seed %d: an even share again within %v", seed, slowest.Round(100*time.Millisecond))
		if slowest > w.script.again {
			t.Errorf("seed %d: an even share again after %v, %v are allowed", seed, slowest, w.script.again)
		}
	}
	if w.unserved > 0 && !w.script.refused {
		t.Errorf("seed %d: %d requests found no endpoint", seed, w.unserved)
	}
}

// counted is how many requests reached an endpoint in the span before one of them, of nodes
// that were told, and of all nodes that were not in trouble. Those that came before the word
// could be told to all, or within intaketest.Told of its return, do not count among the latter.
func (w *limitWorld) counted(i, last int) (told, all int) {
	list := w.arrivals[i]
	known := w.start.Add(w.script.words[0].at + intaketest.GracePeriod/2)
	for k := last; k >= 0 && list[last].at.Sub(list[k].at) <= intaketest.Span; k-- {
		if list[k].troubled || w.script.named(list[k].at.Sub(w.start)) < 0 {
			continue
		}
		heard, ok := w.nodes[list[k].node].firstHeard[i]
		if ok && list[k].at.Sub(heard) >= intaketest.NodeReactionTime {
			told++
		}
		if list[k].at.After(known) && w.script.named(list[k].at.Sub(w.start)-intaketest.NodeReactionTime) >= 0 {
			all++
		}
	}
	return told, all
}

// settled reports whether the endpoints have named the same rate for so long that all of it
// may be used.
func (w *limitWorld) settled(at time.Duration) bool {
	rate := w.script.named(at)
	return rate > 0 && rate == w.script.named(max(at-8*time.Second, 0)) && at > w.script.words[0].at+8*time.Second
}

// slowestReturn is how long after the end of its last word the last of the limited endpoints
// gets most of an even share of the traffic in a second.
func (w *limitWorld) slowestReturn() time.Duration {
	const most = 0.8
	words := w.script.words
	ended := w.start.Add(words[len(words)-1].at)
	share := int(most * w.script.traffic / float64(w.script.endpoints))
	slowest := time.Duration(0)
	for _, list := range w.arrivals {
		returned := w.script.lasts
		for k := share - 1; k < len(list); k++ {
			at := list[k].at
			if list[k-share+1].at.After(ended) && at.Sub(list[k-share+1].at) <= time.Second {
				returned = at.Sub(ended)
				break
			}
		}
		slowest = max(slowest, returned)
	}
	return slowest
}
