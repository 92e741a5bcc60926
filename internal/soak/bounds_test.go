package soak

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"gradetiller.example/platform/platformtest"
	"gradetiller.example/platform/platformtest/signaltest"
)

var (
	boundsDeployment = flag.String("bounds", "", "deployment file under testdata, by its name without .yaml, whose bounds on configuration changes are checked; if empty, 12 nodes run and only what does not depend on the speed of the machine is checked")
	programPath      = flag.String("program", "", "node program; if empty, it is built from this source tree")
	onlyFault        = flag.String("fault", "", "the only kind of fault to inject; if empty, all kinds are injected")
)

// deployment is the contents of a deployment file.
type deployment struct {
	Instances []struct {
		Domain   string  `yaml:"domain"`
		Count    int     `yaml:"count"`
		CPUShare float64 `yaml:"cpuShare"`
		MemoryMB int     `yaml:"memoryMb"`
		LinkMbps float64 `yaml:"linkMbps"`
	} `yaml:"instances"`
	ApplyMS         int64 `yaml:"applyMs"`
	RollbackSlackMS int64 `yaml:"rollbackSlackMs"`
	ContactMS       int64 `yaml:"contactMs"`
	DrainMS         int64 `yaml:"drainMs"`
	SkewMS          int64 `yaml:"skewMs"`
	ManyRoutes      int   `yaml:"manyRoutes"`
}

func readDeployment(t *testing.T, name string) deployment {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	var d deployment
	if err := yaml.Unmarshal(data, &d); err != nil {
		t.Fatal(err)
	}
	return d
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (d deployment) bounds() bounds {
	return bounds{apply: ms(d.ApplyMS), rollback: ms(d.RollbackSlackMS), contact: ms(d.ContactMS), skew: ms(d.SkewMS)}
}

// boundsRun is the system under test for one seed, with its operator and its probes.
type boundsRun struct {
	t          *testing.T
	rand       *rand.Rand
	deployment deployment
	// faults selects the faults that the run has in addition to those of the kind under test.
	faults       faultSet
	site         *platformtest.Site
	storeProxies []*platformtest.StoreProxy
	nodes        []*process
	logs         string
	serviceOf    map[string]string // by worker ID
	// deskWorkers are the current workers of "desk". retired are the workers that have left it.
	deskWorkers, retired []*platformtest.Worker
	// otherWorkers are the workers of models and stages that may restart.
	otherWorkers []*platformtest.Worker
	// rateLimiting are the workers that advertise rate limits. rateLimited are the periods in
	// which one kept a limit. nodeOf maps the requests of the load to the nodes to which they
	// were sent.
	rateLimiting []*platformtest.Worker
	rateLimited  []rateLimitedWorker
	nodeOf       map[string]int
	// signals is what clients sent and received. drainingSince are the workers that announced
	// draining. drainedWorkers are those that have done so until they were drained in the store
	// too.
	signals        signaltest.Log
	drainingSince  map[string]time.Time
	drainedWorkers []drainedWorker
	rejecting      []*platformtest.Worker
	// restarted are the restarts and freezes of nodes.
	restarted map[int][]span
	probes    atomic.Int64
	poisons   *poisons
	// expiring is held while entries expire.
	expiring sync.Mutex

	mu           sync.Mutex
	history      history
	observations []observation
	// wronglyRefused are ordinary requests that were refused as ones that crash workers.
	wronglyRefused  []string
	config          platformtest.Config
	hasManyRoutes   bool
	invalidVersions []uint64
}

// boundsCase is one run of the check of a deployment's bounds.
type boundsCase struct {
	seed uint64
	// fault is the only kind of fault injected. If empty, all kinds are injected.
	fault string
	cause string
	// faults selects additional faults. poisonCount is the number of requests that crash
	// workers, or 0 for the default.
	faults      faultSet
	poisonCount int
}

// boundsRegressions are runs that failed once, with the cause. They run if a deployment is
// given and no kind of fault is.
var boundsRegressions = []boundsCase{
	{seed: 11, fault: "cut readers", cause: causeSubstitutesStopped},
	{seed: 12, fault: "configurations refused", cause: causeListHidConfig},
	{seed: 13, fault: "configurations hang", cause: causeListHidConfig},
	{seed: 82, fault: "cut readers", cause: causeNoFurtherReaders},
	{seed: 413, cause: causeServedElsewhere, faults: restartFaults, poisonCount: 4},
}

const (
	causeListHidConfig      = "readers that could not read the configuration were considered healthy because they could read the list"
	causeSubstitutesStopped = "nodes that substituted for the readers stopped doing so as soon as they had read a list"
	causeNoFurtherReaders   = "when the substitute readers were cut off too, no other node tried to reach the store"
)

// defaultDeployment is the deployment used if none is given.
const defaultDeployment = "12-nodes"

// TestConfigurationBounds runs a whole deployment as separate processes, changes its
// configuration continuously, and disrupts nodes and their connections to the store. It checks
// that no node reverts to an older version until it is restarted, that none serves an invalid
// version, and that all serve the newest one in the end. If a deployment is given, it also
// checks each response against the bounds of that deployment.
func TestConfigurationBounds(t *testing.T) {
	program := *programPath
	if program == "" {
		program = build(t, t.TempDir())
	}
	var cases []boundsCase
	if *boundsDeployment != "" && *onlyFault == "" {
		cases = boundsRegressions
	}
	for i := range *seeds {
		cases = append(cases, boundsCase{seed: *firstSeed + uint64(i), fault: *onlyFault, faults: signalFaults})
	}
	for _, c := range cases {
		t.Run(strings.TrimSpace(fmt.Sprintf("seed-%d %s", c.seed, c.fault)), func(t *testing.T) { checkBounds(t, program, c) })
	}
}

func checkBounds(t *testing.T, program string, c boundsCase) {
	if !isFaultKind(c.fault) {
		// An unknown kind would never be drawn, and the run would not end.
		t.Fatalf("unknown kind of fault %q", c.fault)
	}
	seed := c.seed
	d := readDeployment(t, cmp.Or(*boundsDeployment, defaultDeployment))
	r := &boundsRun{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), deployment: d, faults: c.faults, site: platformtest.NewSite(t), serviceOf: make(map[string]string), nodeOf: make(map[string]int), drainingSince: make(map[string]time.Time), restarted: make(map[int][]span),
		// Every second seed begins with many routes.
		hasManyRoutes: seed%2 == 0,
		history:       history{bounds: d.bounds(), disturbed: make(map[int][]span)},
	}
	r.site.GracePeriod = gracePeriod
	r.addWorkers()
	r.publish(func(c *platformtest.Config) { c.Version = 1 })
	r.startNodes(program, seed)
	ctx, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	for i := range r.nodes {
		background.Go(func() { r.probeLoop(ctx, i, probeMark, probeMoved, probeKey, probeMany) })
		// Separate from the other probes because its responses take long.
		background.Go(func() { r.probeLoop(ctx, i, probeUnresponsive) })
	}
	background.Go(func() { r.replaceWorkers(ctx, rand.New(rand.NewPCG(seed, 5))) })
	if c.faults >= restartFaults {
		background.Go(func() { r.restartWorkers(ctx, rand.New(rand.NewPCG(seed, laterSeed))) })
	}
	if c.faults >= rateLimitFaults {
		background.Go(func() { r.advertiseLimits(ctx, rand.New(rand.NewPCG(seed, limitsSeed))) })
	}
	if c.faults >= signalFaults {
		background.Go(func() { r.announceDraining(ctx, rand.New(rand.NewPCG(seed, signalsSeed))) })
		background.Go(func() { r.rejectRequests(ctx, rand.New(rand.NewPCG(seed, signalsSeed+1))) })
	}
	background.Go(func() { r.operate(ctx, rand.New(rand.NewPCG(seed, 2))) })
	for i := range *clientCount {
		background.Go(func() { r.sendLoad(ctx, i) })
	}
	duration := time.Duration(*secondsEach * float64(time.Second))
	r.poisons = newPoisons(r.site, r.frontAddresses(), seed, c.poisonRequests())
	background.Go(func() { r.poisons.send(ctx, duration/2) })
	r.injectFaults(duration, c.fault)
	time.Sleep(recoveryTime)
	stop()
	background.Wait()
	r.awaitNewest()
	r.verify(*boundsDeployment != "")
}

