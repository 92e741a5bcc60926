//go:build review

package standin2

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// grey is the fault "srv_grey": a worker fails a part of its requests, while its health check is good. It runs
// them and answers 503 without X-Not-Executed.
type grey struct {
	mu       sync.Mutex
	active   bool
	worker   string
	requests int
}

func (f *grey) set(active bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = active
}

// fails reports whether a worker fails its next request: four of ten.
func (f *grey) fails(k *worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.active || f.worker != k.id {
		return false
	}
	f.requests++
	return f.requests%5 < 2
}

// TestUnmarkedRefusal is case 6: a worker fails requests with 503 after it has run them.
func TestUnmarkedRefusal(t *testing.T) {
	w := newWorld(t)
	w.store.publish(config{version: 1, plain: []string{"desk"}, routes: []routeOf{
		{prefix: "/confirm/", kind: "unsafe", service: "desk", attempts: 1, timeoutMS: 2000, sloMS: 300},
	}})
	fault := &grey{}
	var mu sync.Mutex
	applied := map[string]int{} // bookings by their subject
	ran := map[string]string{}  // attempts that ran, with their workers
	handle := func(c *conn, r *http.Request, body []byte) bool {
		k, id := c.worker, r.Header.Get("X-Request-Id")
		time.Sleep(60 * time.Millisecond)
		mu.Lock()
		applied[string(body)]++
		ran[id] = k.id
		mu.Unlock()
		w.note("ran %s request %s booking %s", k.id, id, body)
		h := http.Header{"X-Request-Id": {id}, "X-Server-Stamp": {"s." + k.id + "." + id}, "X-Load": {"1,0,6"}}
		if fault.fails(k) {
			w.note("grey: %s has run %s and answers 503 without X-Not-Executed", k.id, id)
			c.answer(503, h, nil)
			return true
		}
		c.answer(200, h, bytes.Repeat([]byte("y"), 800))
		return true
	}
	for i := range 7 {
		k := w.addWorker("desk", "v1", handle)
		if i == 0 {
			fault.worker = k.id // One of seven, a share of 0.143.
		}
	}
	nodes := w.startNodes(3)
	stop := make(chan struct{})
	go func() {
		time.Sleep(4 * time.Second)
		if trouble() {
			fault.set(true)
			w.note("disruption begins")
		}
		time.Sleep(6500 * time.Millisecond)
		fault.set(false)
		w.note("disruption ends")
		time.Sleep(3 * time.Second)
		close(stop)
	}()
	var wg sync.WaitGroup
	var served, failed atomic.Int64
	ticker := time.NewTicker(40 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			double := 0
			for _, times := range applied {
				if times > 1 {
					double++
				}
			}
			w.note("served %d, failed %d, bookings that were applied twice %d", served.Load(), failed.Load(), double)
			fmt.Printf("served %d, failed %d, bookings that were applied twice %d\n", served.Load(), failed.Load(), double)
			w.verdict(1)
			return
		case <-ticker.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			booking := "booking-" + w.newID()
			deadline := time.Now().Add(4 * time.Second)
			for try := range 2 {
				id, node := w.newID(), nodes[(n+try)%len(nodes)]
				w.note("sent %s %s to %s", id, booking, node.name)
				a := w.do(node.front, request{id: id, method: "POST", path: "/confirm/2f", body: []byte(booking), deadline: time.Until(deadline)}, nil)
				w.note("answered %s status %d complete %t", id, a.status, a.complete)
				if a.status == 200 && a.complete {
					served.Add(1)
					return
				}
				mu.Lock()
				at, has := ran[id]
				mu.Unlock()
				if a.status != 503 && a.status != 429 {
					break
				}
				// A promise: the request has not run. The client asks again.
				if has {
					w.breaks("REFUSED: request %s (%s) ran at %s, and its client received %d from %s", id, booking, at, a.status, node.name)
				}
			}
			failed.Add(1)
		}()
	}
}
