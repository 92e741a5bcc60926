//go:build review

package standin2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// surplus is the fault "extra late": some workers send a second copy of an answer, late, at the point where the
// next answer on that connection is due.
type surplus struct {
	mu       sync.Mutex
	active   bool
	affected map[string]bool
	every    int
	answers  map[string]int
	sent     atomic.Int64
}

// due reports whether the next answer of a worker is sent a second time.
func (s *surplus) due(k *worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active || !s.affected[k.id] {
		return false
	}
	s.answers[k.service]++
	return s.answers[k.service]%s.every == 0
}

func (s *surplus) set(active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = active
}

// stageHandler is a worker of a stage service. It works on one call at a time.
func (w *world) stageHandler(results *results, fault *surplus) func(c *conn, r *http.Request, body []byte) bool {
	var locks sync.Map
	return func(c *conn, r *http.Request, body []byte) bool {
		k := c.worker
		if r.URL.Path == "/stage-free" {
			var call struct {
				Handles []string `json:"handles"`
			}
			_ = json.Unmarshal(body, &call)
			results.free(call.Handles)
			c.answer(200, nil, nil)
			return true
		}
		var call struct {
			Items []stageItemBody `json:"items"`
		}
		if r.URL.Path != "/stage-run" || json.Unmarshal(body, &call) != nil {
			c.answer(400, nil, nil)
			return true
		}
		k.mu.Lock()
		if k.busy >= 3 {
			k.mu.Unlock()
			c.answer(503, http.Header{"X-Not-Executed": {"1"}, "X-Load": {"1,2,1"}}, nil)
			return true
		}
		k.busy++
		k.mu.Unlock()
		lock, _ := locks.LoadOrStore(k.id, &sync.Mutex{})
		lock.(*sync.Mutex).Lock()
		answer := make([]map[string]string, 0, len(call.Items))
		for _, it := range call.Items {
			gone := false
			origins := []string{it.ID}
			for _, h := range it.Inputs {
				in, ok := results.get(h)
				if !ok {
					gone = true
					continue
				}
				origins = appendNew(origins, in.origins...)
				if in.request != it.ID {
					w.breaks("MIXED: piece %d of stage %d of request %s gets at %s (%s) the input %s, which is piece %d of stage %d of request %s", it.Piece, it.Stage, it.ID, k.id, k.service, h, in.piece, in.stage, in.request)
				}
			}
			if gone {
				answer = append(answer, map[string]string{"reason": "gone"})
				continue
			}
			answer = append(answer, map[string]string{"handle": results.add(k, it, origins)})
		}
		time.Sleep(stageCall + time.Duration(len(call.Items))*stageItem)
		lock.(*sync.Mutex).Unlock()
		k.mu.Lock()
		k.busy--
		k.mu.Unlock()
		data, _ := json.Marshal(map[string]any{"items": answer})
		h := http.Header{"Content-Type": {"application/json"}, "X-Load": {"0,0,1"}}
		if id := r.Header.Get("X-Request-Id"); id != "" {
			h.Set("X-Request-Id", id)
		}
		text := c.answer(200, h, data)
		ids := make([]string, len(call.Items))
		for i, it := range call.Items {
			ids[i] = fmt.Sprintf("%s/%d/%d", it.ID, it.Stage, it.Piece)
		}
		w.note("ran %s %s %s", k.service, k.id, strings.Join(ids, " "))
		if fault.due(k) {
			c.late = text
			fault.sent.Add(1)
			w.note("surplus %s sends this answer once more when the next one on its connection is due", k.id)
		}
		return true
	}
}

