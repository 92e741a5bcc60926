package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gradetiller.example/platform/platformtest"
)

var (
	firstSeed    = flag.Uint64("first", 1, "first seed")
	seeds        = flag.Int("seeds", 1, "how many seeds in a row")
	secondsEach  = flag.Float64("seconds", 5, "how long faults come, in seconds a seed")
	processCount = flag.Int("processes", 3, "nodes that run at once")
	clientCount  = flag.Int("clients", 12, "clients that send at once")
	logFolder    = flag.String("logs", "", "folder that keeps the nodes' logs; empty keeps them only of seeds that fail")
)

// generation is what troubles a run has. Seeds that failed are run with those of their
// time, so that they go on as they did; what came later is none of their troubles.
type generation int

const (
	// spoken runs have workers that say that they leave, and crashes for good.
	spoken generation = iota
	// alternating runs have every second worker leave without a word and every second
	// one that crashes begin anew, other writers in the list, and in the end workers that
	// leave while the readers are lost.
	alternating
	// newest runs have the troubles of the first, and beside them, by draws of their own,
	// all that came later: each a kind of its own.
	newest
	// placed runs have beside all these an evacuation of one of two zones, and a store that
	// comes back from older copies, by further draws of their own.
	placed
	// limited runs have beside all these workers that name how many requests a second they
	// take, by further draws of their own, and in the end a phase in which that is checked.
	limited
	// cold runs have beside all these workers that turn cold, by further draws of their own, and
	// in the end a phase in which what they get is checked.
	cold
	// announcing runs have beside all these workers that reject requests with a backoff, by further
	// draws of their own, and in the end a phase in which workers announce draining too.
	announcing
)

// regressions are the seeds that ever failed, with the cause. They are run each
// time, those of longRegressions only beside several other seeds: all take half a
// minute each.
var regressions = []regression{
	{521, spoken, noViewYet},
	{526, spoken, noViewYet},
	{538, spoken, noViewYet},
}

var longRegressions = []regression{
	{700, spoken, takenLate},
	{701, spoken, takenLate},
	{702, spoken, takenLate},
	{703, spoken, takenLate},
	{704, spoken, takenLate},
	{705, spoken, takenLate},
	{706, spoken, takenLate},
	{707, spoken, takenLate + "; and idle connections were closed just when their request had been read"},
	{708, spoken, takenLate},
	{709, spoken, takenLate},
	// With six nodes.
	{1044, spoken, takenTooLong},
	// With four nodes.
	{1108, alternating, hungUpEarly},
	// With five nodes.
	{3430, newest, sharedRequest},
	{3511, newest, neverBegun},
	// With four nodes, six seconds.
	{3619, newest, leftAndListed},
	// With four nodes, four seconds.
	{5002, limited, begunAlone},
	{6100, limited, hungUpAtOnce},
	{6118, limited, begunAlone},
}

type regression struct {
	seed  uint64
	of    generation
	cause string
}

const takenLate = "a node that was stopping took streams that it could not end in its grace period"

const takenTooLong = "a node that was stopping foretold a long stream too short by what many short ones had taken, and cut it before its last event"

const sharedRequest = "a request that all nodes were sent was refused as one that crashes workers, since it ran at three that had crashed, while it was served elsewhere"

const neverBegun = "a request that was sent to workers which had crashed already, by way of proxies that took its connections, was refused as one that crashes them"

const leftAndListed = "no fault of a node: a worker had left while the store was away twice and the leader of its cell was paused, which took its entry for one that had lapsed; the check did not ask whether the store was well"

const begunAlone = "no fault of a node: one that had just been started, without seeds, served before others told it what they knew; such a node is not in touch, and the check counted it"

const hungUpAtOnce = "open: SIGHUP in the first milliseconds of a process, before the program can take it, ends it"

const hungUpEarly = "likely: a node that got SIGHUP before it had read its settings ended without a line"

const noViewYet = "a node that was sent work before its first list of endpoints ended with a nil pointer"

// run is one seed's whole system.
type run struct {
	t    *testing.T
	of   generation
	rand *rand.Rand
	// later draws the troubles that came later.
	later *rand.Rand
	// restores draws when the store comes back from a copy, limits which workers name what.
	restores *rand.Rand
	limits   *rand.Rand
	colds    *rand.Rand
	signals  *rand.Rand
	signaled signaled
	limited  []limitedWorker
	cooled   []cooled
	excuses  []excuse
	operator operator
	site     *platformtest.Site
	proxies  *proxies
	nodes    []*process
	record   record
	config   platformtest.Config
	workers  map[string][]*platformtest.Worker
	retired  []retired
	crashes  int
	// storeTroubles are when something was wrong with the store or the way to it.
	storeTroubles spans
	poisons       *poisons
	// leaving are the workers that left while the readers were lost.
	leaving []*platformtest.Worker
	// unplanned counts the faults in force that are no planned work, and
	// lastUnplanned is when the last one ended.
	unplanned     atomic.Int64
	lastUnplanned atomic.Int64
	// begun counts all faults so far that are no planned work.
	begun atomic.Int64
	// killedLate counts planned stops that outlasted the grace period.
	killedLate atomic.Int64
	probes     atomic.Int64
	failures   []string
	// afterwards ends the trouble that is being started, or is nil.
	afterwards func()
	// found are failures that were seen while troubles came.
	foundMu sync.Mutex
	found   []string
	// calmSince is when the last fault ended that was no planned work.
	calmSince time.Time
}

