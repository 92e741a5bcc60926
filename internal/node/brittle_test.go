package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gradetiller.example/platform/platformtest"
)

// TestBrittleEndpoints guards against endpoints that fall over because nodes that share them, most of
// which learn late that they are brittle, send more than they have room for. Six nodes send 1.5 times
// what four endpoints with four slots each can do. From 3 s after they first said that they are
// brittle, they let none wait, and fall over if they reject more than three in a second. They may do
// so twice, and a tenth of their number more often.
func TestBrittleEndpoints(t *testing.T) {
	for _, c := range limitCases {
		t.Run(c.name, c.checkBrittle)
	}
}

func (c limitCase) checkBrittle(t *testing.T) {
	const (
		nodeCount, endpoints = 6, 4
		// slots is what the endpoints' entries state.
		slots    = 4
		work     = 400 * time.Millisecond
		reaction = 3 * time.Second
		measured = 8 * time.Second
		// offered is how many requests are sent per second, 1.5 times what the endpoints can do. Both
		// are low, so that no verdict depends on the machine's speed.
		offered = 60
		// minServed is the part of what the endpoints can do that must be served at least, as for any
		// kind of request.
		minServed = 0.25
	)
	site, _ := newSite(t)
	var workers []*platformtest.Worker
	for _, name := range []string{"desk", "model", "encode", "rank"} {
		list := site.AddWorkers(name, endpoints)
		if name == c.service {
			workers = list
		}
	}
	nodes := []*testNode{startNode(t, site)}
	for range nodeCount - 1 {
		nodes = append(nodes, startNode(t, site, nodes[0].Peer))
	}
	for _, n := range nodes {
		n.awaitReady(t)
	}
	for _, w := range workers {
		w.Delay(work)
	}
	begun := time.Now()
	until := begun.Add(time.Second + reaction + measured)
	go func() {
		time.Sleep(time.Second)
		for _, w := range workers {
			w.MakeBrittle(platformtest.Brittleness{MaxRejected: 3, Slots: slots, Queue: 20, Shrinks: time.Now().Add(reaction), Down: 2 * time.Second})
		}
	}()
	counts := &responseCounts{byStatus: make(map[int]int)}
	var sending sync.WaitGroup
	for k, n := range nodes {
		sending.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				sending.Go(func() {
					q := c.request
					q.ID = fmt.Sprintf("b-%d-%d", k, i)
					if q.Streaming {
						q.Prefix = fmt.Sprintf("%x:5", k*100_000+i)
					}
					counts.record(do(n.Front, q))
				})
				time.Sleep(nodeCount * time.Second / offered)
			}
		})
	}
	sending.Wait()
	falls := 0
	for _, w := range workers {
		falls += w.Falls()
	}
	if allowed := 2 + 0.1*endpoints; float64(falls) > allowed {
		t.Errorf("endpoints fell over %d times, want at most %v", falls, allowed)
	}
	if served, most := counts.byStatus[http.StatusOK], until.Sub(begun).Seconds()*slots*endpoints/work.Seconds(); float64(served) < minServed*most {
		t.Errorf("%d requests were served, the endpoints could do %.0f", served, most)
	}
	t.Logf("%d falls, responses by status: %v", falls, counts.byStatus)
}
