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
	boundsDeployment = flag.String("bounds", "", "deployment file under testdata whose bounds of configuration changes are checked; empty runs 12 nodes and checks only what no machine's speed decides")
	programPath      = flag.String("program", "", "program to run as a node; empty builds this tree's")
	onlyFault        = flag.String("fault", "", "the only kind of fault to bring; empty brings all")
)

// deployment is a deployment file.
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

// boundsRun is one seed's system, its operator and its probes.
type boundsRun struct {
	t          *testing.T
	rand       *rand.Rand
	deployment deployment
	// faults are those that the run has beside its faults.
	faults       faultSet
	site         *platformtest.Site
	storeProxies []*platformtest.StoreProxy
	nodes        []*process
	logs         string
	serviceOf    map[string]string // service by worker
	// deskWorkers are the workers of "desk", retired those that have said they leave.
	deskWorkers, retired []*platformtest.Worker
	// otherWorkers are the workers of models and stages.
	otherWorkers []*platformtest.Worker
	// rateLimiting are the workers that name limits, and limited when they did so for long;
	// sentTo is the node that each request of the load was sent to.
	rateLimiting []*platformtest.Worker
	rateLimited  []rateLimitedWorker
	nodeOf       map[string]int
	// signals is what clients sent and saw; draining are the workers that announced draining, and
	// since when, drained those that the store was to list so since.
	signals        signaltest.Log
	drainingSince  map[string]time.Time
	drainedWorkers []drainedWorker
	rejecting      []*platformtest.Worker
	// restarted are the restarts and freezes of nodes.
	restarted map[int][]span
	probes    atomic.Int64
	poisons   *poisons
	// expiring is held while entries lapse.
	expiring sync.Mutex

	mu           sync.Mutex
	history      history
	observations []observation
	// wronglyRefused are requests that were refused as if they crashed workers.
	wronglyRefused  []string
	config          platformtest.Config
	hasManyRoutes   bool
	invalidVersions []uint64
}

// boundsCase is one run of the check of bounds.
type boundsCase struct {
	seed uint64
	// fault is the only kind of fault that comes; empty brings all.
	fault string
	cause string
	// faults is what troubles the run has beside, and deadly how many requests that crash
	// workers if it is not the usual number.
	faults      faultSet
	poisonCount int
}

// boundsRegressions are the runs that ever failed, with the cause. They are run again
// whenever a deployment is given and no kind of fault is.
var boundsRegressions = []boundsCase{
	{seed: 11, fault: "cut readers", cause: causeSubstitutesStopped},
	{seed: 12, fault: "configurations refused", cause: causeListHidConfig},
	{seed: 13, fault: "configurations hang", cause: causeListHidConfig},
	{seed: 82, fault: "cut readers", cause: causeNoFurtherReaders},
	{seed: 413, cause: causeServedElsewhere, faults: restartFaults, poisonCount: 4},
}

const (
	causeListHidConfig      = "readers that got no configuration were taken for sound, since their lists were read"
	causeSubstitutesStopped = "nodes that stood in for the readers ceased to as soon as they had read a list"
	causeNoFurtherReaders   = "when those that stood in were cut off too, no other node tried the store"
)

// defaultDeployment is the deployment that is run when none is given.
const defaultDeployment = "12-nodes"

// TestConfigurationBounds runs a whole deployment as separate processes, changes
// its configuration all the time, and has nodes and their ways to the store fail. No
// node goes back to an older version in its life, none serves one that must be
// refused, and all serve the newest in the end. With a deployment given, by hand, each
// answer is also held against that deployment's bounds.
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
		// None would ever be drawn.
		t.Fatalf("no kind of fault %q", c.fault)
	}
	seed := c.seed
	d := readDeployment(t, cmp.Or(*boundsDeployment, defaultDeployment))
	r := &boundsRun{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), deployment: d, faults: c.faults, site: platformtest.NewSite(t), serviceOf: make(map[string]string), nodeOf: make(map[string]int), drainingSince: make(map[string]time.Time), restarted: make(map[int][]span),
		// Every second seed begins with the many routes.
		hasManyRoutes: seed%2 == 0,
		history:       history{bounds: d.bounds(), disturbed: make(map[int][]span)},
	}
	r.site.GracePeriod = gracePeriod
	r.addWorkers()
	r.publish(func(c *platformtest.Config) { c.Version = 1 })
	r.startNodes(program, seed)
	ctx, stop := context.WithCancel(context.Background())
	var busy sync.WaitGroup
	for i := range r.nodes {
		busy.Go(func() { r.probeLoop(ctx, i, probeMark, probeMoved, probeKey, probeMany) })
		// Its answers take long.
		busy.Go(func() { r.probeLoop(ctx, i, probeMute) })
	}
	busy.Go(func() { r.replaceWorkers(ctx, rand.New(rand.NewPCG(seed, 5))) })
	if c.faults >= restartFaults {
		busy.Go(func() { r.restartWorkers(ctx, rand.New(rand.NewPCG(seed, laterSeed))) })
	}
	if c.faults >= rateLimitFaults {
		busy.Go(func() { r.advertiseLimits(ctx, rand.New(rand.NewPCG(seed, limitsSeed))) })
	}
	if c.faults >= signalFaults {
		busy.Go(func() { r.announceDraining(ctx, rand.New(rand.NewPCG(seed, signalsSeed))) })
		busy.Go(func() { r.rejectRequests(ctx, rand.New(rand.NewPCG(seed, signalsSeed+1))) })
	}
	busy.Go(func() { r.operate(ctx, rand.New(rand.NewPCG(seed, 2))) })
	for i := range *clientCount {
		busy.Go(func() { r.sendLoad(ctx, i) })
	}
	lasts := time.Duration(*secondsEach * float64(time.Second))
	r.poisons = newPoisons(r.site, r.frontAddresses(), seed, c.poisonRequests())
	busy.Go(func() { r.poisons.send(ctx, lasts/2) })
	r.injectFaults(lasts, c.fault)
	time.Sleep(recoveryTime)
	stop()
	busy.Wait()
	r.awaitNewest()
	r.verify(*boundsDeployment != "")
}

