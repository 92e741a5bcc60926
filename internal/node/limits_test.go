package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/platform/platformtest"
)

// The tests of this file guard against nodes that together exceed a rate limit announced by an
// endpoint. Two of eighteen endpoints announced 1 request a second and got 12 in 4 s, where 11 are
// allowed, from nodes that had already relayed such responses: each node, or the leader that places
// for all, kept choosing the endpoint as before, since the rate of all nodes together was limited
// only for a time after the endpoint's start. Without a limit shared by all nodes, the endpoints of
// each kind of service get many times the announced rate even if every node knows it.

const (
	// announcedRate is the limit that the endpoints in these tests announce, in requests per
	// second.
	announcedRate = 1.5
	// measurePeriod is how long requests are counted against the limit.
	measurePeriod = 6 * time.Second
	// maxRounds is how many seconds nodes may take to lift a withdrawn limit, five times what it
	// usually takes.
	maxRounds = 120
)

// limitCase is a kind of request and the service whose endpoints announce a limit.
type limitCase struct {
	name, service string
	request       platformtest.Request
	// fault affects half of the requests at the service, so that they are retried; some may then
	// fail.
	fault platformtest.Fault
}

// limitCases are the kinds of requests that reach endpoints.
var limitCases = []limitCase{
	{name: "plain", service: "desk", request: platformtest.Request{Path: "/read/x"}},
	{name: "once", service: "desk", request: platformtest.Request{Path: "/book/x"}},
	{name: "model", service: "model", request: platformtest.Request{Path: "/plain/x", Streaming: true}},
	{name: "placed", service: "model", request: platformtest.Request{Path: "/staged/x", Streaming: true, Pieces: []int{1, 1}}},
	{name: "stages", service: "encode", request: platformtest.Request{Path: "/staged/x", Streaming: true, Pieces: []int{2, 1}}},
}

// retryCases are requests that are retried: plain requests whose connection is reset, and streams
// that break midway and resume at another endpoint, placed by nodes and by a leader.
var retryCases = []limitCase{
	{name: "repeats", service: "desk", request: platformtest.Request{Path: "/read/x"}, fault: platformtest.Reset},
	{name: "resumed", service: "model", request: platformtest.Request{Path: "/plain/x", Streaming: true}, fault: platformtest.TruncateEvent},
	{name: "resumed-placed", service: "model", request: platformtest.Request{Path: "/staged/x", Streaming: true, Pieces: []int{1, 1}}, fault: platformtest.TruncateEvent},
}

// responseCounts counts the responses to requests by status.
type responseCounts struct {
	mu       sync.Mutex
	byStatus map[int]int
	// unexpected are failures, and refusals without Retry-After.
	unexpected []string
}

func (l *responseCounts) record(a platformtest.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byStatus[a.Status]++
	if a.Status != http.StatusOK && (a.Status != http.StatusServiceUnavailable || a.RetryAfter == "") {
		l.unexpected = append(l.unexpected, fmt.Sprintf("%d %q %v", a.Status, a.RetryAfter, a.Err))
	}
}

