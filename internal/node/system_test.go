package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// testNode is a running node under test.
type testNode struct {
	platformtest.Addresses
	node *Node
	stop context.CancelFunc
	done chan struct{}
}

func startNode(t *testing.T, site *platformtest.Site, seeds ...string) *testNode {
	t.Helper()
	text, addresses := site.Settings(seeds...)
	return startNodeWith(t, text, addresses)
}

// startNodeOnInstance starts a node on the given instance.
func startNodeOnInstance(t *testing.T, site *platformtest.Site, on platformtest.Instance, seeds ...string) *testNode {
	t.Helper()
	text, addresses := site.SettingsFor(on, seeds...)
	return startNodeWith(t, text, addresses)
}

func startNodeWith(t *testing.T, text []byte, addresses platformtest.Addresses, options ...Option) *testNode {
	t.Helper()
	s, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	return startBuiltNode(t, New(s, options...), addresses)
}

// startBuiltNode starts a node that New returned.
func startBuiltNode(t *testing.T, n *Node, addresses platformtest.Addresses) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	r := &testNode{Addresses: addresses, node: n, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		if err := r.node.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-r.done
	})
	return r
}

func (r *testNode) awaitReady(t *testing.T) {
	t.Helper()
	eventually(t, "the node is ready", func() bool { return platformtest.Ready(r.Ready) == 200 })
}

// awaitSystem waits until all nodes are ready and know each other, and stops them at once at the end of the
// test.
func awaitSystem(t *testing.T, nodes []*testNode) {
	t.Helper()
	t.Cleanup(func() {
		for _, n := range nodes {
			n.stop()
		}
	})
	for _, n := range nodes {
		n.awaitReady(t)
	}
	eventually(t, "all nodes know each other", func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return n.node.liveNodes.Load() < int64(len(nodes)) })
	})
}

// eventually waits until a condition holds. Its bound is generous, so that no verdict depends on
// the machine's speed.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("did not happen: %s", what)
}

const key = "key-1"

// newSite returns a site with a plain service, a model service and two stages.
func newSite(t *testing.T) (*platformtest.Site, platformtest.Config) {
	site := platformtest.NewSite(t)
	c := platformtest.Config{
		Version: 1, Keys: map[string]string{key: "barbers"},
		Models: []string{"model"}, Stages: []string{"encode", "rank"},
		Routes: platformtest.SampleRoutes(),
	}
	site.Publish(c)
	return site, c
}

// listedEndpoints returns the endpoints of a node's view.
func listedEndpoints(n *Node) []catalog.Endpoint {
	var list []catalog.Endpoint
	for e := range n.view.Load().endpoints.All() {
		list = append(list, *e)
	}
	return list
}

func do(a string, q platformtest.Request) platformtest.Response {
	if q.Key == "" {
		q.Key = key
	}
	if q.Deadline == 0 {
		q.Deadline = 4 * time.Second
	}
	return platformtest.Do(context.Background(), a, q)
}

// events returns the first n events of the stream that answers a request.
func events(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", i, i, id)
	}
	return b.String()
}

// TestEndToEnd guards against requests that are altered, run more than once or not answered on
// their way through a node, for a request of each kind.
func TestEndToEnd(t *testing.T) {
	site, _ := newSite(t)
	workers := site.AddWorkers("desk", 2)
	models := site.AddWorkers("model", 2)
	encode, rank := site.AddWorkers("encode", 1)[0], site.AddWorkers("rank", 1)[0]
	n := startNode(t, site)
	n.awaitReady(t)

	a := do(n.Front, platformtest.Request{ID: "p1", Path: "/book/a%2Fb/?q=1%202", Body: "seat 4", ForgedTenant: "clinics"})
	if a.Status != 200 || a.Body != "POST /book/a%2Fb/?q=1%202 seat 4" || a.Stamp == "" {
		t.Errorf("plain request: %+v", a)
	}
	if runs := workers[0].Runs("p1") + workers[1].Runs("p1"); runs != 1 {
		t.Errorf("plain request ran %d times, want once", runs)
	}
	for _, w := range workers {
		if w.Runs("p1") == 1 && w.Tenant("p1") != "barbers" {
			t.Errorf("the worker got tenant %q, want barbers", w.Tenant("p1"))
		}
	}
	s := do(n.Front, platformtest.Request{ID: "s1", Path: "/staged/x", Streaming: true, Pieces: []int{2, 3}, Prefix: "aa:10,bb:20,cc:5"})
	if s.Status != 200 || s.Body != events("s1", 4) {
		t.Errorf("staged stream: %+v", s)
	}
	if got := len(models[0].Inputs("s1")) + len(models[1].Inputs("s1")); got != 3 {
		t.Errorf("the model got %d stage results, want 3", got)
	}
	eventually(t, "all results are freed", func() bool { return encode.HeldResults()+rank.HeldResults() == 0 })
	if b := rank.BatchSizes(); len(b) != 1 || b[0] != 3 {
		t.Errorf("pieces of one stage were sent in calls of %v, want one call of 3", b)
	}
	none := do(n.Front, platformtest.Request{ID: "s2", Path: "/staged/x", Streaming: true, Pieces: []int{0, 0}})
	if none.Status != 200 {
		t.Errorf("stream without pieces: %+v", none)
	}
}

