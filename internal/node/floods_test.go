package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"path/filepath"
	"runtime"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gradetiller.example/internal/scripted"
	"gradetiller.example/platform/platformtest"
)

const (
	// floodMemoryMB is the memory of the instances of these tests, and maxFloodShare the share of it that
	// responses may take: a quarter is the budget, and as much again is for copies and buffers.
	floodMemoryMB = 64
	maxFloodShare = 0.5
	// minBesideServed is the share of requests to another service that must be served meanwhile.
	minBesideServed = 0.95
	// floodSlack is how much later than a stated time something may happen on a slow machine.
	floodSlack = 3 * time.Second
)

// floodScript is a test of responses that hold far more than is usual, read from a file. Its lines, which have the
// defaults below:
//
//	path PATH               the path of the requests
//	service NAME            the service whose endpoints send such responses
//	call PATH               the calls that are answered so; "" for all requests and calls
//	part body|head|head-line|interim|trailer|extension|surplus   which part of the response is large
//	framing chunked|length|connection   how the end of the body is marked
//	status N                the status of the response
//	not-executed 0|1        whether it says that the request has not run
//	prefix TEXT             what the body begins with; \n stands for a line's end
//	line BYTES              the length of the body's lines, or 0 if no line ends
//	event BYTES             the length of the body's events, or 0 if it has none
//	bytes N                 the length of the body, or 0 if it does not end
//	silent-after BYTES      how many bytes come before the endpoint falls silent, 0 for never
//	pace full|trickle       100 MB a second, or 20 bytes a second
//	endpoints N             endpoints of each service
//	flooding N              how many of them send such responses
//	every N                 one in how many of their responses is so
//	clients N               how many clients send requests at once
//	requests N              how many each sends, one after the other
//	relayed 0|1             whether the node reaches the endpoints through another node only
//	held none|all           how much of the memory for responses other requests hold
//	served SHARE            the least share of requests that are served
//	reading full|stalled    whether clients read more than the header of their responses
//	most BYTES              how many bytes an endpoint may get rid of, 0 for any number
//	seen WORD...            what clients may see: served, whole, cut, or a status; 503 once all endpoints are ejected
//	deadline DURATION       the deadline of the requests
//	cut-after DURATION      how long a response may go on at the endpoint
type floodScript map[string]string

var floodDefaults = floodScript{
	"path": "/once/x", "service": "model", "call": "", "part": "body", "framing": "chunked", "status": "200", "not-executed": "0", "prefix": "", "line": "0",
	"event": "0", "bytes": "0", "silent-after": "0", "deadline": "2s", "pace": "full", "endpoints": "2", "flooding": "2", "every": "1", "clients": "8", "requests": "1", "relayed": "0", "held": "none", "served": "0", "reading": "full", "most": "0", "seen": "502 503", "cut-after": "1s",
}

func (s floodScript) parseLine(words []string) error {
	if _, ok := floodDefaults[words[0]]; !ok || len(words) < 2 {
		return fmt.Errorf("unknown line %q", strings.Join(words, " "))
	}
	s[words[0]] = strings.Join(words[1:], " ")
	return nil
}

func (s floodScript) text(name string) string {
	if v, ok := s[name]; ok {
		return v
	}
	return floodDefaults[name]
}

func (s floodScript) number(name string) int {
	n, _ := strconv.Atoi(s.text(name))
	return n
}

func (s floodScript) duration(name string) time.Duration {
	d, _ := time.ParseDuration(s.text(name))
	return d
}

func (s floodScript) flood() platformtest.Flood {
	return platformtest.Flood{
		Path: s.text("call"),
		Part: map[string]platformtest.FloodPart{
			"body": platformtest.FloodBody, "head": platformtest.FloodHead, "head-line": platformtest.FloodHeadLine, "interim": platformtest.FloodInterim,
			"trailer": platformtest.FloodTrailer, "extension": platformtest.FloodExtension, "surplus": platformtest.FloodSurplus,
		}[s.text("part")],
		Framing: map[string]platformtest.Framing{"chunked": platformtest.Chunked, "length": platformtest.Length, "connection": platformtest.ByConnection}[s.text("framing")],
		Status:  s.number("status"), NotExecuted: s.number("not-executed") > 0, Prefix: strings.ReplaceAll(s.text("prefix"), `\n`, "\n"),
		Line: s.number("line"), Event: s.number("event"), Bytes: int64(s.number("bytes")), SilentAfter: int64(s.number("silent-after")), Trickle: s.text("pace") == "trickle",
	}
}

