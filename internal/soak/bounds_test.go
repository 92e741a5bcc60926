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
	boundsOf    = flag.String("bounds", "", "deployment file under testdata whose bounds of configuration changes are checked; empty runs 12 nodes and checks only what no machine's speed decides")
	programPath = flag.String("program", "", "program to run as a node; empty builds this tree's")
	onlyFault   = flag.String("fault", "", "the only kind of fault to bring; empty brings all")
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
	t    *testing.T
	rand *rand.Rand
	of   deployment
	// troubles are those that the run has beside its faults.
	troubles generation
	site     *platformtest.Site
	doors    []*platformtest.StoreProxy
	nodes    []*process
	logs     string
	desks    map[string]string // service by worker
	// staying are the workers of "desk", retired those that have said they leave.
	staying, retired []*platformtest.Worker
	// engines are the workers of models and stages.
	engines []*platformtest.Worker
	// limiting are the workers that name limits, and limited when they did so for long;
	// sentTo is the node that each request of the load was sent to.
	limiting []*platformtest.Worker
	limited  []limitedWorker
	sentTo   map[string]int
	// signals is what clients sent and saw; draining are the workers that announced draining, and
	// since when, drained those that the store was to list so since.
	signals   signaltest.Log
	draining  map[string]time.Time
	drained   []announced
	rejecting []*platformtest.Worker
	// restarted are the restarts and freezes of nodes.
	restarted map[int][]span
	probes    atomic.Int64
	poisons   *poisons
	// lapsing is held while entries lapse.
	lapsing sync.Mutex

	mu      sync.Mutex
	history history
	seen    []observation
	// wronged are requests that were refused as if they crashed workers.
	wronged []string
	config  platformtest.Config
	many    bool
	refused []uint64
}

// boundsCase is one run of the check of bounds.
type boundsCase struct {
	seed uint64
	// fault is the only kind of fault that comes; empty brings all.
	fault string
	cause string
	// of is what troubles the run has beside, and deadly how many requests that crash
	// workers if it is not the usual number.
	of     generation
	deadly int
}

// boundsRegressions are the runs that ever failed, with the cause. They are run again
// whenever a deployment is given and no kind of fault is.
var boundsRegressions = []boundsCase{
	{seed: 11, fault: "cut readers", cause: standInsLeft},
	{seed: 12, fault: "configurations refused", cause: listForAll},
	{seed: 13, fault: "configurations hang", cause: listForAll},
	{seed: 82, fault: "cut readers", cause: nobodyElse},
	{seed: 413, cause: sharedRequest, of: newest, deadly: 4},
}

const (
	listForAll   = "readers that got no configuration were taken for sound, since their lists were read"
	standInsLeft = "nodes that stood in for the readers ceased to as soon as they had read a list"
	nobodyElse   = "when those that stood in were cut off too, no other node tried the store"
)

// unhurried is the deployment that is run when none is given.
const unhurried = "12-nodes"

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
	if *boundsOf != "" && *onlyFault == "" {
		cases = boundsRegressions
	}
	for i := range *seeds {
		cases = append(cases, boundsCase{seed: *firstSeed + uint64(i), fault: *onlyFault, of: announcing})
	}
	for _, c := range cases {
		t.Run(strings.TrimSpace(fmt.Sprintf("seed-%d %s", c.seed, c.fault)), func(t *testing.T) { checkBounds(t, program, c) })
	}
}

func checkBounds(t *testing.T, program string, c boundsCase) {
	if !known(c.fault) {
		// None would ever be drawn.
		t.Fatalf("no kind of fault %q", c.fault)
	}
	seed := c.seed
	d := readDeployment(t, cmp.Or(*boundsOf, unhurried))
	r := &boundsRun{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), of: d, troubles: c.of, site: platformtest.NewSite(t), desks: make(map[string]string), sentTo: make(map[string]int), draining: make(map[string]time.Time), restarted: make(map[int][]span),
		// Every second seed begins with the many routes.
		many:    seed%2 == 0,
		history: history{bounds: d.bounds(), disturbed: make(map[int][]span)},
	}
	r.site.GracePeriod = grace
	r.addWorkers()
	r.publish(func(c *platformtest.Config) { c.Version = 1 })
	r.startNodes(program, seed)
	ctx, stop := context.WithCancel(context.Background())
	var busy sync.WaitGroup
	for i := range r.nodes {
		busy.Go(func() { r.watch(ctx, i, askMark, askMoved, askKey, askMany) })
		// Its answers take long.
		busy.Go(func() { r.watch(ctx, i, askMute) })
	}
	busy.Go(func() { r.replaceWorkers(ctx, rand.New(rand.NewPCG(seed, 5))) })
	if c.of >= newest {
		busy.Go(func() { r.restartWorkers(ctx, rand.New(rand.NewPCG(seed, laterSeed))) })
	}
	if c.of >= limited {
		busy.Go(func() { r.limitWorkers(ctx, rand.New(rand.NewPCG(seed, limitsSeed))) })
	}
	if c.of >= announcing {
		busy.Go(func() { r.drainUnlisted(ctx, rand.New(rand.NewPCG(seed, signalsSeed))) })
		busy.Go(func() { r.rejectWorkers(ctx, rand.New(rand.NewPCG(seed, signalsSeed+1))) })
	}
	busy.Go(func() { r.operate(ctx, rand.New(rand.NewPCG(seed, 2))) })
	for i := range *clientCount {
		busy.Go(func() { r.load(ctx, i) })
	}
	lasts := time.Duration(*secondsEach * float64(time.Second))
	r.poisons = newPoisons(r.site, r.fronts(), seed, c.poisons())
	busy.Go(func() { r.poisons.send(ctx, lasts/2) })
	r.trouble(lasts, c.fault)
	time.Sleep(healTime)
	stop()
	busy.Wait()
	r.awaitNewest()
	r.judge(*boundsOf != "")
}

