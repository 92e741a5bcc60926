//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	unframedClients = 16
	unframedLength  = 26 * time.Second
	// generated is the number of tokens of an answer, which are 58 events.
	generated = 290
	// sharedParts is the number of parts of prompts that requests share.
	sharedParts = 171
)

// crashesAt are the times at which one worker of four is killed.
var crashesAt = []time.Duration{6 * time.Second, 13 * time.Second, 20 * time.Second}

// runUnframed plays model workers, each a process, whose streams have neither a length nor chunks and end with
// their connections. One in four is killed, three times. It checks the streams that clients receive as complete.
func runUnframed(o options, r *record) int {
	s, err := newSite(o, r)
	if err != nil {
		r.verdict("cannot start: %v", err)
		return exitNotRun
	}
	mux := http.NewServeMux()
	mux.Handle(beatPath, newBeats(s))
	beatsAddress, err := listenHTTP(mux)
	if err == nil {
		err = o.writeWorkers(beatsAddress, "tiller-pool", !o.framed)
	}
	if err == nil {
		s.store.put("op", "config", unframedConfig())
		err = o.announce()
	}
	if err == nil {
		err = s.awaitNodes()
	}
	if err != nil {
		r.verdict("cannot run: %v", err)
		return exitNotRun
	}
	c := &streamCheck{r: r}
	begun := time.Now()
	var clients sync.WaitGroup
	for range unframedClients {
		clients.Go(func() {
			for time.Since(begun) < unframedLength {
				c.sendRequest(s)
			}
		})
	}
	if o.trouble {
		for i, at := range crashesAt {
			time.Sleep(time.Until(begun.Add(at)))
			name := fmt.Sprintf("worker-%d", i%o.workers+1)
			if err := o.kill(name, syscall.SIGKILL); err != nil {
				r.verdict("cannot kill %s: %v", name, err)
				return exitNotRun
			}
			r.printf("%s is killed", name)
		}
	}
	clients.Wait()
	for i := range o.workers {
		data, _ := os.ReadFile(o.workerFile(fmt.Sprintf("worker-%d", i+1), ".runs"))
		r.printf("runs of worker-%d:\n%s", i+1, data)
	}
	return c.judge()
}

// kill sends a signal to a process that the script started.
func (o options) kill(name string, signal syscall.Signal) error {
	data, err := os.ReadFile(o.workerFile(name, ".pid"))
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return err
	}
	return syscall.Kill(pid, signal)
}

// unframedConfig is a configuration with a route like haulier-reply of the site pwani-slots, without its stages.
func unframedConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"services": []map[string]any{{
			"name": "tiller-pool", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": modelSlots, "kvCapacity": 621758, "kvTokenBytes": 18432, "linkMbps": 130000.0, "moves": true, "backups": true, "stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}}},
		}},
		"routes": []map[string]any{{
			"name": "haulier-reply", "host": host, "prefix": "/cufi501/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 2000, "gapSloMs": 400, "priority": 0,
			"service": "tiller-pool", "maxAttempts": 2, "stages": []any{}, "public": false, "sticky": true, "resumable": true,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}}},
	}
}

// streamCheck checks the streams that clients received.
type streamCheck struct {
	r                      *record
	mu                     sync.Mutex
	whole, cut, short, bad int
	refused                int
}

// sendRequest sends a request of a client.
func (c *streamCheck) sendRequest(s *site) {
	id := newID()
	tokens := fmt.Sprintf("826,%d", generated)
	a := send(s.nodes[rand.IntN(len(s.nodes))].front, clientRequest{
		id: id, path: "/cufi501/2f", key: apiKey, deadline: 15 * time.Second, body: []byte(strings.Repeat("x", 830)),
		header: map[string]string{"X-Model": "m", "X-Token-Count": tokens, "X-Prompt-Prefix": fmt.Sprintf("91bd3f%02x:198,%s:628", rand.IntN(sharedParts), id[:8])},
	})
	want := events(tokens)
	got, ordered := countEvents(a.body, id)
	c.r.printf("request %s: status %d, events %d of %d, ended as complete: %v (%v)", id, a.status, got, want, a.err == nil, a.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.status != http.StatusOK:
		c.refused++
	case !ordered:
		c.bad++
		c.r.printf("ORDER: the stream of %s has wrong events: %q", id, a.body)
	case a.err != nil:
		c.cut++
	case got < want:
		c.short++
		c.r.printf("ORDER: the stream of %s was ended as complete after event %d of %d, stamp %s", id, got, want, a.header.Get("X-Server-Stamp"))
	default:
		c.whole++
	}
}

// countEvents returns the number of whole events of a stream, and whether they are the first ones in order.
func countEvents(body []byte, id string) (count int, ordered bool) {
	for event := range bytes.SplitSeq(body, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		if !bytes.HasPrefix(event, fmt.Appendf(nil, "id: %d\n", count+1)) || !bytes.HasSuffix(event, []byte(" of "+id)) {
			return count, false
		}
		count++
	}
	return count, true
}

func (c *streamCheck) judge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.verdict("%d streams whole, %d cut off, %d not begun; %d were ended as complete before their last event, %d had wrong events", c.whole, c.cut, c.refused, c.short, c.bad)
	switch {
	case c.short+c.bad > 0:
		c.r.verdict("ORDER is broken")
		return exitBroken
	case c.whole == 0:
		return exitNotRun
	}
	c.r.verdict("ORDER held")
	return exitHeld
}
