package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/reach"
	"gradetiller.example/internal/core/rollout"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// peerProxy forwards connections to a node's peer address until it is cut.
type peerProxy struct {
	address string
	mu      sync.Mutex
	conns   []net.Conn
	cut     bool
}

func startPeerProxy(t *testing.T, to string) *peerProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &peerProxy{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c, to)
		}
	}()
	return p
}

func (p *peerProxy) forward(c net.Conn, to string) {
	target, err := net.Dial("tcp", to)
	p.mu.Lock()
	p.conns = append(p.conns, c)
	if err == nil {
		p.conns = append(p.conns, target)
	}
	closed := p.cut || err != nil
	p.mu.Unlock()
	if closed {
		_ = c.Close()
		return
	}
	go func() {
		_, _ = io.Copy(target, c)
		_ = target.Close()
	}()
	_, _ = io.Copy(c, target)
	_ = c.Close()
}

// breakLinks closes all connections, and every further one at once.
func (p *peerProxy) breakLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// startRelayPair starts a node that has lost its paths to all workers, and another one that relays for
// it and is reached through a proxy.
func startRelayPair(t *testing.T, site *platformtest.Site, workers []*platformtest.Worker) (cut, relay *testNode, link *peerProxy) {
	text, addresses := site.Settings()
	link = startPeerProxy(t, addresses.Peer)
	relay = startNodeWith(t, text, addresses, WithPeerAddress(link.address))
	text, addresses = site.Settings(link.address)
	var p platformtest.Partition
	cut = startNodeWith(t, text, addresses, withDial(&p))
	relay.awaitReady(t)
	cut.awaitReady(t)
	eventually(t, "the nodes know each other", func() bool { return cut.node.liveNodes.Load() == 2 })
	p.Cut(platformtest.ConnectionsReset, func(address string) bool {
		for _, w := range workers {
			if w.Address() == address {
				return true
			}
		}
		return false
	})
	return cut, relay, link
}

// TestBrokenRelay guards against a request that is answered as not run although it may run at its
// endpoint, since the link to the node that relays it broke midway, and against one that is sent twice
// then although it may run only once.
func TestBrokenRelay(t *testing.T) {
	site, _ := newSite(t)
	workers := append(site.AddWorkers("desk", 2), site.AddWorkers("model", 1)...)
	for _, w := range workers {
		w.Delay(500 * time.Millisecond)
	}
	cut, _, link := startRelayPair(t, site, workers)
	if a := do(cut.Front, platformtest.Request{ID: "first", Path: "/book/x"}); a.Status != http.StatusOK {
		t.Fatalf("the node without paths answered %d, want 200 through the other one", a.Status)
	}
	const count = 6
	var sending sync.WaitGroup
	answers := make([]platformtest.Response, count)
	for i := range count {
		sending.Go(func() {
			answers[i] = do(cut.Front, platformtest.Request{ID: fmt.Sprint("r-", i), Path: "/book/x", Body: fmt.Sprint(i)})
		})
	}
	runs := func(id string) int { return workers[0].Runs(id) + workers[1].Runs(id) }
	eventually(t, "the requests run", func() bool {
		for i := range count {
			if runs(fmt.Sprint("r-", i)) == 0 {
				return false
			}
		}
		return true
	})
	link.breakLinks()
	sending.Wait()
	for i, a := range answers {
		if n := runs(fmt.Sprint("r-", i)); a.Status != http.StatusBadGateway || n != 1 {
			t.Errorf("request %d was answered %d and ran %d times; want 502, once", i, a.Status, n)
		}
	}
	a := do(cut.Front, platformtest.Request{ID: "late", Path: "/book/x"})
	if n := runs("late"); a.Status != http.StatusServiceUnavailable || a.RetryAfter == "" || n != 0 {
		t.Errorf("without a relay, a request was answered %d and ran %d times; want 503 with Retry-After, not run", a.Status, n)
	}
}

