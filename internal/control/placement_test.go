package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/internal/platform"
	"gradetiller.example/internal/standin"
)

const testTerm = 600 * time.Millisecond

// testFleet runs a platform, engines and control processes in one process.
type testFleet struct {
	t     *testing.T
	world *standin.World
	url   string
	cfg   *config.Config
}

func newTestFleet(t *testing.T, engines int) *testFleet {
	text := "format: 1\nname: test\naccounts: [{name: a, key_sha256: \"" + fmt.Sprintf("%064d", 1) + "\"}]\npools:\n  - name: lm\n    kind: engine\n    endpoints:\n"
	var listeners []net.Listener
	for i := range engines {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		text += fmt.Sprintf("      - {name: e%d, address: %q, failure_domain: d, versions: [m%d, base], checks_orders: %t}\n", i, l.Addr(), i%2, i%2 == 0)
	}
	text += "pipelines: [{name: p, deadline: 1s, stages: [{name: s, pool: lm}]}]\n"
	cfg, err := config.Parse("test.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	f := &testFleet{t: t, cfg: cfg, world: standin.NewWorld(1, cfg, nil, standin.DefaultLatency)}
	for _, l := range listeners {
		server := &httptest.Server{Listener: l, Config: &http.Server{Handler: f.world.Endpoints()[l.Addr().String()].Handler()}}
		server.Start()
		t.Cleanup(server.Close)
	}
	server := httptest.NewServer(f.world.Admin())
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// start runs a control process and returns a function that stops it without
// gossiping that it leaves, as a crash would.
func (f *testFleet) start(name string) (*Control, func()) {
	p, err := platform.NewHTTP(f.url)
	if err != nil {
		f.t.Fatal(err)
	}
	c := New(Identity{System: "test", Node: name, Incarnation: 1, PeerAddress: "127.0.0.1:1", Domain: "d"}, WithPlatform(p, p, p), WithLeaseTerm(testTerm))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		go c.configLoop(ctx)
		c.placement.run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	f.t.Cleanup(stop)
	return c, stop
}

func (f *testFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out after 20 s waiting for: %s", what)
		}
	}
}

func (f *testFleet) isLoaded() bool {
	for _, e := range f.cfg.Pools()[0].Endpoints() {
		if !slices.Equal(f.world.Endpoints()[e.Address()].Versions(), e.Versions()) {
			return false
		}
	}
	return true
}

func (f *testFleet) orderCounts() (sum standin.OrderCounts) {
	for _, e := range f.world.Endpoints() {
		o := e.Orders()
		sum.Loads += o.Loads
		sum.Stale += o.Stale
	}
	return sum
}

// TestPlacementSurvivesHolderCrash guards against a fleet that stays half loaded
// when the lease holder crashes. The store also loses answers, and an engine
// restarts. A successor finishes the work under a higher epoch, no engine loads
// the same versions twice, and no order of an earlier epoch is carried out after
// one of a later epoch.
func TestPlacementSurvivesHolderCrash(t *testing.T) {
	const engines = 8
	f := newTestFleet(t, engines)
	a, stopA := f.start("a")
	if _, _, err := a.Apply(context.Background(), 0, f.cfg.Data(), "test"); err != nil {
		t.Fatal(err)
	}
	f.waitFor("half of the engines have loaded", func() bool { return f.orderCounts().Loads >= engines/2 })
	first, _ := a.placement.heldEpoch()
	b, _ := f.start("b")
	stopA()
	if err := f.world.InjectFault(standin.FaultSpec{Target: "platform", Fault: standin.FaultLoseAnswer, Seconds: 1}); err != nil {
		t.Fatal(err)
	}
	f.waitFor("the fleet is loaded", f.isLoaded)
	if o := f.orderCounts(); o.Loads != engines || o.Stale != 0 {
		t.Fatalf("%d engines have order counts %+v, want one load each and no stale order", engines, o)
	}
	address := f.cfg.Pools()[0].Endpoints()[3].Address()
	f.world.Endpoints()[address].Restart()
	f.waitFor("the restarted engine is loaded again", f.isLoaded)
	f.waitFor("the successor holds the lease", func() bool {
		epoch, ok := b.placement.heldEpoch()
		return ok && epoch > first
	})
	if o := f.orderCounts(); o.Loads != engines+1 || o.Stale != 0 {
		t.Fatalf("order counts after the restart %+v, want one more load and no stale order", o)
	}
}