// poisons is how many requests that crash workers a run has: none when it brings one other
// kind of fault.
func (c boundsCase) poisons() int {
	if c.fault != "" && c.fault != poisonFault {
		return 0
	}
	return cmp.Or(c.deadly, *poisonCount)
}

// fronts lists where clients reach the nodes.
func (r *boundsRun) fronts() []string {
	var list []string
	for _, p := range r.nodes {
		list = append(list, p.Front)
	}
	return list
}

func (r *boundsRun) addWorkers() {
	r.site.TokensPerEvent, r.site.EventInterval = eventTokens, eventPause
	for _, service := range []string{"desk", "second-desk", "model", "encode", "rank"} {
		for _, w := range r.site.AddWorkers(service, 4) {
			r.desks[w.ID] = service
			switch service {
			case "desk":
				r.staying = append(r.staying, w)
			case "second-desk":
				r.limiting = append(r.limiting, w)
			default:
				r.engines = append(r.engines, w)
			}
		}
	}
	if r.troubles >= limited {
		r.limitSome()
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
	for _, kind := range r.of.Instances {
		for range kind.Count {
			door := r.site.AddStoreProxy()
			store := shaped(r.t, door.Address, kind.LinkMbps)
			text, addresses := r.site.SettingsFor(platformtest.Instance{Zone: kind.Domain, CPUShare: kind.CPUShare, MemoryMB: kind.MemoryMB, Store: store}, known...)
			peer := shaped(r.t, addresses.Peer, kind.LinkMbps)
			if len(known) < mostSeeds {
				known = append(known, peer)
			}
			p := &process{
				Addresses: addresses, t: r.t, name: fmt.Sprintf("node-%d", len(r.nodes)+1), program: program, logs: r.logs, grace: grace,
				settings: r.site.WriteSettings(text), peer: peer,
			}
			r.doors = append(r.doors, door)
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

// watch asks one node questions all the time.
func (r *boundsRun) watch(ctx context.Context, node int, questions ...question) {
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
func (r *boundsRun) probe(transport *http.Transport, node int, asks question, draw *rand.Rand) {
	r.mu.Lock()
	list := r.history.versions
	about := list[len(list)-1].version
	if asks == askKey {
		about = list[max(0, len(list)-1-draw.IntN(2))].version
	}
	r.mu.Unlock()
	path, key := "/read/", apiKey
	switch asks {
	case askMark:
		path = versionPath(about)
	case askKey:
		key = versionKey(about)
	case askMoved:
		path = "/moved/"
	case askMute:
		path = "/mute/"
	case askMany:
		path = manyPath(draw.IntN(r.of.ManyRoutes))
	}
	p := r.nodes[node]
	life := p.lifeNumber()
	id := probeName(node, r.probes.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	o := observation{node: node, life: life, asks: asks, about: about, sent: time.Now()}
	r.recordSent(id, node, o.sent)
	a := platformtest.DoOn(ctx, transport, p.Front, platformtest.Request{ID: id, Path: path, Key: key, Deadline: 2 * time.Second})
	o.got = time.Now()
	r.noteRefusal(id, a)
	r.recordAnswer(a, node, o.sent)
	if a.Err != nil || p.lifeNumber() != life {
		return
	}
	o.status = a.Status
	if parts := strings.Split(a.Stamp, "."); len(parts) > 1 {
		r.mu.Lock()
		o.service = r.desks[parts[1]]
		r.mu.Unlock()
	}
	r.mu.Lock()
	r.seen = append(r.seen, o)
	r.mu.Unlock()
}

// noteRefusal notes a request that is refused as if it crashed workers.
func (r *boundsRun) noteRefusal(id string, a platformtest.Response) {
	if !refusedForLong(a) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wronged = append(r.wronged, id)
}

// load sends requests of all kinds to any node.
func (r *boundsRun) load(ctx context.Context, number int) {
	draw := rand.New(rand.NewPCG(uint64(number), 4))
	transport := &http.Transport{DisableCompression: true}
	for n := 0; ctx.Err() == nil; n++ {
		k := requestKinds[draw.IntN(len(requestKinds))]
		limited, cancel := context.WithTimeout(ctx, clientDeadline)
		id := fmt.Sprintf("c%d-%d", number, n)
		node := draw.IntN(len(r.nodes))
		r.mu.Lock()
		r.sentTo[id] = node
		r.mu.Unlock()
		sent := time.Now()
		r.recordSent(id, node, sent)
		a := platformtest.DoOn(limited, transport, r.nodes[node].Front, platformtest.Request{
			ID: id, Path: k.path + "x", Key: apiKey, Deadline: clientDeadline,
			Streaming: k.stream, Pieces: k.pieces, Prefix: fmt.Sprintf("a%d:10,b%d:20", number, n%7),
		})
		r.noteRefusal(id, a)
		r.recordAnswer(a, node, sent)
		cancel()
		sleep(ctx, time.Duration(betweenMin+draw.IntN(betweenMax))*time.Millisecond)
	}
}