// retired is a worker that has left, with or without a word.
type retired struct {
	worker *platformtest.Worker
	at     time.Time
}

const (
	// grace is the time between SIGTERM and SIGKILL.
	grace = 5 * time.Second
	// unanswered is how long after it was sent a request without an answer has
	// been read for certain: one that crosses the close of its connection ends
	// at once. It is generous, since the machine may be busy.
	unanswered = 2 * time.Second
	// settled is how long after the last unplanned fault only planned work
	// counts as under way.
	settled = 4 * time.Second
	// drained is how long after the store has taken that a worker leaves nothing may
	// reach it any more; it is generous, since the machine may be busy.
	drained  = 8 * time.Second
	healTime = 5 * time.Second
	// mostSeeds is how many seeds a node's settings name.
	mostSeeds = 3
)

// TestSoak runs the seeds asked for, and each seed that ever failed.
func TestSoak(t *testing.T) {
	program := build(t, t.TempDir())
	list := regressions
	if *seeds > 1 {
		list = slices.Concat(regressions, longRegressions)
	}
	for i := range *seeds {
		list = append(list, regression{seed: *firstSeed + uint64(i), of: announcing})
	}
	for _, c := range list {
		t.Run(fmt.Sprintf("seed-%d", c.seed), func(t *testing.T) { soak(t, program, c) })
	}
}

func soak(t *testing.T, program string, c regression) {
	r := newRun(t, program, c)
	clients, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	for i := range *clientCount {
		c := newClient(r, c.seed, i)
		sending.Go(func() { c.loop(clients) })
	}
	lasts := time.Duration(*secondsEach * float64(time.Second))
	r.poisons = newPoisons(r.site, r.fronts(), c.seed, c.of.poisons())
	sending.Go(func() { r.poisons.send(clients, lasts/2) })
	if r.of >= placed {
		time.AfterFunc(lasts/4, r.evacuate)
	}
	r.trouble(lasts)
	time.Sleep(healTime)
	r.awaitConfig()
	if r.of >= placed {
		r.endEvacuation()
	}
	if r.of != spoken {
		r.leaveWithReadersLost()
		r.awaitConfig()
	}
	if r.of >= limited {
		r.limitWorkers()
		r.awaitConfig()
	}
	if r.of >= cold {
		r.coolWorkers()
	}
	if r.of >= announcing {
		r.signalWorkers()
		r.awaitConfig()
	}
	r.rollAll()
	stop()
	sending.Wait()
	r.failures = append(r.failures, r.poisons.settle()...)
	r.check()
	if len(r.failures) > 0 {
		t.Errorf("seed %d, logs in %s:\n%s", c.seed, r.nodes[0].logs, strings.Join(r.failures, "\n"))
	}
}

// poisons is how many requests that crash workers a run has.
func (g generation) poisons() int {
	if g >= newest {
		return *poisonCount
	}
	return 0
}

func newRun(t *testing.T, program string, c regression) *run {
	r := &run{t: t, of: c.of, rand: rand.New(rand.NewPCG(c.seed, 0)), later: rand.New(rand.NewPCG(c.seed, laterSeed)), restores: rand.New(rand.NewPCG(c.seed, restoresSeed)), limits: rand.New(rand.NewPCG(c.seed, limitsSeed)), colds: rand.New(rand.NewPCG(c.seed, coldSeed)), signals: rand.New(rand.NewPCG(c.seed, signalsSeed)), workers: make(map[string][]*platformtest.Worker)}
	r.proxies = &proxies{t: t, list: make(map[string]*proxy)}
	r.site = platformtest.NewSite(t)
	r.site.ProxyAddress = r.proxies.through
	r.site.GracePeriod, r.site.TokensPerEvent, r.site.EventInterval = grace, eventTokens, eventPause
	r.config = platformtest.Config{
		Version: 1, Keys: map[string]string{apiKey: account}, Models: []string{"model"}, Stages: []string{"encode", "rank"},
		Routes: append(deskRoutes(), platformtest.Route{Prefix: versionPath(1), Kind: "safe", Service: "desk"}),
	}
	if r.of >= cold {
		r.config.ColdPerSecond = coldPerSecond
	}
	r.site.Publish(r.config)
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		r.workers[service] = r.firstWorkers(service)
	}
	if r.of != spoken {
		for i, text := range otherEntries {
			r.site.Store.PutEntry(fmt.Sprintf("other-%d", i), []byte(text))
		}
	}
	r.startNodes(program, c.seed)
	return r
}