// TestConfigRoutesKeysAndVersions guards against routes or keys that are not honored, and against
// an older configuration that replaces a newer one.
func TestConfigRoutesKeysAndVersions(t *testing.T) {
	site, c := newSite(t)
	site.AddWorkers("desk", 1)
	n := startNode(t, site)
	n.awaitReady(t)
	for _, q := range []struct {
		path, key string
		want      int
	}{{"/read/", "", 200}, {"/none/", "", 404}, {"/read/", "wrong", 401}} {
		if a := do(n.Front, platformtest.Request{ID: "c", Path: q.path, Key: q.key}); a.Status != q.want {
			t.Errorf("%s with key %q: %d, want %d", q.path, q.key, a.Status, q.want)
		}
	}
	next := c
	next.Version = 9
	next.Keys = map[string]string{"key-2": "barbers"}
	site.Publish(next)
	eventually(t, "the revoked key is refused", func() bool {
		return do(n.Front, platformtest.Request{ID: "c", Path: "/read/"}).Status == 401
	})
	site.Publish(c)
	time.Sleep(700 * time.Millisecond)
	if a := do(n.Front, platformtest.Request{ID: "c", Path: "/read/"}); a.Status != 401 {
		t.Errorf("an older version came into force: got %d, want 401", a.Status)
	}
}

// TestNotReadyWithoutConfig guards against a node that claims to be ready before it has a
// configuration: it answers 503, with Retry-After to requests.
func TestNotReadyWithoutConfig(t *testing.T) {
	site := platformtest.NewSite(t)
	site.Store.SetDown(true)
	n := startNode(t, site)
	eventually(t, "the node listens", func() bool { return platformtest.Ready(n.Ready) != 0 })
	if got := platformtest.Ready(n.Ready); got != 503 {
		t.Errorf("readiness check got %d, want 503", got)
	}
	a := do(n.Front, platformtest.Request{ID: "x", Path: "/read/"})
	if a.Status != 503 || a.RetryAfter == "" {
		t.Errorf("got %+v, want 503 with Retry-After", a)
	}
}

// TestUnsafeRequestIsNotRetried guards against a request that may run only once and is run again
// after a fault of its endpoint.
func TestUnsafeRequestIsNotRetried(t *testing.T) {
	site, _ := newSite(t)
	workers := site.AddWorkers("desk", 2)
	models := site.AddWorkers("model", 2)
	n := startNode(t, site)
	n.awaitReady(t)
	for i, c := range []struct {
		fault platformtest.Fault
		want  int
	}{
		{platformtest.Reset, 502},
		{platformtest.WrongRequestID, 502},
		{platformtest.MissingStamp, 502},
		{platformtest.TruncateBody, 502},
		{platformtest.Fail, 500},
		{platformtest.Shed, 503},
	} {
		id := fmt.Sprintf("once-%d", i)
		for _, w := range workers {
			w.InjectFaults(c.fault)
		}
		a := do(n.Front, platformtest.Request{ID: id, Path: "/book/"})
		if a.Status != c.want {
			t.Errorf("fault %d: status %d, want %d", c.fault, a.Status, c.want)
		}
		runs := workers[0].Runs(id) + workers[1].Runs(id)
		if runs > 1 || c.want == 503 && runs != 0 {
			t.Errorf("fault %d: ran %d times with status %d", c.fault, runs, a.Status)
		}
		for _, w := range workers {
			w.ClearFaults()
		}
	}
	for _, m := range models {
		m.InjectFaults(platformtest.TruncateEvent)
	}
	s := do(n.Front, platformtest.Request{ID: "torn", Path: "/once/", Streaming: true, Prefix: "aa:1"})
	if s.Err == nil {
		t.Errorf("broken stream ended without an error: %+v", s)
	}
	if s.Body != events("torn", 2) {
		t.Errorf("the client got %q, want complete events only", s.Body)
	}
	if runs := models[0].Runs("torn") + models[1].Runs("torn"); runs != 1 {
		t.Errorf("stream that may run only once ran %d times", runs)
	}
}