// floodRun is a script in progress.
type floodRun struct {
	t      *testing.T
	script floodScript
	node   *testNode
	// flooding are the endpoints that send large responses.
	flooding []*platformtest.Worker
	mu       sync.Mutex
	seen     map[string]int
	longest  time.Duration
	done     atomic.Bool
}

func newFloodRun(t *testing.T, s floodScript) *floodRun {
	site, c := newSite(t)
	c.Version = 2
	c.Routes = append(c.Routes, platformtest.Route{Prefix: "/beside/", Kind: "safe", Service: "beside", MaxAttempts: 2})
	for i := range c.Routes {
		// The deadlines of the requests decide.
		c.Routes[i].Timeout = time.Minute
	}
	site.Publish(c)
	r := &floodRun{t: t, script: s, seen: make(map[string]int)}
	site.AddWorkers("beside", 2)
	var all []*platformtest.Worker
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		workers := site.AddWorkers(service, s.number("endpoints"))
		all = append(all, workers...)
		if service == s.text("service") {
			r.flooding = workers[:s.number("flooding")]
		}
	}
	on := platformtest.Instance{Zone: platformtest.DefaultZone, MemoryMB: floodMemoryMB, Store: site.StoreAddress()}
	text, addresses := site.SettingsFor(on)
	if s.number("relayed") > 0 {
		other := startNodeOnInstance(t, site, on)
		text, addresses = site.SettingsFor(on, other.Peer)
		var p platformtest.Partition
		r.node = startNodeWith(t, text, addresses, withDial(&p))
		awaitSystem(t, []*testNode{other, r.node})
		p.Cut(platformtest.ConnectionsReset, func(address string) bool {
			return slices.ContainsFunc(all, func(w *platformtest.Worker) bool { return w.Address() == address })
		})
		eventually(t, "the node serves through the other one", func() bool {
			first := r.newRequest("first")
			return do(r.node.Front, first).Status == http.StatusOK
		})
	} else {
		r.node = startNodeWith(t, text, addresses)
		r.node.awaitReady(t)
	}
	for _, w := range r.flooding {
		w.Flood(s.flood(), s.number("every"))
	}
	return r
}

// floodAnswer is what a client saw of its request.
type floodAnswer struct {
	// outcome is "served" for a usual response, "whole" for a complete one with the flooded body, "cut" for
	// one that broke off after its head, and a status otherwise.
	outcome string
	bytes   int64
	took    time.Duration
	err     error
}

// newRequest returns a request on the script's route.
func (r *floodRun) newRequest(id string) platformtest.Request {
	path := r.script.text("path")
	q := platformtest.Request{ID: id, Path: path, Key: key, Deadline: r.script.duration("deadline"), Streaming: r.script.text("service") != "desk"}
	if strings.HasPrefix(path, "/staged/") {
		q.Pieces = []int{2, 2}
	}
	return q
}

// request sends a request and reads its response without holding it.
func (r *floodRun) request(id string) floodAnswer {
	deadline := r.script.duration("deadline")
	ctx, cancel := context.WithTimeout(context.Background(), deadline+floodSlack)
	defer cancel()
	begun := time.Now()
	resp, err := platformtest.Begin(ctx, r.node.Front, r.newRequest(id))
	if err != nil {
		return floodAnswer{outcome: "no answer", err: err, took: time.Since(begun)}
	}
	defer resp.Body.Close()
	a := floodAnswer{outcome: strconv.Itoa(resp.StatusCode)}
	if r.script.text("reading") == "stalled" {
		time.Sleep(deadline - time.Since(begun))
		a.outcome = "stalled"
		return a
	}
	flooded, buf := true, make([]byte, 8<<10)
	for err == nil {
		var k int
		k, err = resp.Body.Read(buf)
		flooded = flooded && platformtest.IsFlooded(buf[:k], a.bytes)
		a.bytes += int64(k)
	}
	a.took = time.Since(begun)
	switch {
	case !errors.Is(err, io.EOF):
		a.outcome, a.err = "cut", err
	case a.bytes > 0 && flooded:
		a.outcome = "whole"
	case resp.StatusCode == http.StatusOK:
		a.outcome = "served"
	}
	return a
}

// liveHeap returns the bytes that a collection found to be live on the heap. What is allocated after it, before they
// are read, doesn't count: on a busy machine that was more than all that is held.
func liveHeap() int64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return int64(live[0].Value.Uint64())
}

