package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gradetiller.example/platform/platformtest"
)

// What was seen: a request that crashed every endpoint that began to run it came again
// and again, at any node, and was sent on each time: 21 endpoints of 18 ended by one
// request, and with each of them all that ran there. How it came about: each of the
// client's tries is a request of its own to every node; the limits on repeats hold within
// one try. Cause: nothing that a node learns of a request outlasts a try, or is told to
// the other nodes, and a batch of a stage whose endpoint ended was put together again
// with the same pieces. Proof: the tests below, on three nodes and twelve endpoints of
// which each is back after a time, end an endpoint with every try on the code before
// (TestPoisonIsRefused), and the mates of the request in a batch with it
// (TestPoisonInBatches).

const (
	// deadly is the text in a request by which the endpoints of these tests crash.
	crashText = "divide by zero"
	// The ends of endpoints after which a request must be known to cause them, and how
	// long all nodes may take to know it. The sleep is longer, as no verdict depends on
	// the machine's speed.
	maxCrashes = 3
	spreadTime = 5 * time.Second
)

// poisonRoutes are routes of each kind on which a request may crash endpoints.
var poisonRoutes = map[string]platformtest.Request{
	"plain service":               {Path: "/read/x"},
	"plain service, not repeated": {Path: "/book/x"},
	"model":                       {Path: "/plain/x", Streaming: true, Prefix: "aa:10,bb:20,cc:5"},
	"model, not repeated":         {Path: "/once/x", Streaming: true, Prefix: "aa:10,bb:20,cc:5"},
	"stages":                      {Path: "/staged/x", Streaming: true, Pieces: []int{2, 3}, PieceKey: crashText},
}

// poisonSite is a deployment whose endpoints crash by a deadly request and are back
// after a time.
func poisonSite(t *testing.T) *platformtest.Site {
	site, _ := newSite(t)
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		site.AddWorkers(service, 12)
	}
	site.CrashOn(crashText, 600*time.Millisecond, 1200*time.Millisecond)
	return site
}

// TestPoisonIsRefused sends a deadly request to three nodes in turn until it has ended
// three endpoints. Then every node refuses it as not run, one that begins only then
// included, and ends no more endpoints by it; others with the same path go on.
func TestPoisonIsRejected(t *testing.T) {
	for name, q := range poisonRoutes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := poisonSite(t)
			nodes := []*testNode{startNode(t, site)}
			for range 2 {
				nodes = append(nodes, startNode(t, site, nodes[0].Peer))
			}
			for _, n := range nodes {
				n.awaitReady(t)
			}
			q.Body = crashText
			tries := 0
			try := func(n *testNode) platformtest.Response {
				tries++
				q.ID = fmt.Sprintf("deadly-%d", tries)
				return do(n.Front, q)
			}
			for len(site.Crashes()) < maxCrashes && tries < 40 {
				try(nodes[tries%len(nodes)])
			}
			if n := len(site.Crashes()); n < maxCrashes {
				t.Fatalf("the request has ended %d endpoints in %d tries: the test shows nothing", n, tries)
			}
			time.Sleep(spreadTime)
			lateNode := startNode(t, site, nodes[1].Peer)
			lateNode.awaitReady(t)
			before := len(site.Crashes())
			for i, n := range append(nodes, lateNode) {
				if a := try(n); a.Status != http.StatusServiceUnavailable || a.RetryAfter == "" {
					t.Errorf("node %d answers %d %v, Retry-After %q", i, a.Status, a.Err, a.RetryAfter)
				}
			}
			if n := len(site.Crashes()) - before; n > 0 {
				t.Errorf("%d more endpoints were ended after all had time to know the cause", n)
			}
			other := q
			other.Body, other.PieceKey = "seat 4", ""
			for i, n := range append(nodes, lateNode) {
				other.ID = fmt.Sprintf("other-%d", i)
				if a := do(n.Front, other); a.Status != http.StatusOK || a.Err != nil {
					t.Errorf("another request at node %d: %d %v", i, a.Status, a.Err)
				}
			}
		})
	}
}

// TestPoisonInBatches sends staged requests, one of them deadly to the endpoints of its
// first stage, all at once, so that their pieces share calls. The others are served, and
// the deadly one ends no more endpoints than it takes to know it.
func TestPoisonInBatches(t *testing.T) {
	site := poisonSite(t)
	n := startNode(t, site)
	n.awaitReady(t)
	const requests = 24
	answers := make([]platformtest.Response, requests)
	var sending sync.WaitGroup
	for i := range requests {
		q := platformtest.Request{ID: fmt.Sprintf("mate-%d", i), Path: "/staged/x", Body: fmt.Sprint(i), Streaming: true, Pieces: []int{2, 3}}
		if i == requests/2 {
			q.Body, q.PieceKey = crashText, crashText
		}
		sending.Go(func() { answers[i] = do(n.Front, q) })
	}
	sending.Wait()
	if ends := len(site.Crashes()); ends == 0 || ends > maxCrashes {
		t.Errorf("%d endpoints were ended, want 1 to %d", ends, maxCrashes)
	}
	for i, a := range answers {
		if i != requests/2 && (a.Status != http.StatusOK || a.Err != nil) {
			t.Errorf("request %d: %d %v", i, a.Status, a.Err)
		}
	}
}

// TestBrokenRunsAloneRefuseNothing has a request's runs break off again and again at
// endpoints that live on: by resets, cut answers and answers of others. It is refused by
// no node, and served as soon as the endpoints are well.
func TestBrokenRunsAreNotPoison(t *testing.T) {
	faults := map[string]platformtest.Fault{
		"reset": platformtest.Reset, "cut short": platformtest.TruncateBody, "another's answer": platformtest.WrongRequestID, "no signature": platformtest.MissingStamp,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, _ := newSite(t)
			workers := site.AddWorkers("desk", 3)
			nodes := []*testNode{startNode(t, site)}
			nodes = append(nodes, startNode(t, site, nodes[0].Peer))
			for _, n := range nodes {
				n.awaitReady(t)
			}
			q := platformtest.Request{Path: "/book/x", Body: "seat 4"}
			for i := range 8 {
				for _, w := range workers {
					w.ClearFaults()
					w.InjectFaults(fault)
				}
				q.ID = fmt.Sprintf("broken-%d", i)
				if a := do(nodes[i%2].Front, q); a.Status != http.StatusBadGateway {
					t.Errorf("try %d: %d %v", i, a.Status, a.Err)
				}
			}
			for _, w := range workers {
				w.ClearFaults()
			}
			for i, n := range nodes {
				q.ID = fmt.Sprintf("well-%d", i)
				if a := do(n.Front, q); a.Status != http.StatusOK {
					t.Errorf("node %d: %d %v, Retry-After %q", i, a.Status, a.Err, a.RetryAfter)
				}
			}
		})
	}
}
