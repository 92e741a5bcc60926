package node

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/scripted"
	"gradetiller.example/platform/platformtest"
)

// continuationScript is a test of streams that continue, read from a file. Its lines:
//
//	nodes N               default 3
//	previous K...         nodes that run the previous release, counted from 1
//	work plain|placed     the kind of requests, default plain: placed ones have stages and a leader
//	endpoints VERSION N   starts N endpoints of the model service, and awaits that nodes list them
//	drain VERSION         its endpoints announce that they drain, and nodes learn it
//	unlist VERSION        its endpoints are listed no more, and nodes learn it; they serve on for a while
//	end                   all nodes end at once
//	restart               they start again, and know nothing of before
//	wait DURATION         nothing happens for a while
//	run A B               streams run at the nodes A to B; one endpoint of each version breaks off all of
//	                      its streams midway
//	begin A B             streams begin at the nodes A to B, and their clients leave after three events
//	return A B [fresh] [unnamed]
//	                      the clients return at the nodes A to B. fresh: no endpoint has their prompts
//	                      cached. unnamed: they don't name their first attempts
//	order VERSION         a rollout to the version is ordered
//	stop K                node K stops
//	isolate K             node K loses its links to the other nodes and the store
//	want goes-on SHARE    at least this share of the streams goes on, and the others are refused
//	want refused          all returning clients are refused, as not run
//
// In each of them, no client may hold events of two software versions.
type continuationScript struct {
	nodes    int
	previous []int
	work     string
	steps    [][]string
}

func readContinuationScript(t *testing.T, path string) continuationScript {
	s := continuationScript{nodes: 3, work: "plain"}
	scripted.Read(t, path, s.parseLine)
	return s
}

func (s *continuationScript) parseLine(words []string) error {
	switch words[0] {
	case "nodes":
		n, err := strconv.Atoi(words[1])
		s.nodes = n
		return err
	case "previous":
		for _, word := range words[1:] {
			k, err := strconv.Atoi(word)
			if err != nil {
				return err
			}
			s.previous = append(s.previous, k)
		}
	case "work":
		s.work = words[1]
	case "endpoints", "drain", "unlist", "end", "restart", "wait", "run", "begin", "return", "order", "stop", "isolate", "want":
		s.steps = append(s.steps, words)
	default:
		return fmt.Errorf("unknown line %q", strings.Join(words, " "))
	}
	return nil
}

const (
	// continuedStreams is the number of streams of a step, and continuedEvents their length.
	continuedStreams = 24
	continuedEvents  = 30
	// leaveAfter is the number of events that a client has when it leaves.
	leaveAfter = 3
)

// heldStream is what a client holds of a stream.
type heldStream struct {
	id        string
	body      string
	responses []platformtest.Response
}

// versions returns the software versions that wrote the events.
func (h *heldStream) versions() []string {
	var list []string
	for line := range strings.Lines(h.body) {
		words := strings.Fields(line)
		if len(words) == 3 && words[0] == ":" && !slices.Contains(list, words[1]) {
			list = append(list, words[1])
		}
	}
	return list
}

// last returns the last response.
func (h *heldStream) last() platformtest.Response { return h.responses[len(h.responses)-1] }

// goesOn reports whether the last response brought the rest of the stream.
func (h *heldStream) goesOn() bool {
	return h.last().Status == http.StatusOK && h.last().Err == nil && strings.Count(h.body, "id: ") == continuedEvents
}

// continuationRun is a script in progress.
type continuationRun struct {
	t       *testing.T
	script  continuationScript
	site    *platformtest.Site
	nodes   []*testNode
	links   []*peerProxy
	stores  []*platformtest.StoreProxy
	cut     []bool
	workers map[string][]*platformtest.Worker
	streams []*heldStream
}

func newContinuationRun(t *testing.T, s continuationScript) *continuationRun {
	site, _ := newSite(t)
	site.MarkEvents = true
	r := &continuationRun{t: t, script: s, site: site, workers: make(map[string][]*platformtest.Worker)}
	site.AddWorkers("encode", 2)
	site.AddWorkers("rank", 2)
	r.startAll()
	return r
}

