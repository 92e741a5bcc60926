package soak

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"gradetiller.example/platform/platformtest"
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
	t     *testing.T
	rand  *rand.Rand
	of    deployment
	site  *platformtest.Site
	doors []*platformtest.Door
	nodes []*process
	logs  string
	desks map[string]string // service by worker
	// staying are the workers of "desk", retired those that have said they leave.
	staying, retired []*platformtest.Worker
	probes           atomic.Int64

	mu      sync.Mutex
	history history
	seen    []observation
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
}

// boundsRegressions are the runs that ever failed, with the cause. They are run again
// whenever a deployment is given and no kind of fault is.
var boundsRegressions = []boundsCase{
	{11, "cut readers", standInsLeft},
	{12, "configurations refused", listForAll},
	{13, "configurations hang", listForAll},
	{82, "cut readers", nobodyElse},
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
		cases = append(cases, boundsCase{seed: *firstSeed + uint64(i), fault: *onlyFault})
	}
	for _, c := range cases {
		t.Run(strings.TrimSpace(fmt.Sprintf("seed-%d %s", c.seed, c.fault)), func(t *testing.T) { checkBounds(t, program, c) })
	}
}

func checkBounds(t *testing.T, program string, c boundsCase) {
	seed := c.seed
	d := readDeployment(t, cmp.Or(*boundsOf, unhurried))
	r := &boundsRun{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), of: d, site: platformtest.NewSite(t), desks: make(map[string]string),
		// Every second seed begins with the many routes.
		many:    seed%2 == 0,
		history: history{bounds: d.bounds(), disturbed: make(map[int][]span)},
	}
	r.site.Grace = grace
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
	busy.Go(func() { r.operate(ctx, rand.New(rand.NewPCG(seed, 2))) })
	for i := range *clientCount {
		busy.Go(func() { r.load(ctx, i) })
	}
	r.trouble(time.Duration(*secondsEach*float64(time.Second)), c.fault)
	time.Sleep(healTime)
	stop()
	busy.Wait()
	r.awaitNewest()
	r.judge(*boundsOf != "")
}

func (r *boundsRun) addWorkers() {
	r.site.EventTokens, r.site.EventPause = eventTokens, eventPause
	for _, service := range []string{"desk", "second-desk", "model", "encode", "rank"} {
		for _, w := range r.site.AddWorkers(service, 4) {
			r.desks[w.ID] = service
			if service == "desk" {
				r.staying = append(r.staying, w)
			}
		}
	}
	for _, w := range r.site.AddWorkers("mute-desk", 2) {
		w.Mute = true
	}
}

// publish changes the configuration and writes it to the store.
func (r *boundsRun) publish(change func(*platformtest.Config)) {
	r.mu.Lock()
	next := platformtest.Config{
		Version: r.config.Version, Models: []string{"model"}, Stages: []string{"encode", "rank"},
	}
	change(&next)
	service := []string{"desk", "second-desk"}[next.Version%2]
	timeout := []time.Duration{400 * time.Millisecond, 900 * time.Millisecond}[next.Version/2%2]
	next.Keys = map[string]string{apiKey: account, versionKey(next.Version): account}
	next.Routes = append(deskRoutes(),
		platformtest.Route{Prefix: "/moved/", Kind: "safe", Service: service},
		platformtest.Route{Prefix: "/mute/", Kind: "safe", Service: "mute-desk", Timeout: timeout},
		platformtest.Route{Prefix: versionPath(next.Version), Kind: "safe", Service: "desk"})
	if r.many {
		for i := range r.of.ManyRoutes {
			next.Routes = append(next.Routes, platformtest.Route{Prefix: manyPath(i), Kind: "safe", Service: "desk"})
		}
	}
	r.config = next
	r.history.versions = append(r.history.versions, published{version: next.Version, service: service, many: r.many, timeout: timeout, sent: time.Now()})
	at := len(r.history.versions) - 1
	r.mu.Unlock()
	r.site.Publish(next)
	r.mu.Lock()
	r.history.versions[at].acknowledged = time.Now()
	r.mu.Unlock()
}

func versionKey(version uint64) string { return fmt.Sprintf("key-v%d", version) }

func manyPath(i int) string { return fmt.Sprintf("/many/%d/", i) }