// poisonRequests returns the number of requests that crash workers. It is 0 if the run is
// restricted to another kind of fault.
func (c boundsCase) poisonRequests() int {
	if c.fault != "" && c.fault != poisonFault {
		return 0
	}
	return cmp.Or(c.poisonCount, *poisonCount)
}

// frontAddresses returns the addresses at which clients reach the nodes.
func (r *boundsRun) frontAddresses() []string {
	var list []string
	for _, p := range r.nodes {
		list = append(list, p.Front)
	}
	return list
}

func (r *boundsRun) addWorkers() {
	r.site.TokensPerEvent, r.site.EventInterval = tokensPerEvent, eventInterval
	for _, service := range []string{"desk", "second-desk", "model", "encode", "rank"} {
		for _, w := range r.site.AddWorkers(service, 4) {
			r.serviceOf[w.ID] = service
			switch service {
			case "desk":
				r.deskWorkers = append(r.deskWorkers, w)
			case "second-desk":
				r.rateLimiting = append(r.rateLimiting, w)
			default:
				r.otherWorkers = append(r.otherWorkers, w)
			}
		}
	}
	if r.faults >= rateLimitFaults {
		r.pickRateLimited()
	}
	for _, w := range r.site.AddWorkers("mute-desk", 2) {
		w.Unresponsive = true
	}
}

