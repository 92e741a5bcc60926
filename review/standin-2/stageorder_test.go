//go:build review

package standin2

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestStageOrder is case 5: a configuration that adds a route whose stages are numbered in another order than that of their
// work, and that drops a key.
func TestStageOrder(t *testing.T) {
	w := newWorld(t)
	const dropped = "key-two"
	first := config{version: 1, plain: []string{"desk"}, models: []string{"model"}, stageServices: []string{"encode", "rank"}, keys: []string{key, dropped}, routes: []routeOf{
		{prefix: "/confirm/", kind: "unsafe", service: "desk", attempts: 1, timeoutMS: 2000, sloMS: 300},
	}}
	w.store.publish(first)
	for range 3 {
		w.addWorker("desk", "v1", func(c *conn, r *http.Request, _ []byte) bool {
			k, id := c.worker, r.Header.Get("X-Request-Id")
			w.note("ran %s request %s", k.id, id)
			c.answer(200, http.Header{"X-Request-Id": {id}, "X-Server-Stamp": {"s." + k.id + "." + id}}, bytes.Repeat([]byte("y"), 100))
			return true
		})
	}
	nodes := w.startNodes(3)
	second := first
	second.version, second.keys = 5, []string{key}
	second.routes = append(second.routes[:1:1], routeOf{prefix: "/added/", kind: "unsafe", service: "desk", attempts: 1, timeoutMS: 2000, sloMS: 300})
	after := []int{1}
	if !trouble() {
		after = nil
	}
	second.routes = append(second.routes, routeOf{prefix: "/staged/", kind: "streaming", service: "model", attempts: 2, resumable: true, timeoutMS: 15000, sloMS: 3000, gapMS: 400, stages: []stageOf{{"rank", after, 6000}, {"encode", nil, 8000}}})
	w.note("configuration 5 is acknowledged: it drops %s and adds routes", dropped)
	w.store.publish(second)
	time.Sleep(4 * time.Second)
	for n := range 30 {
		node := nodes[n%len(nodes)]
		a := w.do(node.front, request{id: w.newID(), method: "POST", path: "/confirm/2f", key: dropped, body: []byte("slot"), deadline: 2 * time.Second}, nil)
		w.note("request with the dropped key at %s: %d", node.name, a.status)
		if a.status == 200 {
			w.breaks("CONFIG: %s ran a request with a key that was dropped over 4 s before", node.name)
		}
		a = w.do(node.front, request{id: w.newID(), method: "POST", path: "/added/2f", body: []byte("slot"), deadline: 2 * time.Second}, nil)
		w.note("request on the added route at %s: %d", node.name, a.status)
		if a.status == 404 {
			w.breaks("CONFIG: %s refuses a route with 404 that was added over 4 s before", node.name)
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Println("versions in force are told by what was answered")
	w.verdict(1)
}
