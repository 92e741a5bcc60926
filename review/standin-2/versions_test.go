//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The streams of the case: events, and the time between two of them.
const (
	streamEvents = 58
	eventPause   = 50 * time.Millisecond
)

// versionHandler is a model worker whose events name the version of its software. A stream goes on after the
// event that the request names.
func (w *world) versionHandler() func(c *conn, r *http.Request, body []byte) bool {
	return func(c *conn, r *http.Request, _ []byte) bool {
		k, id := c.worker, r.Header.Get("X-Request-Id")
		version := k.softwareVersion()
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.note("ran %s version %s request %s after event %d", k.id, version, id, after)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Server-Stamp: s.%s.%s\r\nX-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n", id, k.id, id); err != nil {
			return false
		}
		for i := after + 1; i <= streamEvents; i++ {
			time.Sleep(eventPause)
			if !k.alive(c.life) {
				return false
			}
			event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", i, version, k.id)
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

// versionsOf returns the versions that wrote the events of a stream, and the ID of its last whole event.
func versionsOf(body []byte) (versions []string, last string) {
	text := string(body)
	text = text[:strings.LastIndex(text, "\n\n")+2]
	for line := range strings.SplitSeq(text, "\n") {
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			versions = appendNew(versions, strings.Fields(v)[0])
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last = id
		}
	}
	return versions, last
}

// streamClient asks for a stream and takes it up once more if its answer breaks off, as the pages say.
func (w *world) streamClient(nodes []*process, at int) (versions []string, complete bool) {
	first := w.newID()
	header := map[string]string{"X-Model": "m", "X-Token-Count": "628,290", "X-Prompt-Prefix": fmt.Sprintf("%08x:198,%s:430", 0x5c1e07a2+at%499, first)}
	deadline := time.Now().Add(15 * time.Second)
	last := ""
	for try := range 2 {
		id := first
		if try > 0 {
			id = w.newID()
		}
		h := map[string]string{}
		for name, value := range header {
			h[name] = value
		}
		if last != "" {
			h["Last-Event-Id"], h["Resumes"] = last, first
		}
		node := nodes[(at+try)%len(nodes)]
		w.note("sent %s to %s after %q", id, node.name, last)
		a := w.do(node.front, request{id: id, method: "POST", path: "/reply/2f", body: []byte("prompt " + first), deadline: time.Until(deadline), header: h}, nil)
		if a.status == http.StatusOK {
			v, end := versionsOf(a.body)
			versions = appendNew(versions, v...)
			if end != "" {
				last = end
			}
		}
		w.note("answered %s status %d complete %t versions %v last %s in %d ms: %v", id, a.status, a.complete, versions, last, a.took.Milliseconds(), a.err)
		if a.status == http.StatusOK && a.complete {
			complete = true
			break
		}
		if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
			time.Sleep(time.Duration(min(after, time.Until(deadline).Seconds()/3) * float64(time.Second)))
		}
	}
	if len(versions) > 1 {
		w.breaks("ORDER: the stream that began as %s holds events of the versions %v", first, versions)
	}
	return versions, complete
}

// upgrade ends a worker and starts it again at once, under its ID and address, with a newer version of its software.
func (w *world) upgrade(k *worker, pause time.Duration) {
	w.note("worker %s is restarted with version v2", k.id)
	k.crash()
	k.mu.Lock()
	k.version = "v2"
	k.mu.Unlock()
	time.Sleep(pause)
	k.open()
}

// TestVersionsRelease is case 5: five of twelve workers are replaced by a newer version within a second, under their
// ids, before twelve nodes, of which four read the store.
func TestVersionsRelease(t *testing.T) {
	w := newWorld(t)
	w.store.publish(config{version: 1, models: []string{"model"}, routes: []routeOf{
		{prefix: "/reply/", kind: "streaming", service: "model", attempts: 2, resumable: true, timeoutMS: 15000, sloMS: 2200, gapMS: 500},
	}})
	var workers []*worker
	for range 12 {
		workers = append(workers, w.addWorker("model", "v1", w.versionHandler()))
	}
	nodes := w.startNodes(12)
	var wg sync.WaitGroup
	var total, served atomic.Int64
	stop := make(chan struct{})
	go func() {
		time.Sleep(6 * time.Second)
		if trouble() {
			w.note("disruption begins")
			for _, k := range workers[:5] {
				w.upgrade(k, 50*time.Millisecond)
				time.Sleep(150 * time.Millisecond)
			}
			w.note("disruption ends")
		}
		time.Sleep(8 * time.Second)
		close(stop)
	}()
	ticker := time.NewTicker(12 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			w.note("streams %d, complete %d", total.Load(), served.Load())
			fmt.Printf("streams %d, complete %d\n", total.Load(), served.Load())
			w.verdict(3)
			return
		case <-ticker.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			total.Add(1)
			if _, complete := w.streamClient(nodes, n); complete {
				served.Add(1)
			}
		}()
	}
}