func (r *boundsRun) startNodes(program string, seed uint64) {
	r.logs = filepath.Join(os.TempDir(), fmt.Sprintf("gradetiller-bounds-%d-%d", os.Getpid(), seed))
	if *logFolder != "" {
		r.logs = filepath.Join(*logFolder, fmt.Sprintf("bounds-%d", seed))
	}
	if err := os.MkdirAll(r.logs, 0o700); err != nil {
		r.t.Fatal(err)
	}
	var seedPeers []string
	for _, kind := range r.deployment.Instances {
		for range kind.Count {
			storeProxy := r.site.AddStoreProxy()
			store := startShapedProxy(r.t, storeProxy.Address, kind.LinkMbps)
			text, addresses := r.site.SettingsFor(platformtest.Instance{Zone: kind.Domain, CPUShare: kind.CPUShare, MemoryMB: kind.MemoryMB, Store: store}, seedPeers...)
			peer := startShapedProxy(r.t, addresses.Peer, kind.LinkMbps)
			if len(seedPeers) < maxSeeds {
				seedPeers = append(seedPeers, peer)
			}
			p := &process{
				Addresses: addresses, t: r.t, name: fmt.Sprintf("node-%d", len(r.nodes)+1), program: program, logs: r.logs, grace: gracePeriod,
				settings: r.site.WriteSettings(text), peer: peer,
			}
			r.storeProxies = append(r.storeProxies, storeProxy)
			r.nodes = append(r.nodes, p)
			p.start()
		}
	}
	r.t.Cleanup(func() {
		for _, p := range r.nodes {
			p.end(syscall.SIGKILL)
		}
		if !r.t.Failed() && *logFolder == "" {
			_ = os.RemoveAll(r.logs)
		}
	})
	waiting := &run{t: r.t}
	for _, p := range r.nodes {
		waiting.awaitReady(p)
	}
	time.Sleep(r.history.contact)
}

// probeLoop probes one node until ctx ends.
func (r *boundsRun) probeLoop(ctx context.Context, node int, kinds ...probeKind) {
	rng := rand.New(rand.NewPCG(uint64(node), 3))
	transport := &http.Transport{DisableCompression: true}
	for ctx.Err() == nil {
		for _, q := range kinds {
			r.probe(transport, node, q, rng)
		}
		sleep(ctx, time.Duration(150+rng.IntN(150))*time.Millisecond)
	}
}

// probe sends one probe to a node. Probes of the version-specific route use the newest version.
// Probes of the key use the newest version or the one before it.
func (r *boundsRun) probe(transport *http.Transport, node int, kind probeKind, rng *rand.Rand) {
	r.mu.Lock()
	list := r.history.versions
	version := list[len(list)-1].version
	if kind == probeKey {
		version = list[max(0, len(list)-1-rng.IntN(2))].version
	}
	r.mu.Unlock()
	path, key := "/read/", apiKey
	switch kind {
	case probeMark:
		path = versionPath(version)
	case probeKey:
		key = versionKey(version)
	case probeMoved:
		path = "/moved/"
	case probeUnresponsive:
		path = "/mute/"
	case probeMany:
		path = manyPath(rng.IntN(r.deployment.ManyRoutes))
	}
	p := r.nodes[node]
	incarnation := p.currentIncarnation()
	id := probeName(node, r.probes.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	o := observation{node: node, incarnation: incarnation, kind: kind, version: version, sent: time.Now()}
	r.recordSent(id, node, o.sent)
	a := platformtest.DoOn(ctx, transport, p.Front, platformtest.Request{ID: id, Path: path, Key: key, Deadline: 2 * time.Second})
	o.got = time.Now()
	r.recordRefusal(id, a)
	r.recordResponse(a, node, o.sent)
	if a.Err != nil || p.currentIncarnation() != incarnation {
		return
	}
	o.status = a.Status
	if parts := strings.Split(a.Stamp, "."); len(parts) > 1 {
		r.mu.Lock()
		o.service = r.serviceOf[parts[1]]
		r.mu.Unlock()
	}
	r.mu.Lock()
	r.observations = append(r.observations, o)
	r.mu.Unlock()
}

// recordRefusal records a request that was wrongly refused as one that crashes workers.
func (r *boundsRun) recordRefusal(id string, a platformtest.Response) {
	if !refusedAsPoison(a) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wronglyRefused = append(r.wronglyRefused, id)
}

// sendLoad sends requests of all kinds to random nodes until ctx ends.
func (r *boundsRun) sendLoad(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(uint64(number), 4))
	transport := &http.Transport{DisableCompression: true}
	for n := 0; ctx.Err() == nil; n++ {
		k := requestKinds[rng.IntN(len(requestKinds))]
		requestCtx, cancel := context.WithTimeout(ctx, clientDeadline)
		id := fmt.Sprintf("c%d-%d", number, n)
		node := rng.IntN(len(r.nodes))
		r.mu.Lock()
		r.nodeOf[id] = node
		r.mu.Unlock()
		sent := time.Now()
		r.recordSent(id, node, sent)
		a := platformtest.DoOn(requestCtx, transport, r.nodes[node].Front, platformtest.Request{
			ID: id, Path: k.path + "x", Key: apiKey, Deadline: clientDeadline,
			Streaming: k.stream, Pieces: k.pieces, Prefix: fmt.Sprintf("a%d:10,b%d:20", number, n%7),
		})
		r.recordRefusal(id, a)
		r.recordResponse(a, node, sent)
		cancel()
		sleep(ctx, time.Duration(minPauseMS+rng.IntN(maxPauseMS))*time.Millisecond)
	}
}