// run has clients send requests to the nodes in turn until a time.
func (l *responseCounts) run(nodes []*testNode, q platformtest.Request, clients int, until time.Time) {
	var sending sync.WaitGroup
	for c := range clients {
		sending.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				r := q
				r.ID = fmt.Sprintf("l-%d-%d", c, i)
				if r.Streaming {
					r.Prefix = fmt.Sprintf("%x:5", c*1000+i)
				}
				l.record(do(nodes[(c+i)%len(nodes)].Front, r))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	sending.Wait()
}

// TestAnnouncedRateLimitIsKept guards against nodes that together exceed an announced rate limit,
// or starve a limited endpoint. Two of six endpoints, then all of them, announce a limit while
// three nodes send far more. No endpoint gets more than allowed, each gets some requests, and
// requests that are not served are refused as not run with Retry-After.
func TestAnnouncedRateLimitIsKept(t *testing.T) {
	for _, c := range slices.Concat(limitCases, retryCases) {
		for _, limited := range []int{2, 6} {
			t.Run(fmt.Sprintf("%s-%d-of-6", c.name, limited), func(t *testing.T) {
				t.Parallel()
				c.checkRateLimit(t, limited)
			})
		}
	}
}

// checkRateLimit runs the case on three nodes with six endpoints, some of them limited.
func (c limitCase) checkRateLimit(t *testing.T, limited int) {
	const count = 3
	site, _ := newSite(t)
	var workers []*platformtest.Worker
	for _, name := range []string{"desk", "model", "encode", "rank"} {
		list := site.AddWorkers(name, 6)
		if name == c.service {
			workers = list
		}
	}
	nodes := []*testNode{startNode(t, site)}
	for range count - 1 {
		nodes = append(nodes, startNode(t, site, nodes[0].Peer))
	}
	for _, n := range nodes {
		n.awaitReady(t)
	}
	counts := &responseCounts{byStatus: make(map[int]int)}
	announcedAt := time.Now().Add(time.Second)
	go func() {
		time.Sleep(time.Until(announcedAt))
		for _, w := range workers[:limited] {
			w.AnnounceRateLimit(strconv.FormatFloat(announcedRate, 'f', -1, 64))
		}
	}()
	if c.fault != platformtest.Healthy {
		for _, w := range workers {
			w.InjectFaults(alternateFaults(c.fault, 1000)...)
		}
	}
	counts.run(nodes, c.request, 8, announcedAt.Add(intaketest.GracePeriod+measurePeriod))
	allowed := intaketest.Allowed(announcedRate)
	for i, w := range workers[:limited] {
		// Requests sent before the endpoint announced its limit do not count: at 50 requests a
		// second, they would fill any measured span that includes them.
		arrivals := intaketest.After(w.ArrivalTimes(), announcedAt.Add(intaketest.NodeReactionTime))
		if got := intaketest.MaxInSpan(arrivals, announcedAt.Add(intaketest.GracePeriod)); got > allowed {
			t.Errorf("endpoint %d got %d requests within %v, want at most %d", i, got, intaketest.Span, allowed)
		}
		if len(intaketest.After(arrivals, announcedAt.Add(intaketest.GracePeriod))) == 0 {
			t.Errorf("endpoint %d got no requests after %v", i, intaketest.GracePeriod)
		}
	}
	t.Logf("responses by status: %v", counts.byStatus)
	if c.fault != platformtest.Healthy {
		return
	}
	if len(counts.unexpected) > 0 {
		t.Errorf("%d requests were neither served nor refused with Retry-After; first: %s", len(counts.unexpected), counts.unexpected[0])
	}
	if limited < len(workers) && counts.byStatus[http.StatusServiceUnavailable] > 0 {
		t.Errorf("%d requests were refused although four endpoints have no limit", counts.byStatus[http.StatusServiceUnavailable])
	}
}

// alternateFaults returns a fault for every second of a number of requests.
func alternateFaults(f platformtest.Fault, requests int) []platformtest.Fault {
	list := make([]platformtest.Fault, requests)
	for i := range requests / 2 {
		list[2*i] = f
	}
	return list
}

// TestWithdrawnRateLimit guards against limits that stay in force after their endpoints withdraw
// them. All endpoints announce a limit and withdraw it in responses to the requests that still
// reach them; soon after, all requests are served again.
func TestWithdrawnRateLimit(t *testing.T) {
	for _, c := range limitCases {
		for _, perSecond := range []string{"1.5", "0"} {
			t.Run(c.name+"-"+perSecond, func(t *testing.T) {
				t.Parallel()
				site, _ := newSite(t)
				all := make(map[string][]*platformtest.Worker)
				for _, name := range []string{"desk", "model", "encode", "rank"} {
					all[name] = site.AddWorkers(name, 3)
				}
				nodes := []*testNode{startNode(t, site)}
				nodes = append(nodes, startNode(t, site, nodes[0].Peer))
				for _, n := range nodes {
					n.awaitReady(t)
				}
				for _, w := range all[c.service] {
					w.AnnounceRateLimit(perSecond)
				}
				counts := &responseCounts{byStatus: make(map[int]int)}
				counts.run(nodes, c.request, 16, time.Now().Add(2*time.Second))
				if counts.byStatus[http.StatusServiceUnavailable] == 0 {
					t.Error("no request was refused: the test shows nothing")
				}
				for _, w := range all[c.service] {
					w.AnnounceRateLimit("")
				}
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go func() {
					for ctx.Err() == nil {
						counts.run(nodes, c.request, 4, time.Now().Add(100*time.Millisecond))
					}
				}()
				ended := time.Now()
				served := false
				for round := 0; round < maxRounds && !served; round++ {
					later := &responseCounts{byStatus: make(map[int]int)}
					later.run(nodes, c.request, 4, time.Now().Add(time.Second))
					served = later.byStatus[http.StatusServiceUnavailable] == 0 && len(later.unexpected) == 0
				}
				if !served {
					t.Fatalf("some requests are still refused %v after the limits were withdrawn", time.Since(ended))
				}
				t.Logf("all requests were served %v after the limits were withdrawn", time.Since(ended).Round(100*time.Millisecond))
			})
		}
	}
}