// startAll starts the nodes in place of any before. Those of this process can't listen at the addresses of ended ones again, so
// that they have other addresses and names.
func (r *continuationRun) startAll() {
	r.nodes, r.links, r.stores, r.cut = nil, nil, nil, make([]bool, r.script.nodes)
	var seeds []string
	for k := range r.script.nodes {
		store := r.site.AddStoreProxy()
		text, addresses := r.site.SettingsFor(platformtest.Instance{Zone: platformtest.DefaultZone, MemoryMB: 284, Store: store.Address}, seeds...)
		link := startPeerProxy(r.t, addresses.Peer)
		options := []Option{WithPeerAddress(link.address), withPatientSearch}
		if slices.Contains(r.script.previous, k+1) {
			options = append(options, asPreviousRelease)
		}
		r.nodes = append(r.nodes, startNodeWith(r.t, text, addresses, options...))
		r.links, r.stores = append(r.links, link), append(r.stores, store)
		seeds = []string{r.links[0].address}
	}
	awaitSystem(r.t, r.nodes)
}

// withPatientSearch gives searches so much time that no verdict depends on the machine's speed.
func withPatientSearch(n *Node) { n.originTimeout = 2 * time.Second }

// asPreviousRelease makes a node exchange no records of where streams began, as in the release before.
func asPreviousRelease(n *Node) { n.disabled = mechanism.Disabled{mechanism.Origins: true} }

// connected returns the nodes that are not cut off.
func (r *continuationRun) connected() []*testNode {
	var list []*testNode
	for k, n := range r.nodes {
		if !r.cut[k] {
			list = append(list, n)
		}
	}
	return list
}

// awaitListed waits until the connected nodes know that the endpoints of a version accept work, or that
// they don't.
func (r *continuationRun) awaitListed(version string, accept bool) {
	r.t.Helper()
	eventually(r.t, "the nodes learn the endpoints of "+version, func() bool {
		return !slices.ContainsFunc(r.connected(), func(n *testNode) bool {
			accepting := 0
			for _, e := range listedEndpoints(n.node) {
				if e.Service == "model" && e.Version == version && !e.Draining {
					accepting++
				}
			}
			return accept != (accepting == len(r.workers[version])) || !accept && accepting > 0
		})
	})
}

// step executes a step of the script.
func (r *continuationRun) step(words []string) error {
	var err error
	number := func(k int) int {
		n, e := strconv.Atoi(words[k])
		err = errors.Join(err, e)
		return n
	}
	switch words[0] {
	case "endpoints":
		list := r.site.AddWorkersOfVersion(words[1], "model", number(2))
		for _, w := range list {
			w.Events, w.EventInterval = continuedEvents, r.site.EventInterval
		}
		r.workers[words[1]] = append(r.workers[words[1]], list...)
		r.awaitListed(words[1], true)
	case "drain":
		for _, w := range r.workers[words[1]] {
			w.Drain()
		}
		r.awaitListed(words[1], false)
	case "unlist":
		for _, w := range r.workers[words[1]] {
			w.Unlist()
		}
		r.awaitListed(words[1], false)
	case "end":
		r.endAll()
	case "restart":
		r.startAll()
	case "wait":
		d, e := time.ParseDuration(words[1])
		err = e
		time.Sleep(d)
	case "run":
		r.breakStreams()
		r.begin(number(1), number(2), 0)
	case "begin":
		r.begin(number(1), number(2), leaveAfter)
	case "return":
		r.comeBack(number(1), number(2), slices.Contains(words, "fresh"), slices.Contains(words, "unnamed"))
	case "order":
		r.site.Store.OrderRollout("model", words[1], time.Minute)
		eventually(r.t, "the nodes know the rollout", func() bool {
			return !slices.ContainsFunc(r.connected(), func(n *testNode) bool { return len(n.node.view.Load().rollouts.List()) == 0 })
		})
	case "stop":
		r.stop(number(1) - 1)
	case "isolate":
		r.isolate(number(1) - 1)
	case "want":
		r.check(words[1:])
	}
	return err
}

// breakStreams makes the first endpoint of each version break off all of its streams.
func (r *continuationRun) breakStreams() {
	for _, list := range r.workers {
		for range continuedStreams {
			list[0].InjectFaults(platformtest.TruncateEvent)
		}
	}
}

func (r *continuationRun) stop(k int) {
	r.cut[k] = true
	r.nodes[k].stop()
	<-r.nodes[k].done
}

// endAll ends all nodes at once.
func (r *continuationRun) endAll() {
	var ends sync.WaitGroup
	for k := range r.nodes {
		ends.Go(func() { r.stop(k) })
	}
	ends.Wait()
}