// TestSafeRequestIsRetried guards against a fault that reaches the client although the request may
// run twice: the client gets a complete response.
func TestSafeRequestIsRetried(t *testing.T) {
	site, _ := newSite(t)
	workers := site.AddWorkers("desk", 2)
	models := site.AddWorkers("model", 2)
	n := startNode(t, site)
	n.awaitReady(t)
	for i, f := range []platformtest.Fault{platformtest.Reset, platformtest.WrongRequestID, platformtest.TruncateBody, platformtest.Fail, platformtest.Shed} {
		workers[i%2].InjectFaults(f)
		for k := 0; workers[i%2].PendingFaults() > 0; k++ {
			path := fmt.Sprintf("/read/safe-%d-%d", i, k)
			if a := do(n.Front, platformtest.Request{ID: path, Path: path}); a.Status != 200 || a.Body != "POST "+path+" " {
				t.Fatalf("fault %d: %+v", f, a)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	for _, m := range models {
		m.Events = 9
	}
	models[0].InjectFaults(platformtest.TruncateEvent)
	for k := 0; models[0].PendingFaults() > 0; k++ {
		id := fmt.Sprintf("resumed-%d", k)
		s := do(n.Front, platformtest.Request{ID: id, Path: "/plain/", Streaming: true, Prefix: fmt.Sprintf("%x:1", k)})
		if s.Err != nil || s.Body != events(id, 9) {
			t.Fatalf("stream after one fault: %+v", s)
		}
	}
}

// TestTwoNodesShareStagePool guards against nodes that do not form one system: they find each other
// through seeds, appear in lookups and share one stage pool. A node that stops disappears from
// lookups and cuts no request.
func TestTwoNodesShareStagePool(t *testing.T) {
	site, _ := newSite(t)
	models := site.AddWorkers("model", 2)
	for _, m := range models {
		m.EventInterval = 30 * time.Millisecond
		m.Events = 10
	}
	site.AddWorkers("encode", 1)
	site.AddWorkers("rank", 1)
	a := startNode(t, site)
	b := startNode(t, site, a.Peer)
	a.awaitReady(t)
	b.awaitReady(t)
	eventually(t, "lookup returns both nodes", func() bool {
		list, err := platformtest.Lookup(b.Directory)
		return err == nil && len(list) == 2
	})
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			front := []string{a.Front, b.Front}[i%2]
			id := fmt.Sprintf("both-%d", i)
			s := do(front, platformtest.Request{ID: id, Path: "/staged/", Streaming: true, Pieces: []int{1, 2}, Prefix: "aa:1"})
			if s.Err != nil || s.Body != events(id, 10) {
				t.Errorf("%s: %+v", id, s)
			}
		})
	}
	eventually(t, "exactly one node leads the stage pool", func() bool {
		return (a.node.claimedCells.Load() != 0) != (b.node.claimedCells.Load() != 0)
	})
	b.stop()
	eventually(t, "lookup no longer returns the stopping node", func() bool {
		list, err := platformtest.Lookup(a.Directory)
		return err == nil && len(list) == 1
	})
	wait.Wait()
}

// TestViewFromPeer guards against a node that depends on the store to start: while the store is
// down, it takes the view from a peer and serves by it.
func TestViewFromPeer(t *testing.T) {
	site, _ := newSite(t)
	site.AddWorkers("desk", 1)
	a := startNode(t, site)
	a.awaitReady(t)
	v := a.node.view.Load()
	site.Store.SetDown(true)
	b := startNode(t, site, a.Peer)
	b.awaitReady(t)
	if got := b.node.view.Load(); got.version() != v.version() || got.endpoints.Len() != 1 {
		t.Errorf("the second node has version %d and %d endpoints", got.version(), got.endpoints.Len())
	}
	if s := do(b.Front, platformtest.Request{ID: "x", Path: "/read/"}); s.Status != 200 {
		t.Errorf("request by a view from a peer got %d, want 200", s.Status)
	}
}