// sendBeside sends requests to another service until the run is done, and returns how many were sent and served.
func (r *floodRun) sendBeside() (sent, served int) {
	for ; !r.done.Load(); sent++ {
		if a := do(r.node.Front, platformtest.Request{ID: fmt.Sprint("beside-", sent), Path: "/beside/x"}); a.Status == http.StatusOK && a.Err == nil {
			served++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return sent, served
}

func (r *floodRun) run() {
	// A response to a list of cached prompts may be held for a moment after the start.
	eventually(r.t, "nothing is held before the run", func() bool { return r.node.node.memory.Held() == 0 })
	if r.script.text("held") == "all" {
		all := int64(heldShare * floodMemoryMB * 1e6)
		r.node.node.memory.Reserve(all)
		r.t.Cleanup(func() { r.node.node.memory.Release(all) })
	}
	free := r.node.node.memory.Held()
	before, most, held := liveHeap(), int64(0), int64(0)
	var clients, watching sync.WaitGroup
	var sent, served int
	watching.Go(func() { sent, served = r.sendBeside() })
	watching.Go(func() {
		for !r.done.Load() {
			most, held = max(most, liveHeap()-before), max(held, r.node.node.memory.Held())
			time.Sleep(20 * time.Millisecond)
		}
	})
	for i := range r.script.number("clients") {
		clients.Go(func() {
			for k := range r.script.number("requests") {
				a := r.request(fmt.Sprintf("f-%d-%d", i, k))
				r.mu.Lock()
				r.seen[a.outcome]++
				r.longest = max(r.longest, a.took)
				r.mu.Unlock()
			}
		})
	}
	clients.Wait()
	r.done.Store(true)
	watching.Wait()
	r.t.Logf("clients saw %v, the longest for %v; at most %d kB more live on the heap, %d kB counted; %d of %d requests served beside", r.seen, r.longest, most>>10, held>>10, served, sent)
	if limit := int64(maxFloodShare * floodMemoryMB * 1e6); most > limit {
		r.t.Errorf("%d MB live on the heap, more than half of the instance's %d MB", most>>20, floodMemoryMB)
	}
	if float64(served) < minBesideServed*float64(sent) || sent == 0 {
		r.t.Errorf("%d of %d requests to another service were served", served, sent)
	}
	r.checkClients()
	eventually(r.t, "nothing is held", func() bool { return r.node.node.memory.Held() == free })
	r.checkEndpoints()
}

// checkClients checks what clients saw, and that no request is suspected of crashing endpoints.
func (r *floodRun) checkClients() {
	allowed := strings.Fields(r.script.text("seen"))
	for _, outcome := range slices.Sorted(maps.Keys(r.seen)) {
		if !slices.Contains(allowed, outcome) {
			r.t.Errorf("%d clients saw %q, want one of %v", r.seen[outcome], outcome, allowed)
		}
	}
	all := r.script.number("clients") * r.script.number("requests")
	if share, _ := strconv.ParseFloat(r.script.text("served"), 64); float64(r.seen["served"]) < share*float64(all) {
		r.t.Errorf("%d of %d requests were served, want %.2f of them", r.seen["served"], all, share)
	}
	if deadline := r.script.duration("deadline"); r.longest > deadline+floodSlack {
		r.t.Errorf("a client waited for %v, its deadline is %v", r.longest, deadline)
	}
	if _, known := r.node.node.poisonGuard.sizes(); known > 0 {
		r.t.Errorf("%d requests or parts are refused for crashing endpoints, none crashed any", known)
	}
}

// checkEndpoints checks that no response goes on much longer than it may.
func (r *floodRun) checkEndpoints() {
	limit := r.script.duration("cut-after")
	count, longest, most := 0, time.Duration(0), int64(0)
	for _, w := range r.flooding {
		eventually(r.t, "all large responses have ended", func() bool {
			return !slices.ContainsFunc(w.Floods(), func(f platformtest.FloodRecord) bool { return !f.Ended })
		})
		for _, f := range w.Floods() {
			count, longest, most = count+1, max(longest, f.Took), max(most, f.Sent)
		}
	}
	r.t.Logf("%d large responses, the longest for %v, at most %d kB", count, longest, most>>10)
	if count == 0 {
		r.t.Error("no endpoint sent a large response: the test shows nothing")
	}
	if bound := int64(r.script.number("most")); bound > 0 && most > bound {
		r.t.Errorf("an endpoint got rid of %d kB, want at most %d kB", most>>10, bound>>10)
	}
	if longest > limit+floodSlack {
		r.t.Errorf("a response went on for %v, want the connection closed within %v", longest, limit)
	}
}

// TestFloodsAreBounded guards against responses without an end, or far larger than usual, that a node holds until its
// memory is used up: in the body, the head and what else belongs to a response, of each status and framing, on each
// kind of route, directly and through another node.
func TestFloodsAreBounded(t *testing.T) {
	scripts, err := filepath.Glob("testdata/floods/*.txt")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			s := make(floodScript)
			scripted.Read(t, path, s.parseLine)
			newFloodRun(t, s).run()
		})
	}
}
