package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Latency is how long the calls of one kind of endpoint take.
type Latency struct {
	// Base is the time of a call, or of an engine's prefill.
	Base time.Duration
	// Token is the time of a token of a lone call; 0 for services.
	Token time.Duration
	// BatchSlowdown is by how much a token slows down with each further call.
	BatchSlowdown float64
	// Cache is how many prompt prefixes an engine holds.
	Cache int
}

const (
	prefixBytes   = 64
	cachedPrefill = 0.2
	jitter        = 0.2
	loadLag       = 200 * time.Millisecond
)

// Endpoint stands in for one engine or service.
type Endpoint struct {
	name   string
	pool   string
	slots  int
	cost   float64
	work   Latency
	faults faults
	counts *Counts

	mu       sync.Mutex
	rand     *rand.Rand
	running  int
	waiting  int
	free     chan struct{}
	prefixes []string
	load     int
	loadAt   time.Time
	leaving  bool
	models   models
}

// NewEndpoint returns an endpoint with the given slots; it holds as many
// calls again in its queue and refuses further ones as not run.
func NewEndpoint(pool, name string, slots int, cost float64, work Latency, seed uint64, counts *Counts) *Endpoint {
	return &Endpoint{
		name: name, pool: pool, slots: slots, cost: cost, work: work, counts: counts,
		rand: rand.New(rand.NewPCG(seed, uint64(len(name)))),
		free: make(chan struct{}, slots),
	}
}

// InjectFault puts an order in force.
func (e *Endpoint) InjectFault(o FaultSpec) {
	e.mu.Lock()
	e.leaving = o.Fault == FaultLeaving
	e.mu.Unlock()
	e.faults.set(o)
}

type callBody struct {
	RequestID  string `json:"request_id"`
	Stage      string `json:"stage"`
	Input      string `json:"input"`
	MaxTokens  int    `json:"max_tokens"`
	Resume     int    `json:"resume_from"`
	Repeatable bool   `json:"repeatable"`
}

// Handler serves the endpoint's HTTP.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call", e.call)
	mux.HandleFunc("GET /v1/state", e.state)
	mux.HandleFunc("POST /v1/order", e.order)
	return mux
}

func (e *Endpoint) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"leaving": e.leaving, "busy": e.running + e.waiting, "versions": e.models.versions, "loading": e.models.loading(),
	})
}

func (e *Endpoint) call(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.now()
	switch fault.Fault {
	case FaultCloseHeaders:
		cut(w)
		return
	case FaultCloseBody:
		_, _ = r.Body.Read(make([]byte, 1))
		cut(w)
		return
	}
	var body callBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault.Fault == FaultRefuse || fault.Fault == FaultLeaving || !e.enter(r.Context(), w) {
		e.notRun(w, fault.Fault == FaultLeaving)
		return
	}
	started := time.Now()
	defer func() {
		e.leave()
		e.counts.spent(body.Stage, e.cost*time.Since(started).Seconds())
	}()
	e.counts.ran(e.pool, body)
	switch fault.Fault {
	case FaultHang:
		<-r.Context().Done()
		return
	case FaultFail:
		e.headers(w)
		reply(w, http.StatusInternalServerError, map[string]string{"error": "the stand-in was told to fail"})
		return
	}
	factor := 1.0
	if fault.Fault == FaultSlow {
		factor = fault.Factor
	}
	if !e.prefill(r.Context(), body, factor) {
		return
	}
	if fault.Fault == FaultCloseWork {
		cut(w)
		return
	}
	if body.MaxTokens > 0 {
		e.generate(w, r, body, factor, fault.Fault == FaultCloseAnswer)
		return
	}
	e.answer(w, body, fault.Fault == FaultCloseAnswer)
}

func (e *Endpoint) notRun(w http.ResponseWriter, leaving bool) {
	e.headers(w)
	w.Header().Set("X-Not-Run", "1")
	if leaving {
		w.Header().Set("X-Leaving", "1")
	}
	reply(w, http.StatusServiceUnavailable, map[string]string{"error": "busy or leaving"})
}

// enter waits for a slot, and reports false when the queue is full.
func (e *Endpoint) enter(ctx context.Context, _ http.ResponseWriter) bool {
	e.mu.Lock()
	if e.waiting >= e.slots {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	entered := false
	select {
	case e.free <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	e.mu.Lock()
	e.waiting--
	if entered {
		e.running++
	}
	e.mu.Unlock()
	return entered
}

func (e *Endpoint) leave() {
	<-e.free
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
}

func (e *Endpoint) headers(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.loadAt) > loadLag {
		e.load, e.loadAt = e.running+e.waiting, now
	}
	w.Header().Set("X-Load", strconv.Itoa(e.load))
	if e.leaving {
		w.Header().Set("X-Leaving", "1")
	}
}

func (e *Endpoint) prefill(ctx context.Context, body callBody, factor float64) bool {
	e.mu.Lock()
	d := float64(e.work.Base) * factor * (1 + jitter*(2*e.rand.Float64()-1))
	if body.MaxTokens > 0 && e.cached(body.Input) {
		d *= cachedPrefill
	}
	e.mu.Unlock()
	return sleep(ctx, time.Duration(d))
}

// cached reports a hit in the prefix cache and moves the prefix to its front.
func (e *Endpoint) cached(input string) bool {
	if e.work.Cache == 0 || len(input) < prefixBytes {
		return false
	}
	prefix := input[:prefixBytes]
	hit := false
	for i, p := range e.prefixes {
		if p == prefix {
			e.prefixes = append(e.prefixes[:i], e.prefixes[i+1:]...)
			hit = true
			break
		}
	}
	e.prefixes = append([]string{prefix}, e.prefixes...)
	if len(e.prefixes) > e.work.Cache {
		e.prefixes = e.prefixes[:e.work.Cache]
	}
	return hit
}

func (e *Endpoint) answer(w http.ResponseWriter, body callBody, breakOff bool) {
	e.headers(w)
	out, _ := json.Marshal(map[string]string{"request_id": body.RequestID, "output": body.Input + "|" + body.Stage})
	if breakOff {
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		cut(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out)
}

// generate streams tokens; each call in the batch slows every token down.
func (e *Endpoint) generate(w http.ResponseWriter, r *http.Request, body callBody, factor float64, breakOff bool) {
	e.headers(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush := http.NewResponseController(w)
	marker := Marker(body.Input)
	for i := body.Resume; i < body.MaxTokens; i++ {
		e.mu.Lock()
		d := float64(e.work.Token) * factor * (1 + e.work.BatchSlowdown*float64(e.running-1))
		e.mu.Unlock()
		if !sleep(r.Context(), time.Duration(d)) {
			return
		}
		if breakOff && i >= body.Resume+(body.MaxTokens-body.Resume)/2 {
			cut(w)
			return
		}
		fmt.Fprintf(w, "{\"i\":%d,\"t\":%q}\n", i, Token(marker, i))
		_ = flush.Flush()
	}
	fmt.Fprintf(w, "{\"done\":true,\"n\":%d,\"request_id\":%q}\n", body.MaxTokens, body.RequestID)
}

// Marker returns the part of an input that every result of it must carry.
func Marker(input string) string {
	_, rest, _ := strings.Cut(input, "req=")
	marker, _, _ := strings.Cut(rest, ";")
	return marker
}

// Token returns token i of the answer to the input with the marker.
func Token(marker string, i int) string { return fmt.Sprintf("%s.%d ", marker, i) }

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
