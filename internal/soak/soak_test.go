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

// faultSet is what troubles a run has. Seeds that failed are run with those of their
// time, so that they go on as they did; what came later is none of their troubles.
type faultSet int

const (
	// baseFaults runs have workers that say that they leave, and crashes for good.
	baseFaults faultSet = iota
	// alternatingFaults runs have every second worker leave without a word and every second
	// one that crashes begin anew, other writers in the list, and in the end workers that
	// leave while the readers are lost.
	alternatingFaults
	// restartFaults runs have the troubles of the first, and beside them, by draws of their own,
	// all that came later: each a kind of its own.
	restartFaults
	// evacuationFaults runs have beside all these an evacuation of one of two zones, and a store that
	// comes back from older copies, by further draws of their own.
	evacuationFaults
	// rateLimitFaults runs have beside all these workers that name how many requests a second they
	// take, by further draws of their own, and in the end a phase in which that is checked.
	rateLimitFaults
	// coldFaults runs have beside all these workers that turn cold, by further draws of their own, and
	// in the end a phase in which what they get is checked.
	coldFaults
	// signalFaults runs have beside all these workers that reject requests with a backoff, by further
	// draws of their own, and in the end a phase in which workers announce draining too.
	signalFaults
)

// regressions are the seeds that ever failed, with the cause. They are run each
// time, those of longRegressions only beside several other seeds: all take half a
// minute each.
var regressions = []regression{
	{521, baseFaults, causeNoEndpointList},
	{526, baseFaults, causeNoEndpointList},
	{538, baseFaults, causeNoEndpointList},
}

var longRegressions = []regression{
	{700, baseFaults, causeLateStream},
	{701, baseFaults, causeLateStream},
	{702, baseFaults, causeLateStream},
	{703, baseFaults, causeLateStream},
	{704, baseFaults, causeLateStream},
	{705, baseFaults, causeLateStream},
	{706, baseFaults, causeLateStream},
	{707, baseFaults, causeLateStream + "; and idle connections were closed just when their request had been read"},
	{708, baseFaults, causeLateStream},
	{709, baseFaults, causeLateStream},
	// With six nodes.
	{1044, baseFaults, causeStreamUnderestimated},
	// With four nodes.
	{1108, alternatingFaults, causeSIGHUPBeforeSettings},
	// With five nodes.
	{3430, restartFaults, causeServedElsewhere},
	{3511, restartFaults, causeNeverExecuted},
	// With four nodes, six seconds.
	{3619, restartFaults, causeStoreUnavailable},
	// With four nodes, four seconds.
	{5002, rateLimitFaults, causeStartedWithoutSeeds},
	{6100, rateLimitFaults, causeSIGHUPAtStart},
	{6118, rateLimitFaults, causeStartedWithoutSeeds},
}

type regression struct {
	seed   uint64
	faults faultSet
	cause  string
}

const causeLateStream = "a node that was stopping took streams that it could not end in its grace period"

const causeStreamUnderestimated = "a node that was stopping foretold a long stream too short by what many short ones had taken, and cut it before its last event"

const causeServedElsewhere = "a request that all nodes were sent was refused as one that crashes workers, since it ran at three that had crashed, while it was served elsewhere"

const causeNeverExecuted = "a request that was sent to workers which had crashed already, by way of proxies that took its connections, was refused as one that crashes them"

const causeStoreUnavailable = "no fault of a node: a worker had left while the store was away twice and the leader of its cell was paused, which took its entry for one that had lapsed; the check did not ask whether the store was well"

const causeStartedWithoutSeeds = "no fault of a node: one that had just been started, without seeds, served before others told it what they knew; such a node is not in touch, and the check counted it"

const causeSIGHUPAtStart = "open: SIGHUP in the first milliseconds of a process, before the program can take it, ends it"

const causeSIGHUPBeforeSettings = "likely: a node that got SIGHUP before it had read its settings ended without a line"

const causeNoEndpointList = "a node that was sent work before its first list of endpoints ended with a nil pointer"

