//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// beatPath is where the workers that are processes of their own write their entries. The platform has another
// way for them, which is not on its pages.
const beatPath = "/beat"

// beat is what such a worker writes at each heartbeat.
type beat struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"addr"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	Born    int64  `json:"born"`
}

// beats holds when workers last wrote their entries, and drops an entry after three heartbeats of silence.
type beats struct {
	s    *site
	mu   sync.Mutex
	last map[string]time.Time
}

func newBeats(s *site) *beats {
	b := &beats{s: s, last: make(map[string]time.Time)}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			b.dropSilent()
		}
	}()
	return b
}

func (b *beats) dropSilent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, at := range b.last {
		if time.Since(at) > 3*beatMS*time.Millisecond {
			delete(b.last, id)
			b.s.store.drop("servers", id)
			b.s.r.printf("the entry of %s goes", id)
		}
	}
}

// ServeHTTP implements http.Handler.
func (b *beats) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m beat
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	_, known := b.last[m.ID]
	b.last[m.ID] = time.Now()
	b.mu.Unlock()
	if known {
		return
	}
	b.s.r.printf("worker %s is listed", m.ID)
	b.s.store.put("servers", m.ID, map[string]any{
		"service": m.Service, "addr": m.Address, "zone": m.Zone, "version": "v1", "slots": m.Slots, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": m.Born,
	})
}

// workerSettings are what a worker process finds in its file.
type workerSettings struct {
	// Beats is the address for its heartbeats.
	Beats   string `json:"beats"`
	Address string `json:"address"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Unframed makes it send its answers with neither a length nor chunks.
	Unframed bool `json:"unframed"`
}

func (o options) workerFile(name, suffix string) string {
	return filepath.Join(o.dir, name+suffix)
}

// writeWorkers writes the settings of the worker processes.
func (o options) writeWorkers(beatsAddress, service string, unframed bool) error {
	for i := range o.workers {
		address, err := freeAddress(nextIP())
		if err != nil {
			return err
		}
		data, err := json.Marshal(workerSettings{Beats: beatsAddress, Address: address, Service: service, Zone: zones[i%len(zones)], Unframed: unframed})
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.workerFile(fmt.Sprintf("worker-%d", i+1), ".json"), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// runWorkerProcess runs a model worker. Each start is a new incarnation, with a new ID.
func runWorkerProcess(o options, name string) {
	fail := func(err error) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	data, err := os.ReadFile(o.workerFile(name, ".json"))
	if err != nil {
		fail(err)
	}
	var settings workerSettings
	if err := json.Unmarshal(data, &settings); err != nil {
		fail(err)
	}
	l, err := net.Listen("tcp", settings.Address)
	if err != nil {
		fail(err)
	}
	runs, err := os.OpenFile(o.workerFile(name, ".runs"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	born := time.Now()
	w := &modelWorker{id: "i-" + newID()[:8], unframed: settings.Unframed, admit: func(*exchange) int { return 0 }}
	w.began = func(id string, after, count int) {
		fmt.Fprintf(runs, "%s (%s) begins %s after event %d, %d events\n", w.id, name, id, after, count)
	}
	w.ended = func(id string, count int) {
		fmt.Fprintf(runs, "%s (%s) ends %s with event %d\n", w.id, name, id, count)
	}
	go w.serve(l)
	for {
		body, _ := json.Marshal(beat{ID: w.id, Service: settings.Service, Address: settings.Address, Zone: settings.Zone, Slots: modelSlots, Born: born.UnixMilli()})
		resp, err := http.Post("http://"+settings.Beats+beatPath, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(beatMS * time.Millisecond)
	}
}