// poisonRequests is how many requests that crash workers a run has: none when it brings one other
// kind of fault.
func (c boundsCase) poisonRequests() int {
	if c.fault != "" && c.fault != poisonFault {
		return 0
	}
	return cmp.Or(c.poisonCount, *poisonCount)
}

// frontAddresses lists where clients reach the nodes.
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
	var known []string
	for _, kind := range r.deployment.Instances {
		for range kind.Count {
			door := r.site.AddStoreProxy()
			store := startShapedProxy(r.t, door.Address, kind.LinkMbps)
			text, addresses := r.site.SettingsFor(platformtest.Instance{Zone: kind.Domain, CPUShare: kind.CPUShare, MemoryMB: kind.MemoryMB, Store: store}, known...)
			peer := startShapedProxy(r.t, addresses.Peer, kind.LinkMbps)
			if len(known) < maxSeeds {
				known = append(known, peer)
			}
			p := &process{
				Addresses: addresses, t: r.t, name: fmt.Sprintf("node-%d", len(r.nodes)+1), program: program, logs: r.logs, grace: gracePeriod,
				settings: r.site.WriteSettings(text), peer: peer,
			}
			r.storeProxies = append(r.storeProxies, door)
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

// probeLoop asks one node questions all the time.
func (r *boundsRun) probeLoop(ctx context.Context, node int, questions ...probeKind) {
	draw := rand.New(rand.NewPCG(uint64(node), 3))
	transport := &http.Transport{DisableCompression: true}
	for ctx.Err() == nil {
		for _, q := range questions {
			r.probe(transport, node, q, draw)
		}
		sleep(ctx, time.Duration(150+draw.IntN(150))*time.Millisecond)
	}
}

// probe asks a node one question: for the mark of the newest version, or with a key
// of it or of the one before it.
func (r *boundsRun) probe(transport *http.Transport, node int, asks probeKind, draw *rand.Rand) {
	r.mu.Lock()
	list := r.history.versions
	about := list[len(list)-1].version
	if asks == probeKey {
		about = list[max(0, len(list)-1-draw.IntN(2))].version
	}
	r.mu.Unlock()
	path, key := "/read/", apiKey
	switch asks {
	case probeMark:
		path = versionPath(about)
	case probeKey:
		key = versionKey(about)
	case probeMoved:
		path = "/moved/"
	case probeMute:
		path = "/mute/"
	case probeMany:
		path = manyPath(draw.IntN(r.deployment.ManyRoutes))
	}
	p := r.nodes[node]
	life := p.currentIncarnation()
	id := probeName(node, r.probes.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	o := observation{node: node, incarnation: life, kind: asks, version: about, sent: time.Now()}
	r.recordSent(id, node, o.sent)
	a := platformtest.DoOn(ctx, transport, p.Front, platformtest.Request{ID: id, Path: path, Key: key, Deadline: 2 * time.Second})
	o.got = time.Now()
	r.recordRefusal(id, a)
	r.recordAnswer(a, node, o.sent)
	if a.Err != nil || p.currentIncarnation() != life {
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

// recordRefusal notes a request that is refused as if it crashed workers.
func (r *boundsRun) recordRefusal(id string, a platformtest.Response) {
	if !refusedAsPoison(a) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wronglyRefused = append(r.wronglyRefused, id)
}

// sendLoad sends requests of all kinds to any node.
func (r *boundsRun) sendLoad(ctx context.Context, number int) {
	draw := rand.New(rand.NewPCG(uint64(number), 4))
	transport := &http.Transport{DisableCompression: true}
	for n := 0; ctx.Err() == nil; n++ {
		k := requestKinds[draw.IntN(len(requestKinds))]
		limited, cancel := context.WithTimeout(ctx, clientDeadline)
		id := fmt.Sprintf("c%d-%d", number, n)
		node := draw.IntN(len(r.nodes))
		r.mu.Lock()
		r.nodeOf[id] = node
		r.mu.Unlock()
		sent := time.Now()
		r.recordSent(id, node, sent)
		a := platformtest.DoOn(limited, transport, r.nodes[node].Front, platformtest.Request{
			ID: id, Path: k.path + "x", Key: apiKey, Deadline: clientDeadline,
			Streaming: k.stream, Pieces: k.pieces, Prefix: fmt.Sprintf("a%d:10,b%d:20", number, n%7),
		})
		r.recordRefusal(id, a)
		r.recordAnswer(a, node, sent)
		cancel()
		sleep(ctx, time.Duration(minPauseMS+draw.IntN(maxPauseMS))*time.Millisecond)
	}
}
