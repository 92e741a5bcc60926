package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gradetiller.example/platform/platformtest"
)

const (
	// floodSeed separates the draws of responses without an end from those of other faults.
	floodSeed = 29
	// floodPrefix is the prefix of the IDs of requests that workers answer so.
	floodPrefix = probePrefix + "flood-"
	// floodSenders is how many clients send such requests, each with floodDeadline and floodPause between them.
	floodSenders  = 2
	floodDeadline = 1500 * time.Millisecond
	floodPause    = 200 * time.Millisecond
	// floodChange is the time after which workers send other responses without an end.
	floodChange = 500 * time.Millisecond
	// nodeMemory is the memory of a node in its settings, in bytes.
	nodeMemory = 284 << 20
)

// floods sends requests that workers answer with responses without an end, and watches the memory of the nodes.
type floods struct {
	soak    *run
	rand    *rand.Rand
	workers []*platformtest.Worker
	sent    atomic.Int64
	begun   atomic.Int64
	most    int64
	mu      sync.Mutex
	// complete maps the ID of each request whose response looks complete, without the end of a sound stream, to the
	// response's stamp.
	complete map[string]string
}

func newFloods(r *run, seed uint64) *floods {
	return &floods{soak: r, rand: rand.New(rand.NewPCG(seed, floodSeed)), complete: make(map[string]string), workers: slices.Concat(r.workers["desk"], r.workers["model"])}
}

// draw returns a response without an end.
func (f *floods) draw() platformtest.Flood {
	parts := []platformtest.FloodPart{
		platformtest.FloodBody, platformtest.FloodBody, platformtest.FloodHead, platformtest.FloodHeadLine, platformtest.FloodInterim, platformtest.FloodTrailer, platformtest.FloodExtension,
	}
	statuses := []int{http.StatusOK, http.StatusOK, http.StatusInternalServerError, http.StatusNotFound, http.StatusServiceUnavailable}
	flood := platformtest.Flood{
		IDPrefix: floodPrefix, Part: parts[f.rand.IntN(len(parts))], Framing: platformtest.Framing(f.rand.IntN(3)), Status: statuses[f.rand.IntN(len(statuses))],
		Line: []int{0, 80}[f.rand.IntN(2)], Trickle: f.rand.IntN(6) == 0,
	}
	if flood.Part == platformtest.FloodTrailer || flood.Part == platformtest.FloodExtension {
		// With another framing, these are bytes after a whole response.
		flood.Framing = platformtest.Chunked
	}
	flood.NotExecuted = flood.Status == http.StatusServiceUnavailable
	if f.rand.IntN(3) == 0 {
		flood.Prefix = "id: 1\ndata: one\n\n"
	}
	return flood
}

// run sends requests and changes the responses until ctx ends.
func (f *floods) run(ctx context.Context) {
	var running sync.WaitGroup
	for i := range floodSenders {
		rng := rand.New(rand.NewPCG(f.rand.Uint64(), uint64(i)))
		running.Go(func() {
			for ; ctx.Err() == nil; sleep(ctx, floodPause) {
				f.send(ctx, rng)
			}
		})
	}
	running.Go(func() {
		for ; ctx.Err() == nil; sleep(ctx, floodChange) {
			flood := f.draw()
			for _, w := range f.workers {
				w.Flood(flood, 1)
			}
		}
	})
	running.Go(func() {
		for ; ctx.Err() == nil; sleep(ctx, 20*time.Millisecond) {
			f.checkMemory()
		}
	})
	running.Wait()
	f.checkComplete()
	f.soak.t.Logf("%d requests with responses without an end, %d of them begun; a node took at most %d MB", f.sent.Load(), f.begun.Load(), f.most>>20)
	if f.begun.Load() == 0 {
		f.soak.failAsync("no response without an end was begun")
	}
}

// send sends a request and reads its response, of which nothing is held. Such a response can't be complete.
func (f *floods) send(ctx context.Context, rng *rand.Rand) {
	fronts := f.soak.frontAddresses()
	q := poisonKinds[rng.IntN(len(poisonKinds))]
	q.Key, q.Deadline, q.ID = apiKey, floodDeadline, fmt.Sprint(floodPrefix, f.sent.Add(1))
	ctx, cancel := context.WithTimeout(ctx, 2*floodDeadline)
	defer cancel()
	resp, err := platformtest.Begin(ctx, fronts[rng.IntN(len(fronts))], q)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var body tailWriter
	n, err := io.Copy(&body, resp.Body)
	if n > 0 {
		f.begun.Add(1)
	}
	// A stream that goes on at another worker keeps the stamp of the first one, and ends with the other's last event.
	if soundEnd := " of " + q.ID + "\n\n"; err == nil && resp.StatusCode < http.StatusInternalServerError && !strings.HasSuffix(string(body), soundEnd) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.complete[q.ID] = resp.Header.Get("X-Server-Stamp")
	}
}

// tailWriter keeps the last bytes that were written.
type tailWriter []byte

func (w *tailWriter) Write(p []byte) (int, error) {
	const kept = 256
	*w = append(*w, p[max(len(p)-kept, 0):]...)
	*w = append((*w)[:0], (*w)[max(len(*w)-kept, 0):]...)
	return len(p), nil
}

// checkComplete checks that no response looks complete whose worker sent it without an end.
func (f *floods) checkComplete() {
	for _, w := range f.workers {
		for _, sent := range w.Floods() {
			if stamp, ok := f.complete[sent.ID]; ok && strings.Contains(stamp, "."+w.ID+".") {
				f.soak.failAsync(fmt.Sprintf("%s looks complete, %s sent it without an end", sent.ID, w.ID))
			}
		}
	}
}

// checkMemory checks that no node has taken more memory than its settings allow.
func (f *floods) checkMemory() {
	for _, p := range f.soak.nodes {
		used := p.residentBytes()
		if used > nodeMemory && f.most <= nodeMemory {
			f.soak.failAsync(fmt.Sprintf("%s takes %d MB, its memory is %d MB", p.name, used>>20, nodeMemory>>20))
		}
		f.most = max(f.most, used)
	}
}

// residentBytes returns the memory of the process, or 0 if it is not running.
func (p *process) residentBytes() int64 {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
