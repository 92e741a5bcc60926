package node

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/core/signal"
	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// TestPanicCostsOneAttempt guards against a panic on what an endpoint sent that ends the process, or a request that may be
// sent again, and against one that leaves the endpoint in use. The endpoints state their slowdown, so that requests are
// also sent in goroutines of their own.
func TestPanicCostsOneAttempt(t *testing.T) {
	for name, q := range map[string]platformtest.Request{
		"plain":  {Path: "/read/x", Body: "a"},
		"stream": {Path: "/plain/x", Streaming: true},
		"staged": {Path: "/staged/x", Streaming: true, Pieces: []int{2, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			site, _ := newSite(t)
			faulty := map[string]bool{}
			for _, service := range []string{"desk", "model", "encode", "rank"} {
				workers := site.AddWorkers(service, 3)
				for _, w := range workers {
					w.AnnounceLoad("0,0,8,100")
				}
				faulty[workers[0].ID] = true
			}
			text, addresses := site.Settings()
			s, err := platform.ParseSettings(text)
			if err != nil {
				t.Fatal(err)
			}
			n := New(s)
			n.workers = platform.NewWorkerClient(platform.WithDialer(n), platform.WithMemory(n.memory), platform.WithSignalObserver(func(endpoint, _ string, _ int, _ signal.Signals) {
				if faulty[endpoint] {
					panic("a fault in the handling of a response")
				}
			}))
			n.leaders.workers = n.workers
			running := startBuiltNode(t, n, addresses)
			running.awaitReady(t)
			served := 0
			for k := range 30 {
				r := q
				r.ID, r.Deadline = fmt.Sprint(name, "-", k), 4*time.Second
				if a := do(running.Front, r); a.Status == 200 && a.Err == nil {
					served++
				}
			}
			panics := n.meters.set.GetOrCreateCounter(`gradetiller_panics_total{task="attempt"}`).Get() + n.meters.set.GetOrCreateCounter(`gradetiller_panics_total{task="stage call"}`).Get()
			t.Logf("%d of 30 requests served, %d panics", served, panics)
			if panics == 0 {
				t.Error("nothing panicked: the test shows nothing")
			}
			if served < 28 {
				t.Errorf("%d of 30 requests were served, want 28", served)
			}
			if panics > 30 {
				t.Errorf("%d attempts panicked in 30 requests: the endpoints are not ejected", panics)
			}
		})
	}
}