func (r *continuationRun) isolate(k int) {
	r.cut[k] = true
	r.stores[k].Disrupt(platformtest.AllCalls, platformtest.Unavailable)
	r.links[k].breakLinks()
	r.nodes[k].node.links.Close()
}

// request returns the request of a client's attempt. The clients' prompts differ.
func (r *continuationRun) request(id string, k int, fresh bool) platformtest.Request {
	q := platformtest.Request{ID: id, Path: "/plain/x", Body: fmt.Sprint("prompt ", k), Streaming: true, Prefix: fmt.Sprintf("%x:80,%x:20", k, 10_000+k)}
	if fresh {
		q.Prefix = fmt.Sprintf("%x:80,%x:20", 20_000+k, 30_000+k)
	}
	if r.script.work == "placed" {
		q.Path, q.Pieces = "/staged/x", []int{1, 1}
	}
	return q
}

// eachStream sends an attempt of each client at the nodes first to last, which are counted from 1.
func (r *continuationRun) eachStream(first, last int, attempt func(k int, front string)) {
	var sending sync.WaitGroup
	for k := range continuedStreams {
		front := r.nodes[first-1+k%(last-first+1)].Front
		sending.Go(func() { attempt(k, front) })
	}
	sending.Wait()
}

func (r *continuationRun) begin(first, last, leaveAfter int) {
	r.streams = make([]*heldStream, continuedStreams)
	r.eachStream(first, last, func(k int, front string) {
		h := &heldStream{id: fmt.Sprintf("first-%d", k)}
		r.streams[k] = h
		q := r.request(h.id, k, false)
		q.LeaveAfter = leaveAfter
		h.receive(do(front, q))
	})
}

func (r *continuationRun) comeBack(first, last int, fresh, unnamed bool) {
	r.eachStream(first, last, func(k int, front string) {
		h := r.streams[k]
		if len(h.versions()) == 0 {
			return // It never began.
		}
		q := r.request(fmt.Sprintf("return-%d-%d", len(h.responses), k), k, fresh)
		q.Resumes, q.LastEventID = h.id, strconv.Itoa(strings.Count(h.body, "id: "))
		if unnamed {
			q.Resumes = ""
		}
		h.receive(do(front, q))
	})
}

// receive records a response to an attempt.
func (h *heldStream) receive(a platformtest.Response) {
	h.responses = append(h.responses, a)
	h.body += a.Body
}

// check compares the streams with what the script wants.
func (r *continuationRun) check(want []string) {
	crossed, begun, wentOn, refused := 0, 0, 0, 0
	other := make(map[string]int)
	for _, h := range r.streams {
		versions := h.versions()
		if len(versions) == 0 {
			continue
		}
		begun++
		switch {
		case len(versions) > 1:
			crossed++
		case h.goesOn():
			wentOn++
		case h.last().Status == http.StatusServiceUnavailable || len(h.responses) == 1 && h.last().Err != nil:
			refused++
		default:
			other[fmt.Sprintf("status %d, error %v", h.last().Status, h.last().Err)]++
		}
	}
	result := fmt.Sprintf("%d streams, %d crossed, %d went on, %d refused, others %v", begun, crossed, wentOn, refused, other)
	r.t.Log(result)
	if crossed > 0 {
		r.t.Errorf("streams hold events of two software versions: %s", result)
	}
	if begun < continuedStreams*9/10 {
		r.t.Errorf("too few streams began: %s", result)
	}
	if want[0] == "refused" {
		if refused != begun {
			r.t.Errorf("streams were not refused: %s", result)
		}
		return
	}
	share, err := strconv.ParseFloat(want[1], 64)
	if err != nil {
		r.t.Fatal(err)
	}
	if float64(wentOn) < share*float64(begun) || len(other) > 0 {
		r.t.Errorf("%v of the streams must go on and the others be refused: %s", share, result)
	}
}

// TestStreamStaysAtItsSoftwareVersion guards against a client that holds events of endpoints of two
// software versions, in one response or over several attempts at different nodes, and against streams that
// do not go on although endpoints of their version accept work.
func TestStreamStaysAtItsSoftwareVersion(t *testing.T) {
	scripts, err := filepath.Glob("testdata/continuations/*.txt")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			r := newContinuationRun(t, readContinuationScript(t, path))
			for _, words := range r.script.steps {
				if err := r.step(words); err != nil {
					t.Fatalf("step %v: %v", words, err)
				}
			}
		})
	}
}