// TestDrainingEntryGetsNoRequests guards against requests to an endpoint whose entry in the store
// says that it drains.
func TestDrainingEntryGetsNoRequests(t *testing.T) {
	site, _ := newSite(t)
	workers := site.AddWorkers("desk", 2)
	n := startNode(t, site)
	n.awaitReady(t)
	eventually(t, "both endpoints are listed", func() bool { return n.node.view.Load().endpoints.Len() == 2 })
	workers[0].Drain()
	eventually(t, "the node knows that the endpoint drains", func() bool {
		for _, e := range listedEndpoints(n.node) {
			if e.Draining {
				return true
			}
		}
		return false
	})
	workers[1].RemoveEntry()
	workers = append(workers, site.AddWorkers("desk", 1)...)
	eventually(t, "the list of endpoints is current", func() bool {
		list := listedEndpoints(n.node)
		return len(list) == 2 && list[0].ID != workers[1].ID && list[1].ID != workers[1].ID
	})
	before := workers[0].TotalRuns()
	for i := range 10 {
		if a := do(n.Front, platformtest.Request{ID: fmt.Sprint("d", i), Path: "/read/"}); a.Status != 200 {
			t.Errorf("request got %d, want 200", a.Status)
		}
	}
	if after := workers[0].TotalRuns(); after != before {
		t.Errorf("%d requests reached the draining endpoint", after-before)
	}
}

// TestDisconnectedClient guards against work and stage results that are kept after their client has
// disconnected.
func TestDisconnectedClient(t *testing.T) {
	site, _ := newSite(t)
	model := site.AddWorkers("model", 1)[0]
	encode, rank := site.AddWorkers("encode", 1)[0], site.AddWorkers("rank", 1)[0]
	n := startNode(t, site)
	n.awaitReady(t)
	model.InjectFaults(platformtest.NoResponse)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		eventually(t, "the model runs the request", func() bool { return model.Runs("left") == 1 })
		cancel()
	}()
	a := platformtest.Do(ctx, n.Front, platformtest.Request{ID: "left", Key: key, Path: "/staged/", Streaming: true, Pieces: []int{1, 2}, Deadline: 9 * time.Second})
	if a.Err == nil {
		t.Fatalf("got a response: %+v", a)
	}
	eventually(t, "all results are freed", func() bool { return encode.HeldResults()+rank.HeldResults() == 0 })
	eventually(t, "nothing is in flight", func() bool { return n.node.inFlight.Load() == 0 })
}

// TestCrashedEndpoints guards against retries that alternate between crashed endpoints until the
// request fails. Three of four endpoints crash without notice, as when a rack fails: every request
// reaches the one that is left.
func TestCrashedEndpoints(t *testing.T) {
	site, _ := newSite(t)
	models := site.AddWorkers("model", 4)
	n := startNode(t, site)
	n.awaitReady(t)
	eventually(t, "all endpoints are listed", func() bool { return n.node.view.Load().endpoints.Len() == 4 })
	for _, m := range models[:3] {
		m.Crash()
	}
	for i := range 12 {
		id := fmt.Sprintf("crash-%d", i)
		a := do(n.Front, platformtest.Request{ID: id, Path: "/once/", Streaming: true, Prefix: fmt.Sprintf("%x:1,ff:1", i)})
		if a.Status != 200 || a.Err != nil {
			t.Errorf("%s: %+v", id, a)
		}
	}
}

// TestHungEndpoint guards against requests that wait for an endpoint which runs them but never
// answers. Those that may run twice are answered by another endpoint long before their deadline.
func TestHungEndpoint(t *testing.T) {
	site, c := newSite(t)
	for i := range c.Routes {
		c.Routes[i].Objective = 200 * time.Millisecond
		c.Routes[i].Timeout = 20 * time.Second
	}
	c.Version = 2
	site.Publish(c)
	workers := site.AddWorkers("desk", 2)
	models := site.AddWorkers("model", 2)
	n := startNode(t, site)
	n.awaitReady(t)
	eventually(t, "the objective is known", func() bool { return n.node.view.Load().version() == 2 })
	for _, w := range []*platformtest.Worker{workers[0], models[0]} {
		w.InjectFaults(platformtest.NoResponse)
	}
	for k := 0; workers[0].PendingFaults()+models[0].PendingFaults() > 0; k++ {
		plain := do(n.Front, platformtest.Request{ID: fmt.Sprint("p", k), Path: "/read/", Deadline: 20 * time.Second})
		stream := do(n.Front, platformtest.Request{ID: fmt.Sprint("s", k), Path: "/plain/", Streaming: true, Prefix: fmt.Sprintf("%x:1", k), Deadline: 20 * time.Second})
		if plain.Status != 200 || stream.Status != 200 || stream.Err != nil {
			t.Fatalf("%+v, %+v", plain, stream)
		}
	}
}