// operate changes the configuration until ctx ends: single changes, storms, many
// routes more or less, and now and then one that must be refused.
func (r *boundsRun) operate(ctx context.Context, draw *rand.Rand) {
	for ctx.Err() == nil {
		count, gap := 1, time.Duration(0)
		switch draw.IntN(5) {
		case 0:
			count, gap = 4+draw.IntN(12), time.Duration(60+draw.IntN(360))*time.Millisecond
		case 1:
			r.mu.Lock()
			r.many = !r.many
			r.mu.Unlock()
		case 2:
			r.publishInvalid()
		}
		for range count {
			r.publish(func(c *platformtest.Config) { c.Version += 1 + 2*uint64(draw.IntN(3)) })
			sleep(ctx, gap)
		}
		sleep(ctx, time.Duration(300+draw.IntN(5200))*time.Millisecond)
	}
}

// replaceWorkers has one worker after the other say that it leaves; another one takes
// its place.
func (r *boundsRun) replaceWorkers(ctx context.Context, draw *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(1000+draw.IntN(3000))*time.Millisecond)
		next := r.site.AddWorkers("desk", 1)[0]
		r.mu.Lock()
		r.desks[next.ID] = "desk"
		r.mu.Unlock()
		gone := r.staying[0]
		r.staying = append(r.staying[1:], next)
		gone.Drain()
		r.retired = append(r.retired, gone)
	}
}

// probeName is the id of a probe, which tells the node it was sent to.
func probeName(node int, number int64) string { return fmt.Sprintf("%s%d-%d", probeID, node, number) }

// undrained finds the probes that nodes in touch sent to workers which had said long
// before that they leave.
func (r *boundsRun) undrained() []string {
	var found []string
	for _, w := range r.retired {
		for _, late := range w.Late() {
			var node int
			var number int64
			if n, _ := fmt.Sscanf(late.ID, probeID+"%d-%d", &node, &number); n < 2 || late.After <= ms(r.of.DrainMS) {
				continue
			}
			calm := late.At.Add(-r.history.contact - ms(r.of.DrainMS))
			if overlaps(r.history.disturbed[node], calm, late.At) || overlaps(r.history.store, calm, late.At) {
				continue
			}
			found = append(found, fmt.Sprintf("%s node-%d DRAIN: sent a request to %s %v after it had said that it leaves", late.At.Format("05.000"), node+1, w.ID, late.After.Round(time.Millisecond)))
		}
	}
	return found
}