// otherEntries are entries of another writer in the list of workers: none names a worker
// to use.
var otherEntries = []string{
	"", "{", "[1]", "7", `{}`, `{"service":"desk","slots":"many"}`,
	`{"service":"desk","addr":"127.0.0.1:1","zone":"zone-a","slots":4,"state":"paused"}`,
	`{"service":"model","addr":"nowhere","zone":"zone-a","slots":4,"state":"ready"}`,
}

// deskRoutes are routes whose timeouts never come before the client's deadline.
func deskRoutes() []platformtest.Route {
	routes := platformtest.SampleRoutes()
	for i := range routes {
		routes[i].Timeout = 2 * clientDeadline
	}
	return routes
}

// fronts lists where clients reach the nodes.
func (r *run) fronts() []string {
	var list []string
	for _, p := range r.nodes {
		list = append(list, r.proxies.through(p.Front))
	}
	return list
}

func versionPath(version uint64) string { return fmt.Sprintf("/v/%d/", version) }

func (r *run) startNodes(program string, seed uint64) {
	logs := *logFolder
	if logs == "" {
		logs = os.TempDir()
	}
	logs = filepath.Join(logs, fmt.Sprintf("gradetiller-soak-%d-%d", os.Getpid(), seed))
	if err := os.MkdirAll(logs, 0o700); err != nil {
		r.t.Fatal(err)
	}
	var known []string
	for i := range *processCount {
		text, addresses := r.site.Settings(known...)
		p := &process{
			Addresses: addresses, t: r.t, name: fmt.Sprintf("node-%d", i+1), program: program, logs: logs, grace: grace,
			settings: r.site.WriteSettings(text), peer: r.proxies.through(addresses.Peer),
		}
		known = append(known, p.peer)
		r.nodes = append(r.nodes, p)
		p.start()
	}
	r.t.Cleanup(func() {
		for _, p := range r.nodes {
			p.end(syscall.SIGKILL)
		}
		if *logFolder == "" && !r.t.Failed() {
			_ = os.RemoveAll(logs)
		}
	})
	for _, p := range r.nodes {
		r.awaitReady(p)
	}
	if r.of >= cold {
		r.giveSeeds(known)
	}
}

// noSeeds is how settings without seeds end.
const noSeeds = "seeds: []"

// giveSeeds writes the addresses of some others into the settings of the node that began as the
// first of all, for its next start. Where nodes run, all of them have seeds then: one that has
// none takes itself for the only one, and serves before any other has told it anything.
func (r *run) giveSeeds(addresses []string) {
	for _, p := range r.nodes {
		text, err := os.ReadFile(p.settings)
		if err != nil {
			r.t.Fatal(err)
		}
		others := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == p.peer })
		list := `seeds: ["` + strings.Join(others[:min(len(others), mostSeeds)], `", "`) + `"]`
		if err := os.WriteFile(p.settings, []byte(strings.Replace(string(text), noSeeds, list, 1)), 0o600); err != nil {
			r.t.Fatal(err)
		}
	}
}

// awaitReady waits until a node serves; the bound is generous because no
// verdict depends on speed.
func (r *run) awaitReady(p *process) {
	for range 3000 {
		if platformtest.Ready(p.Ready) == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("%s does not become ready, logs in %s, ends by itself: %v", p.name, p.logs, p.ownEnds())
}

func (r *run) fail(format string, values ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, values...))
}

// failLater notes a failure from any goroutine.
func (r *run) failLater(text string) {
	r.foundMu.Lock()
	defer r.foundMu.Unlock()
	r.found = append(r.found, text)
}

// onlyPlanned reports whether no unplanned fault is in force or was lately.
func (r *run) onlyPlanned() bool {
	return r.unplanned.Load() == 0 && time.Since(time.UnixMilli(r.lastUnplanned.Load())) > settled
}

// calmAt reports whether a moment lies some time after the last unplanned fault of the run.
func (r *run) calmAt(at time.Time) bool {
	r.foundMu.Lock()
	defer r.foundMu.Unlock()
	return at.Sub(r.calmSince) > settled
}

func (r *run) beginUnplanned() {
	r.begun.Add(1)
	r.unplanned.Add(1)
}

func (r *run) endUnplanned() {
	r.lastUnplanned.Store(time.Now().UnixMilli())
	r.foundMu.Lock()
	r.calmSince = time.Now()
	r.foundMu.Unlock()
	r.unplanned.Add(-1)
}
