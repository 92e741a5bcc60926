package rollout_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/core/rollout"
	"gradetiller.example/internal/scripted"
	"gradetiller.example/internal/simulated"
)

// route is the behavior of one route's requests at the old version.
type route struct {
	name    string
	share   float64
	fails   float64
	latency time.Duration
}

// defect is what is wrong with the new version: from a time on, on a route or on all ("*"), only
// while it gets at least a rate of requests.
type defect struct {
	from    time.Duration
	route   string
	fails   float64
	slower  float64
	minRate float64
}

// script is a rollout, read from a file. Its lines:
//
//	rate N                          requests per second of all nodes
//	lasts D                         time from the order to its deadline
//	route NAME share S fails F takes D
//	bad from D route R fails F slower X [above N]   with above, only at N or more requests a second
//	lost decider at D               the deciding node is lost
//	at D cut F for E                separates a fraction of the nodes from all others
//	burst from D times X            the traffic from then on
//	ends complete | reverted | any  the expected end
type script struct {
	rate      float64
	lasts     time.Duration
	routes    []route
	defects   []defect
	lostAt    []time.Duration
	cutAt     time.Duration
	cutFor    time.Duration
	cutPart   float64
	burstFrom time.Duration
	burst     float64
	ends      rollout.Phase
	endsAny   bool
}

func readScript(t *testing.T, path string) script {
	t.Helper()
	s := script{burst: 1}
	scripted.Read(t, path, s.line)
	return s
}

func (s *script) line(words []string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%q: %v", strings.Join(words, " "), r)
		}
	}()
	switch words[0] {
	case "rate":
		s.rate = number(words[1])
	case "lasts":
		s.lasts = duration(words[1])
	case "route":
		s.routes = append(s.routes, route{name: words[1], share: number(words[3]), fails: number(words[5]), latency: duration(words[7])})
	case "bad":
		d := defect{from: duration(words[2]), route: words[4], fails: number(words[6]), slower: number(words[8])}
		if len(words) > 9 {
			d.minRate = number(words[10])
		}
		s.defects = append(s.defects, d)
	case "lost":
		s.lostAt = append(s.lostAt, duration(words[3]))
	case "at":
		s.cutAt, s.cutPart, s.cutFor = duration(words[1]), number(words[3]), duration(words[5])
	case "burst":
		s.burstFrom, s.burst = duration(words[2]), number(words[4])
	case "ends":
		s.endsAny = words[1] == "any"
		s.ends = map[string]rollout.Phase{"complete": rollout.Complete, "reverted": rollout.Reverted}[words[1]]
	default:
		return fmt.Errorf("unknown line %q", words[0])
	}
	return nil
}

func number(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return f
}

func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}

// The bounds on what a bad version gets, and the time after its 50th bad answer from which on it
// gets nothing.
const (
	canaryShare  = 0.1
	canarySlack  = 50
	maxBad       = 50
	rollbackTime = 5 * time.Second
	// messageTime is the time of a message between nodes, and failoverTime that until all nodes
	// use another decider.
	messageTime  = 3 * time.Millisecond
	failoverTime = time.Second
)

type node struct {
	name       string
	recorder   rollout.Recorder
	unfinished int
	stage      rollout.Stage
	heardAt    time.Time
	known      rollout.Phase
	lost, cut  bool
}

// world simulates nodes that carry out one rollout.
type world struct {
	script  script
	start   time.Time
	rand    *rand.Rand
	events  simulated.Queue
	nodes   []*node
	decider int
	state   *rollout.Decider
	// failedOver is when the present decider took over.
	failedOver time.Time

	sent, sentNew   int
	badAnswers      int
	fiftiethAt      time.Time
	late            int
	recentNew       []time.Time
	ended           rollout.Phase
	endedAt         time.Time
	cutAtCompletion int
}

func newWorld(s script, nodes int, seed uint64) *world {
	w := &world{script: s, start: time.Unix(7000, 0), rand: rand.New(rand.NewPCG(seed, 1))}
	for k := range nodes {
		w.nodes = append(w.nodes, &node{name: "n" + strconv.Itoa(k)})
	}
	w.state = w.newDecider()
	return w
}

func (w *world) newDecider() *rollout.Decider {
	order := rollout.Order{Service: "s", Version: "v2", Duration: w.script.lasts, Revision: 5}
	return rollout.NewDecider(order, rollout.Limits{Share: canaryShare, Slack: canarySlack}, w.start)
}

func (w *world) play() {
	for k := range w.nodes {
		w.events.At(w.start.Add(time.Duration(w.rand.Int64N(int64(rollout.ReportInterval)))), func(now time.Time) { w.report(now, k) })
	}
	for _, at := range w.script.lostAt {
		w.events.At(w.start.Add(at), w.loseDecider)
	}
	if w.script.cutPart > 0 {
		w.events.At(w.start.Add(w.script.cutAt), w.cut)
	}
	w.events.At(w.start, w.request)
	w.events.Run(w.start.Add(w.script.lasts + time.Second))
}

func (w *world) loseDecider(now time.Time) {
	w.nodes[w.decider].lost = true
	for w.nodes[w.decider].lost || w.nodes[w.decider].cut {
		w.decider++
	}
	w.state, w.failedOver = w.newDecider(), now.Add(failoverTime)
}

func (w *world) cut(now time.Time) {
	for k, n := range w.nodes {
		if k != w.decider && w.rand.Float64() < w.script.cutPart {
			n.cut = true
			w.events.At(now.Add(w.script.cutFor), func(time.Time) { n.cut = false })
		}
	}
}