// publishInvalid writes a configuration that nodes must refuse as a whole, and
// that a valid one with a higher version soon follows.
func (r *boundsRun) publishInvalid() {
	r.mu.Lock()
	r.config.Version++
	bad := r.config
	r.refused = append(r.refused, bad.Version)
	r.mu.Unlock()
	bad.Routes = append([]platformtest.Route{}, bad.Routes...)
	for i := range bad.Routes {
		if strings.HasPrefix(bad.Routes[i].Prefix, "/v/") {
			bad.Routes[i].Prefix = versionPath(bad.Version)
		}
	}
	r.site.PublishInvalid(bad)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
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
	const mostSeeds = 3
	var known []string
	for _, kind := range r.of.Instances {
		for range kind.Count {
			door := r.site.AddDoor()
			store := shaped(r.t, door.Address, kind.LinkMbps)
			text, addresses := r.site.SettingsOf(platformtest.Instance{Zone: kind.Domain, CPUShare: kind.CPUShare, MemoryMB: kind.MemoryMB, Store: store}, known...)
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
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	o := observation{node: node, life: life, asks: asks, about: about, sent: time.Now()}
	a := platformtest.DoOn(ctx, transport, p.Front, platformtest.Request{ID: probeName(node, r.probes.Add(1)), Path: path, Key: key, Deadline: 2 * time.Second})
	o.got = time.Now()
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

// load sends requests of all kinds to any node.
func (r *boundsRun) load(ctx context.Context, number int) {
	draw := rand.New(rand.NewPCG(uint64(number), 4))
	transport := &http.Transport{DisableCompression: true}
	for n := 0; ctx.Err() == nil; n++ {
		k := requestKinds[draw.IntN(len(requestKinds))]
		limited, cancel := context.WithTimeout(ctx, clientDeadline)
		platformtest.DoOn(limited, transport, r.nodes[draw.IntN(len(r.nodes))].Front, platformtest.Request{
			ID: fmt.Sprintf("c%d-%d", number, n), Path: k.path + "x", Key: apiKey, Deadline: clientDeadline,
			Streaming: k.stream, Pieces: k.pieces, Prefix: fmt.Sprintf("a%d:10,b%d:20", number, n%7),
		})
		cancel()
		sleep(ctx, time.Duration(betweenMin+draw.IntN(betweenMax))*time.Millisecond)
	}
}

// awaitNewest waits until every node serves the newest version.
func (r *boundsRun) awaitNewest() {
	waiting := &run{t: r.t}
	waiting.config.Version = r.history.versions[len(r.history.versions)-1].version
	waiting.nodes = r.nodes
	waiting.awaitConfig()
	for _, f := range waiting.failures {
		r.t.Error(f)
	}
}

// mostHeld is how many answers may come more than slowEnd after their route's time, if
// they are no more than a quarter of those on the route.
const (
	mostHeld = 7
	slowEnd  = 500 * time.Millisecond
)

// judge holds all answers against the bounds; those that the machine's speed decides
// only if timed.
func (r *boundsRun) judge(timed bool) {
	lives := make(map[[2]int][]observation)
	counts := make(map[string]int)
	var found []string
	report := func(o observation, text string) {
		found = append(found, fmt.Sprintf("%s node-%d %s", o.sent.Format("05.000"), o.node+1, text))
	}
	inTouch, refusedMany, askedMany, held, askedMute := 0, 0, 0, 0, 0
	for _, o := range r.seen {
		lives[[2]int{o.node, o.life}] = append(lives[[2]int{o.node, o.life}], o)
		counts[fmt.Sprintf("%s %d", o.asks, o.status)]++
		if why := r.history.late(o); timed && why != "" {
			report(o, why)
		}
		if !overlaps(r.history.disturbed[o.node], o.sent.Add(-r.history.contact), o.got) {
			inTouch++
			if o.asks == askMute {
				askedMute++
				if r.history.held(o) > slowEnd {
					held++
				}
			}
			if o.asks == askMany && o.status != http.StatusNotFound {
				askedMany++
				if o.status != http.StatusOK {
					refusedMany++
				}
			}
		}
		for _, v := range r.refused {
			if (o.asks == askMark || o.asks == askKey) && o.about == v && o.status == http.StatusOK {
				report(o, fmt.Sprintf("INVALID: version %d was served", v))
			}
		}
	}
	for life, list := range lives {
		for _, why := range r.history.backward(list) {
			found = append(found, fmt.Sprintf("node-%d %s", life[0]+1, why))
		}
	}
	if timed {
		found = append(found, r.undrained()...)
	}
	if timed && held > mostHeld && held > askedMute/4 {
		found = append(found, fmt.Sprintf("HELD: %d of %d requests had no answer %v after their route's time", held, askedMute, slowEnd))
	}
	if timed && askedMany > 20 && refusedMany > askedMany/4 {
		found = append(found, fmt.Sprintf("ADDED: %d of %d requests on added routes were not served", refusedMany, askedMany))
	}
	r.t.Logf("%d versions, %d must be refused, %d workers replaced, %d answers, %d from nodes in touch, %d of %d held; %v", len(r.history.versions), len(r.refused), len(r.retired), len(r.seen), inTouch, held, askedMute, counts)
	r.logDelays()
	if len(found) > 0 {
		sort.Strings(found)
		var b bytes.Buffer
		for _, f := range found[:min(len(found), 40)] {
			fmt.Fprintln(&b, f)
		}
		r.t.Errorf("%d answers out of bounds (%v), logs in %s:\n%s", len(found), kindsOf(found), r.logs, b.String())
	}
}

// kindsOf counts what was found by its kind, the word in capitals.
func kindsOf(found []string) map[string]int {
	kinds := make(map[string]int)
	for _, f := range found {
		for _, word := range strings.Fields(f) {
			if strings.HasSuffix(word, ":") && word == strings.ToUpper(word) {
				kinds[strings.TrimSuffix(word, ":")]++
				break
			}
		}
	}
	return kinds
}

// logDelays logs how long after its acknowledgement a version was first seen on
// nodes in touch.
func (r *boundsRun) logDelays() {
	var delays []time.Duration
	first := make(map[[2]uint64]bool)
	sort.Slice(r.seen, func(i, j int) bool { return r.seen[i].got.Before(r.seen[j].got) })
	for _, o := range r.seen {
		i := r.history.index(o.about)
		key := [2]uint64{uint64(o.node), o.about}
		if i == 0 || o.asks != askMark || o.status != http.StatusOK || first[key] {
			continue
		}
		first[key] = true
		calm := r.history.versions[i].acknowledged.Add(-r.history.contact)
		if overlaps(r.history.disturbed[o.node], calm, o.got) || overlaps(r.history.store, calm, o.got) {
			continue
		}
		delays = append(delays, o.got.Sub(r.history.versions[i].acknowledged))
	}
	if len(delays) == 0 {
		return
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	r.t.Logf("%d first answers by a version on nodes in touch: median %v, 95th %v, 99th %v, latest %v after its acknowledgement", len(delays),
		delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)*95/100].Round(time.Millisecond), delays[len(delays)*99/100].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond))
}