// TestRelayStreams guards against events that are held back, altered or lost on their way through two
// nodes, for a stream with stages that a leader without paths runs.
func TestRelayStreams(t *testing.T) {
	site, _ := newSite(t)
	var workers []*platformtest.Worker
	for _, name := range []string{"desk", "model", "encode", "rank"} {
		workers = append(workers, site.AddWorkers(name, 2)...)
	}
	cut, relay, _ := startRelayPair(t, site, workers)
	for i := range 10 {
		for _, n := range []*testNode{cut, relay} {
			id := fmt.Sprint(n.Node, "-", i)
			a := do(n.Front, platformtest.Request{ID: id, Path: "/staged/x", Streaming: true, Pieces: []int{2, 3}, Prefix: "aa:10,bb:20,cc:5"})
			if a.Status != http.StatusOK || a.Body != events(id, 4) || a.Err != nil {
				t.Errorf("%s: %+v", id, a)
			}
		}
	}
	if m := relay.metrics(); !strings.Contains(m, `gradetiller_relays_total{result="connected"}`) {
		t.Error("the metrics count no relayed connection")
	}
	eventually(t, "all relayed connections end", func() bool { return relay.node.relaysOpen.Load() == 0 })
	if held := relay.node.memory.Held(); held != 0 {
		t.Errorf("%d bytes stay reserved", held)
	}
}

// TestClientLeavesRelayedRequest guards against endpoints that work on for a client that has gone.
func TestClientLeavesRelayedRequest(t *testing.T) {
	site, _ := newSite(t)
	workers := append(site.AddWorkers("desk", 1), site.AddWorkers("model", 1)...)
	cut, relay, _ := startRelayPair(t, site, workers)
	workers[0].Delay(time.Minute)
	go do(cut.Front, platformtest.Request{ID: "r", Path: "/book/x", Deadline: 500 * time.Millisecond})
	eventually(t, "the request runs", func() bool { return workers[0].Runs("r") == 1 })
	eventually(t, "the connection to its endpoint is closed", func() bool { return relay.node.relaysOpen.Load() == 0 })
}

// TestRelayRefuses guards against a node that connects to whatever another one names, against one that
// relays to endpoints that asked it for a backoff, and against circles of nodes without paths.
func TestRelayRefuses(t *testing.T) {
	site, _ := newSite(t)
	workers := append(site.AddWorkers("desk", 1), site.AddWorkers("model", 1)...)
	n := startNode(t, site)
	n.awaitReady(t)
	id := workers[0].ID
	for _, e := range listedEndpoints(n.node) {
		if e.Address == workers[0].Address() {
			id = e.ID
		}
	}
	conn, result := n.node.connectForRelay(id)
	if result != wire.RelayConnected {
		t.Fatalf("a listed endpoint: %v", result)
	}
	_ = conn.Close()
	if _, result := n.node.connectForRelay("10.0.0.1:80"); result != wire.RelayUnavailable {
		t.Errorf("an endpoint that is not listed: %v", result)
	}
	n.node.handleRelayBackoff(&wire.RelayBackoff{Endpoint: id, Remaining: 60_000})
	if _, result := n.node.connectForRelay(id); result != wire.RelayUnavailable {
		t.Errorf("an endpoint in backoff: %v", result)
	}
}

// TestLostPathIsNoRolloutFailure guards against a rollout that is reverted because the node that calls
// the new version's stage endpoints has lost its paths to them.
func TestLostPathIsNoRolloutFailure(t *testing.T) {
	n := New(platform.Settings{Node: "n1"})
	endpoint := catalog.Endpoint{ID: "i-1", Service: "encode", Version: "v2"}
	orders := rollout.Orders{}.Replace(7, []rollout.Order{{Service: "encode", Version: "v2", Duration: time.Minute, Revision: 7}})
	n.view.Store(&view{endpoints: catalog.EndpointsOf([]catalog.Endpoint{endpoint}), rollouts: orders})
	now := time.Now()
	n.rollouts.sync(now, orders, nil)
	to := reach.Target{Endpoint: "i-1", Service: "encode"}
	answers := func() int { return len(n.rollouts.byService["encode"].recorder.Report()) }

	end := n.trackStageCall("encode", "i-1")
	n.paths.record(now, to, reach.Refused)
	n.paths.recordRelay(now, to, true)
	end(false, time.Second)
	if got := answers(); got != 0 {
		t.Errorf("a call on a lost path counts for the rollout")
	}
	n.paths.record(now, to, reach.Opened)
	n.trackStageCall("encode", "i-1")(false, time.Second)
	if got := answers(); got != 1 {
		t.Errorf("a failure on a path that works does not count for the rollout")
	}
}
