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

// Latency describes how long the calls of one kind of endpoint take.
type Latency struct {
	// Base is the duration of a service call or of an engine's prefill.
	Base time.Duration
	// Token is the duration of one token if the engine runs a single call; 0 for
	// services.
	Token time.Duration
	// BatchSlowdown is the relative increase of Token for each further concurrent call.
	BatchSlowdown float64
	// Cache is the capacity of an engine's prefix cache, in prompt prefixes.
	Cache int
}

const (
	prefixBytes         = 64
	cachedPrefillFactor = 0.2                    // of the duration of an uncached prefill
	jitterRatio         = 0.2                    // of Latency.Base, in both directions
	loadReportInterval  = 200 * time.Millisecond // minimum time between updates of X-Load
)

// Endpoint simulates one engine or service.
type Endpoint struct {
	name    string
	pool    string
	slots   int
	cost    float64
	latency Latency
	faults  faultSwitch
	counts  *Counts

	mu           sync.Mutex
	rand         *rand.Rand
	running      int
	waiting      int
	slotTokens   chan struct{}
	prefixes     []string
	reportedLoad int
	reportedAt   time.Time
	leaving      bool
	models       modelState
}

// NewEndpoint returns an endpoint with the given number of slots. Its queue holds
// as many calls as it has slots; further calls are refused as not run.
func NewEndpoint(pool, name string, slots int, cost float64, latency Latency, seed uint64, counts *Counts) *Endpoint {
	return &Endpoint{
		name: name, pool: pool, slots: slots, cost: cost, latency: latency, counts: counts,
		rand:       rand.New(rand.NewPCG(seed, uint64(len(name)))),
		slotTokens: make(chan struct{}, slots),
	}
}

// InjectFault replaces the fault in force.
func (e *Endpoint) InjectFault(spec FaultSpec) {
	e.mu.Lock()
	e.leaving = spec.Fault == FaultLeaving
	e.mu.Unlock()
	e.faults.set(spec)
}

type callRequest struct {
	RequestID  string `json:"request_id"`
	Stage      string `json:"stage"`
	Input      string `json:"input"`
	MaxTokens  int    `json:"max_tokens"`
	Resume     int    `json:"resume_from"`
	Repeatable bool   `json:"repeatable"`
}

// Handler returns the handler for the endpoint's calls, state and orders.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call", e.handleCall)
	mux.HandleFunc("GET /v1/state", e.handleState)
	mux.HandleFunc("POST /v1/order", e.handleOrder)
	return mux
}

func (e *Endpoint) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"leaving": e.leaving, "busy": e.running + e.waiting, "versions": e.models.versions, "loading": e.models.loading(),
	})
}

func (e *Endpoint) handleCall(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.consume()
	switch fault.Fault {
	case FaultCloseHeaders:
		closeConnection(w)
		return
	case FaultCloseBody:
		_, _ = r.Body.Read(make([]byte, 1))
		closeConnection(w)
		return
	}
	var body callRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault.Fault == FaultRefuse || fault.Fault == FaultLeaving || !e.acquireSlot(r.Context(), w) {
		e.refuseCall(w, fault.Fault == FaultLeaving)
		return
	}
	started := time.Now()
	defer func() {
		e.releaseSlot()
		e.counts.addCost(body.Stage, e.cost*time.Since(started).Seconds())
	}()
	e.counts.addRun(e.pool, body)
	switch fault.Fault {
	case FaultHang:
		<-r.Context().Done()
		return
	case FaultFail:
		e.setHeaders(w)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "the stand-in was told to fail"})
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
		closeConnection(w)
		return
	}
	if body.MaxTokens > 0 {
		e.generate(w, r, body, factor, fault.Fault == FaultCloseAnswer)
		return
	}
	e.answer(w, body, fault.Fault == FaultCloseAnswer)
}

func (e *Endpoint) refuseCall(w http.ResponseWriter, leaving bool) {
	e.setHeaders(w)
	w.Header().Set("X-Not-Run", "1")
	if leaving {
		w.Header().Set("X-Leaving", "1")
	}
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "busy or leaving"})
}

// acquireSlot waits for a slot. It returns false if the queue is full or ctx ends first.
func (e *Endpoint) acquireSlot(ctx context.Context, _ http.ResponseWriter) bool {
	e.mu.Lock()
	if e.waiting >= e.slots {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	entered := false
	select {
	case e.slotTokens <- struct{}{}:
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

func (e *Endpoint) releaseSlot() {
	<-e.slotTokens
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
}

func (e *Endpoint) setHeaders(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reportedAt) > loadReportInterval {
		e.reportedLoad, e.reportedAt = e.running+e.waiting, now
	}
	w.Header().Set("X-Load", strconv.Itoa(e.reportedLoad))
	if e.leaving {
		w.Header().Set("X-Leaving", "1")
	}
}

func (e *Endpoint) prefill(ctx context.Context, body callRequest, factor float64) bool {
	e.mu.Lock()
	d := float64(e.latency.Base) * factor * (1 + jitterRatio*(2*e.rand.Float64()-1))
	if body.MaxTokens > 0 && e.usePrefix(body.Input) {
		d *= cachedPrefillFactor
	}
	e.mu.Unlock()
	return sleep(ctx, time.Duration(d))
}

// usePrefix reports whether the prompt's prefix is in the LRU prefix cache, and makes it
// the most recently used one.
func (e *Endpoint) usePrefix(input string) bool {
	if e.latency.Cache == 0 || len(input) < prefixBytes {
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
	if len(e.prefixes) > e.latency.Cache {
		e.prefixes = e.prefixes[:e.latency.Cache]
	}
	return hit
}

func (e *Endpoint) answer(w http.ResponseWriter, body callRequest, truncate bool) {
	e.setHeaders(w)
	out, _ := json.Marshal(map[string]string{"request_id": body.RequestID, "output": body.Input + "|" + body.Stage})
	if truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		closeConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out)
}

// generate streams tokens. Each further concurrent call slows down every token.
func (e *Endpoint) generate(w http.ResponseWriter, r *http.Request, body callRequest, factor float64, truncate bool) {
	e.setHeaders(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush := http.NewResponseController(w)
	marker := Marker(body.Input)
	for i := body.Resume; i < body.MaxTokens; i++ {
		e.mu.Lock()
		d := float64(e.latency.Token) * factor * (1 + e.latency.BatchSlowdown*float64(e.running-1))
		e.mu.Unlock()
		if !sleep(r.Context(), time.Duration(d)) {
			return
		}
		if truncate && i >= body.Resume+(body.MaxTokens-body.Resume)/2 {
			closeConnection(w)
			return
		}
		fmt.Fprintf(w, "{\"i\":%d,\"t\":%q}\n", i, Token(marker, i))
		_ = flush.Flush()
	}
	fmt.Fprintf(w, "{\"done\":true,\"n\":%d,\"request_id\":%q}\n", body.MaxTokens, body.RequestID)
}

// Marker returns the part of an input that every result for it must contain.
func Marker(input string) string {
	_, rest, _ := strings.Cut(input, "req=")
	marker, _, _ := strings.Cut(rest, ";")
	return marker
}

// Token returns token i of the response to the input with the marker.
func Token(marker string, i int) string { return fmt.Sprintf("%s.%d ", marker, i) }

// sleep waits for d and returns false if ctx ends first.
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