// report sends a node's counts to the decider, which answers with its stage.
func (w *world) report(now time.Time, k int) {
	n := w.nodes[k]
	w.events.At(now.Add(rollout.ReportInterval), func(now time.Time) { w.report(now, k) })
	if n.lost || n.cut || now.Before(w.failedOver) {
		return
	}
	counts, unfinished, known, to := n.recorder.Report(), n.unfinished, n.known, w.state
	w.events.At(now.Add(messageTime), func(now time.Time) {
		if to != w.state {
			return
		}
		to.Merge(now, n.name, 1, counts, unfinished, known)
		stage := w.decide(now)
		w.events.At(now.Add(messageTime), func(now time.Time) {
			n.stage, n.heardAt, n.known = stage, now, max(n.known, stage.Phase)
		})
	})
}

// decide returns the decider's stage, and ends the rollout once it may be.
func (w *world) decide(now time.Time) rollout.Stage {
	stage := w.state.Decide(now)
	if w.state.MayComplete(now) {
		w.state.Advance(rollout.Complete)
		stage.Phase = rollout.Complete
	}
	if stage.Phase.Final() && !w.ended.Final() {
		w.ended, w.endedAt = stage.Phase, now
		for _, n := range w.nodes {
			w.cutAtCompletion += n.unfinished
		}
	}
	return stage
}

// request sends one request of a random node and schedules the next one.
func (w *world) request(now time.Time) {
	rate := w.script.rate
	if w.script.burst != 1 && now.Sub(w.start) >= w.script.burstFrom {
		rate *= w.script.burst
	}
	w.events.At(now.Add(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second))), w.request)
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	if n.lost {
		return
	}
	arm := rollout.Old
	if n.known == rollout.Complete || now.Sub(n.heardAt) < rollout.StatementTTL {
		arm = n.stage.Arm(strconv.FormatUint(w.rand.Uint64(), 16))
	}
	if arm == rollout.Any {
		arm = rollout.New
	}
	inTime := now.Sub(w.start) < w.script.lasts
	if inTime {
		w.sent++
	}
	if arm == rollout.New && inTime {
		w.sentNew++
		if !w.fiftiethAt.IsZero() && now.Sub(w.fiftiethAt) > rollbackTime {
			w.late++
		}
	}
	w.run(now, n, arm)
}

// run answers a request as the endpoints of an arm would.
func (w *world) run(now time.Time, n *node, arm rollout.Arm) {
	r := w.route()
	fails, latency := r.fails, float64(r.latency)
	for _, d := range w.script.defects {
		if arm == rollout.New && now.Sub(w.start) >= d.from && (d.route == "*" || d.route == r.name) && w.newRate(now) >= d.minRate {
			fails = max(fails, d.fails)
			latency *= d.slower
		}
	}
	if arm == rollout.New {
		w.recentNew = append(w.recentNew, now)
	} else {
		n.unfinished++
	}
	failed := w.rand.Float64() < fails
	took := time.Duration(latency * (0.6 + 0.8*w.rand.Float64()))
	w.events.At(now.Add(took), func(now time.Time) {
		if arm == rollout.Old {
			n.unfinished--
		}
		if arm == rollout.New && (failed && fails > r.fails || latency >= 2.5*float64(r.latency)) {
			if w.badAnswers++; w.badAnswers == maxBad {
				w.fiftiethAt = now
			}
		}
		n.recorder.Record(rollout.Key{Route: r.name, Arm: arm}, rollout.Result{OK: !failed, Latency: took})
	})
}

func (w *world) route() route {
	draw := w.rand.Float64()
	for _, r := range w.script.routes {
		if draw -= r.share; draw < 0 {
			return r
		}
	}
	return w.script.routes[0]
}

// newRate returns the requests of the last second to the new version.
func (w *world) newRate(now time.Time) float64 {
	for len(w.recentNew) > 0 && now.Sub(w.recentNew[0]) > time.Second {
		w.recentNew = w.recentNew[1:]
	}
	return float64(len(w.recentNew))
}

func (w *world) check(t *testing.T, seed uint64) {
	t.Helper()
	t.Logf("seed %d: %v after %v, %d of %d requests to the new version, %d bad answers, %d requests unfinished at the end", seed, w.ended, w.endedAt.Sub(w.start).Round(10*time.Millisecond), w.sentNew, w.sent, w.badAnswers, w.cutAtCompletion)
	if !w.ended.Final() || w.endedAt.Sub(w.start) > w.script.lasts || !w.script.endsAny && w.ended != w.script.ends {
		t.Errorf("seed %d: ended as %v after %v, want %v within %v", seed, w.ended, w.endedAt.Sub(w.start), w.script.ends, w.script.lasts)
	}
	if len(w.script.defects) == 0 {
		return
	}
	if allowed := canaryShare*float64(w.sent) + canarySlack; float64(w.sentNew) > allowed {
		t.Errorf("seed %d: a bad version got %d of %d requests, want at most %.0f", seed, w.sentNew, w.sent, allowed)
	}
	if w.late > 0 {
		t.Errorf("seed %d: a bad version got %d requests later than %v after its bad answer number %d", seed, w.late, rollbackTime, maxBad)
	}
}

var seeds = flag.Int("seeds", 2, "seeds with which each script is played")

// TestExposure guards against a bad version that gets more than its share of the requests, or that
// is used after its answers showed what it is, and against a good one that is not completed in time.
func TestExposure(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		s := readScript(t, file)
		for _, nodes := range []int{7, 62, 295} {
			t.Run(fmt.Sprintf("%s-%d", strings.TrimSuffix(filepath.Base(file), ".txt"), nodes), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(*seeds) {
					w := newWorld(s, nodes, seed)
					w.play()
					w.check(t, seed)
				}
			})
		}
	}
}