// inputHandler is a model worker that reads the results of the stages. Its events name the requests whose
// results it read.
func (w *world) inputHandler(results *results) func(c *conn, r *http.Request, body []byte) bool {
	return func(c *conn, r *http.Request, _ []byte) bool {
		k, id := c.worker, r.Header.Get("X-Request-Id")
		handles := strings.Split(r.Header.Get("X-Inputs"), ",")
		var owners []string
		for _, h := range handles {
			in, ok := results.get(strings.TrimSpace(h))
			if !ok {
				c.answer(409, http.Header{"X-Not-Executed": {"1"}, "X-Request-Id": {id}}, nil)
				return true
			}
			owners = appendNew(owners, in.origins...)
			if in.request != id {
				w.breaks("MIXED: request %s gets at model worker %s the input %s, which is piece %d of stage %d of request %s", id, k.id, h, in.piece, in.stage, in.request)
			}
		}
		w.note("ran model %s %s inputs of %s", k.id, id, strings.Join(owners, ","))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Server-Stamp: s.%s.%s\r\nX-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n", id, k.id, id)
		for i := 1; i <= 4; i++ {
			time.Sleep(20 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: made of %s\n\n", i, strings.Join(owners, ","))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
}

// appendNew appends the names that the list does not contain.
func appendNew(list []string, names ...string) []string {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// TestStageSurplus is case 4: workers of stages send surplus answers, late.
func TestStageSurplus(t *testing.T) {
	w := newWorld(t)
	store, results := w.store, newResults()
	fault := &surplus{affected: map[string]bool{}, answers: map[string]int{}, every: 33}
	store.publish(config{version: 1, models: []string{"model"}, stageServices: []string{"encode", "rank"}, routes: []routeOf{
		{prefix: "/staged/", kind: "streaming", service: "model", attempts: 2, resumable: true, timeoutMS: 15000, sloMS: 3000, gapMS: 400, stages: []stageOf{{"encode", nil, 8000}, {"rank", []int{0}, 6000}}},
	}})
	for range 4 {
		w.addWorker("model", "v1", w.inputHandler(results))
	}
	for _, service := range []string{"encode", "rank"} {
		for i := range 5 {
			k := w.addWorker(service, "v1", w.stageHandler(results, fault))
			// Three of five are affected, a share of 0.6.
			fault.affected[k.id] = i < 3
		}
	}
	nodes := w.startNodes(3)
	var wg sync.WaitGroup
	var served, foreign, other atomic.Int64
	stop := make(chan struct{})
	go func() {
		// Three windows of 5 s.
		for range 3 {
			time.Sleep(4 * time.Second)
			if trouble() {
				fault.set(true)
				w.note("disruption begins")
			}
			time.Sleep(5 * time.Second)
			fault.set(false)
			w.note("disruption ends")
		}
		time.Sleep(2 * time.Second)
		close(stop)
	}()
	ticker := time.NewTicker(80 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			w.note("served %d, with foreign data %d, otherwise %d, surplus answers %d", served.Load(), foreign.Load(), other.Load(), fault.sent.Load())
			fmt.Printf("served %d, with foreign data %d, otherwise %d, surplus answers %d\n", served.Load(), foreign.Load(), other.Load(), fault.sent.Load())
			w.verdict(1)
			return
		case <-ticker.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := w.newID()
			q := request{id: id, method: "POST", path: "/staged/2f", body: []byte("prompt of " + id), deadline: 15 * time.Second, header: map[string]string{
				"X-Model": "m", "X-Token-Count": "500,16", "X-Prompt-Prefix": "5c1e07a2:400," + id + ":100", "X-Pieces": "1,1", "X-Piece-Key": "k" + id,
			}}
			w.note("sent %s to %s", id, nodes[n%len(nodes)].name)
			a := w.do(nodes[n%len(nodes)].front, q, nil)
			w.note("answered %s status %d complete %t in %d ms: %v", id, a.status, a.complete, a.took.Milliseconds(), a.err)
			if a.status != 200 || !a.complete {
				other.Add(1)
				return
			}
			served.Add(1)
			for line := range strings.SplitSeq(string(a.body), "\n") {
				if of, ok := strings.CutPrefix(line, "data: made of "); ok && of != id {
					foreign.Add(1)
					w.note("client of %s received a success made of the results of request %s", id, of)
					break
				}
			}
		}()
	}
}