// run is one seed's whole system.
type run struct {
	t      *testing.T
	faults faultSet
	rand   *rand.Rand
	// laterRand draws the troubles that came later.
	laterRand *rand.Rand
	// restoreRand draws when the store comes back from a copy, limits which workers name what.
	restoreRand *rand.Rand
	limitRand   *rand.Rand
	coldRand    *rand.Rand
	signalRand  *rand.Rand
	signalPhase signalPhase
	rateLimited []rateLimitedWorker
	coldWorkers []coldWorker
	excuses     []excuse
	operator    operator
	site        *platformtest.Site
	proxies     *proxies
	nodes       []*process
	record      record
	config      platformtest.Config
	workers     map[string][]*platformtest.Worker
	retired     []retired
	crashes     int
	// storeFaults are when something was wrong with the store or the way to it.
	storeFaults spans
	poisons     *poisons
	// leaving are the workers that left while the readers were lost.
	leaving []*platformtest.Worker
	// activeUnplanned counts the faults in force that are no planned work, and
	// lastUnplanned is when the last one ended.
	activeUnplanned  atomic.Int64
	lastUnplannedEnd atomic.Int64
	// unplannedCount counts all faults so far that are no planned work.
	unplannedCount atomic.Int64
	// overdueStops counts planned stops that outlasted the grace period.
	overdueStops atomic.Int64
	probes       atomic.Int64
	failures     []string
	// endFault ends the trouble that is being started, or is nil.
	endFault func()
	// found are failures that were seen while troubles came.
	asyncMu       sync.Mutex
	asyncFailures []string
	// calmSince is when the last fault ended that was no planned work.
	calmSince time.Time
}

// retired is a worker that has left, with or without a word.
type retired struct {
	worker *platformtest.Worker
	at     time.Time
}

const (
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 5 * time.Second
	// maxReadDelay is how long after it was sent a request without an answer has
	// been read for certain: one that crosses the close of its connection ends
	// at once. It is generous, since the machine may be busy.
	maxReadDelay = 2 * time.Second
	// calmTime is how long after the last unplanned fault only planned work
	// counts as under way.
	calmTime = 4 * time.Second
	// maxDrainTime is how long after the store has taken that a worker leaves nothing may
	// reach it any more; it is generous, since the machine may be busy.
	maxDrainTime = 8 * time.Second
	recoveryTime = 5 * time.Second
	// maxSeeds is how many seeds a node's settings name.
	maxSeeds = 3
)

// TestSoak runs the seeds asked for, and each seed that ever failed.
func TestSoak(t *testing.T) {
	program := build(t, t.TempDir())
	list := regressions
	if *seeds > 1 {
		list = slices.Concat(regressions, longRegressions)
	}
	for i := range *seeds {
		list = append(list, regression{seed: *firstSeed + uint64(i), faults: signalFaults})
	}
	for _, c := range list {
		t.Run(fmt.Sprintf("seed-%d", c.seed), func(t *testing.T) { runSeed(t, program, c) })
	}
}

func runSeed(t *testing.T, program string, c regression) {
	r := newRun(t, program, c)
	clients, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	for i := range *clientCount {
		c := newClient(r, c.seed, i)
		sending.Go(func() { c.loop(clients) })
	}
	lasts := time.Duration(*secondsEach * float64(time.Second))
	r.poisons = newPoisons(r.site, r.frontAddresses(), c.seed, c.faults.poisonRequests())
	sending.Go(func() { r.poisons.send(clients, lasts/2) })
	if r.faults >= evacuationFaults {
		time.AfterFunc(lasts/4, r.evacuate)
	}
	r.injectFaults(lasts)
	time.Sleep(recoveryTime)
	r.awaitConfig()
	if r.faults >= evacuationFaults {
		r.endEvacuation()
	}
	if r.faults != baseFaults {
		r.runLeavePhase()
		r.awaitConfig()
	}
	if r.faults >= rateLimitFaults {
		r.runLimitPhase()
		r.awaitConfig()
	}
	if r.faults >= coldFaults {
		r.runColdPhase()
	}
	if r.faults >= signalFaults {
		r.runSignalPhase()
		r.awaitConfig()
	}
	r.rollingRestart()
	stop()
	sending.Wait()
	r.failures = append(r.failures, r.poisons.settle()...)
	r.check()
	if len(r.failures) > 0 {
		t.Errorf("seed %d, logs in %s:\n%s", c.seed, r.nodes[0].logs, strings.Join(r.failures, "\n"))
	}
}

// poisonRequests is how many requests that crash workers a run has.
func (g faultSet) poisonRequests() int {
	if g >= restartFaults {
		return *poisonCount
	}
	return 0
}

func newRun(t *testing.T, program string, c regression) *run {
	r := &run{t: t, faults: c.faults, rand: rand.New(rand.NewPCG(c.seed, 0)), laterRand: rand.New(rand.NewPCG(c.seed, laterSeed)), restoreRand: rand.New(rand.NewPCG(c.seed, restoresSeed)), limitRand: rand.New(rand.NewPCG(c.seed, limitsSeed)), coldRand: rand.New(rand.NewPCG(c.seed, coldSeed)), signalRand: rand.New(rand.NewPCG(c.seed, signalsSeed)), workers: make(map[string][]*platformtest.Worker)}
	r.proxies = &proxies{t: t, list: make(map[string]*proxy)}
	r.site = platformtest.NewSite(t)
	r.site.ProxyAddress = r.proxies.addressOf
	r.site.GracePeriod, r.site.TokensPerEvent, r.site.EventInterval = gracePeriod, tokensPerEvent, eventInterval
	r.config = platformtest.Config{
		Version: 1, Keys: map[string]string{apiKey: account}, Models: []string{"model"}, Stages: []string{"encode", "rank"},
		Routes: append(longTimeoutRoutes(), platformtest.Route{Prefix: versionPath(1), Kind: "safe", Service: "desk"}),
	}
	if r.faults >= coldFaults {
		r.config.ColdPerSecond = coldPerSecond
	}
	r.site.Publish(r.config)
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		r.workers[service] = r.addInitialWorkers(service)
	}
	if r.faults != baseFaults {
		for i, text := range unusableEntries {
			r.site.Store.PutEntry(fmt.Sprintf("other-%d", i), []byte(text))
		}
	}
	r.startNodes(program, c.seed)
	return r
}

// unusableEntries are entries of another writer in the list of workers: none names a worker
// to use.
var unusableEntries = []string{
	"", "{", "[1]", "7", `{}`, `{"service":"desk","slots":"many"}`,
	`{"service":"desk","addr":"127.0.0.1:1","zone":"zone-a","slots":4,"state":"paused"}`,
	`{"service":"model","addr":"nowhere","zone":"zone-a","slots":4,"state":"ready"}`,
}

// longTimeoutRoutes are routes whose timeouts never come before the client's deadline.
func longTimeoutRoutes() []platformtest.Route {
	routes := platformtest.SampleRoutes()
	for i := range routes {
		routes[i].Timeout = 2 * clientDeadline
	}
	return routes
}

// frontAddresses lists where clients reach the nodes.
func (r *run) frontAddresses() []string {
	var list []string
	for _, p := range r.nodes {
		list = append(list, r.proxies.addressOf(p.Front))
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
			Addresses: addresses, t: r.t, name: fmt.Sprintf("node-%d", i+1), program: program, logs: logs, grace: gracePeriod,
			settings: r.site.WriteSettings(text), peer: r.proxies.addressOf(addresses.Peer),
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
	if r.faults >= coldFaults {
		r.writeSeeds(known)
	}
}

// emptySeeds is how settings without seeds end.
const emptySeeds = "seeds: []"

// writeSeeds writes the addresses of some others into the settings of the node that began as the
// first of all, for its next start. Where nodes run, all of them have seeds then: one that has
// none takes itself for the only one, and serves before any other has told it anything.
func (r *run) writeSeeds(addresses []string) {
	for _, p := range r.nodes {
		text, err := os.ReadFile(p.settings)
		if err != nil {
			r.t.Fatal(err)
		}
		others := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == p.peer })
		list := `seeds: ["` + strings.Join(others[:min(len(others), maxSeeds)], `", "`) + `"]`
		if err := os.WriteFile(p.settings, []byte(strings.Replace(string(text), emptySeeds, list, 1)), 0o600); err != nil {
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
	r.t.Fatalf("%s does not become ready, logs in %s, ends by itself: %v", p.name, p.logs, p.unexpectedExits())
}

func (r *run) fail(format string, values ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, values...))
}

// failAsync notes a failure from any goroutine.
func (r *run) failAsync(text string) {
	r.asyncMu.Lock()
	defer r.asyncMu.Unlock()
	r.asyncFailures = append(r.asyncFailures, text)
}

// isCalm reports whether no unplanned fault is in force or was lately.
func (r *run) isCalm() bool {
	return r.activeUnplanned.Load() == 0 && time.Since(time.UnixMilli(r.lastUnplannedEnd.Load())) > calmTime
}

// wasCalmAt reports whether a moment lies some time after the last unplanned fault of the run.
func (r *run) wasCalmAt(at time.Time) bool {
	r.asyncMu.Lock()
	defer r.asyncMu.Unlock()
	return at.Sub(r.calmSince) > calmTime
}

func (r *run) beginUnplanned() {
	r.unplannedCount.Add(1)
	r.activeUnplanned.Add(1)
}

func (r *run) endUnplanned() {
	r.lastUnplannedEnd.Store(time.Now().UnixMilli())
	r.asyncMu.Lock()
	r.calmSince = time.Now()
	r.asyncMu.Unlock()
	r.activeUnplanned.Add(-1)
}
