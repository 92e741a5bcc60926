//go:build review

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The dose of the disruption, the largest that the site file names for it: of garble, extra late, on 0.6 of a
// service's workers, 0.03 of their answers, for 5 s at a time.
const (
	surplusShare  = 0.6
	surplusPart   = 0.03
	surplusFor    = 5 * time.Second
	surplusPause  = 1 * time.Second
	surplusTimes  = 13
	surplusFirst  = 3 * time.Second
	surplusLength = surplusFirst + surplusTimes*(surplusFor+surplusPause)
	surplusClient = 60
	modelWorkers  = 3
)

// The tokens of a prompt of the route vessel-plan: a part that requests share, and one of their own.
const (
	sharedTokens = 5382
	ownTokens    = 6610
	ownSpread    = 1.4
	maxOwnTokens = 54600
)

// firstStageShare is the share of the requests of the route that have a piece of its first stage.
const firstStageShare = 0.4

// stageServices are the services of the stages, as of the site file.
var stageServices = []stageService{
	{name: "gate-log", batch: 12, item: 17 * time.Millisecond, room: 14},
	{name: "tariff", batch: 42, item: 4900 * time.Microsecond, room: 4.6},
	{name: "legacy-bridge", batch: 32, item: 6400 * time.Microsecond, room: 0.35},
}

// stagesAfter are the stages of the route, each with those whose results it needs.
var stagesAfter = [][]int{{}, {}, {1}, {2}}

// runSurplus plays stage workers of which some send a second answer late, at the point where the answer to the
// next call on the connection is due. It checks what pieces and requests receive as inputs.
func runSurplus(o options, r *record) int {
	s, err := newSite(o, r)
	if err != nil {
		r.verdict("cannot start: %v", err)
		return exitNotRun
	}
	c := &inputCheck{r: r, pieces: make(map[string][]int)}
	h := &results{held: make(map[string]heldResult)}
	var active atomic.Bool
	var sent atomic.Int64
	for _, service := range stageServices {
		const workers = 5
		for i := range workers {
			troubled := o.trouble && float64(i) < surplusShare*workers
			surplus := func() bool {
				if !troubled || !active.Load() || rand.Float64() >= surplusPart {
					return false
				}
				sent.Add(1)
				return true
			}
			if _, err := startStageWorker(s, fmt.Sprintf("i-%s-%d", service.name, i), service, zones[i%len(zones)], h, c.pieceFetched, surplus); err != nil {
				r.verdict("cannot start: %v", err)
				return exitNotRun
			}
		}
	}
	for i := range modelWorkers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.verdict("cannot start: %v", err)
			return exitNotRun
		}
		w := &modelWorker{id: fmt.Sprintf("i-model-%d", i), began: func(string, int, int) {}, ended: func(string, int) {}}
		w.admit = func(x *exchange) int { return c.requestArrived(x, h) }
		s.listWorker(w.id, "tiller-pool", l.Addr().String(), zones[i%len(zones)], modelSlots)
		go w.serve(l)
	}
	s.store.put("op", "config", surplusConfig())
	if err := o.announce(); err != nil {
		r.verdict("cannot start: %v", err)
		return exitNotRun
	}
	if err := s.awaitNodes(); err != nil {
		r.verdict("cannot run: %v", err)
		return exitNotRun
	}
	begun := time.Now()
	var clients sync.WaitGroup
	for range surplusClient {
		clients.Go(func() {
			for time.Since(begun) < surplusLength {
				c.sendRequest(s)
			}
		})
	}
	time.Sleep(surplusFirst)
	for range surplusTimes {
		active.Store(true)
		time.Sleep(surplusFor)
		active.Store(false)
		time.Sleep(surplusPause)
	}
	clients.Wait()
	return c.judge(int(sent.Load()))
}

// surplusConfig is a configuration like that of the site pwani-slots, with its route vessel-plan.
func surplusConfig() map[string]any {
	var stages []map[string]any
	for i, service := range []string{"gate-log", "gate-log", "tariff", "legacy-bridge"} {
		stages = append(stages, map[string]any{"service": service, "sinceRev": stagesAfter[i], "sizeBytes": []int{800000, 8000, 60000, 6000}[i]})
	}
	services := []map[string]any{{
		"name": "tiller-pool", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": modelSlots, "kvCapacity": 621758, "kvTokenBytes": 18432, "linkMbps": 130000.0, "moves": true, "backups": true, "stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}}},
	}}
	for _, stage := range stageServices {
		services = append(services, map[string]any{
			"name": stage.name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": stage.batch, "callMs": stageCall.Milliseconds(), "itemMs": stage.item.Seconds() * 1000, "headroomMb": stage.room, "handleS": handleTTL.Seconds(), "linkMbps": 10000},
		})
	}
	return map[string]any{
		"version": 1, "services": services,
		"routes": []map[string]any{{
			"name": "vessel-plan", "host": host, "prefix": "/puxa400/", "kind": "streaming", "timeoutMs": 20000, "sloMs": 2500, "gapSloMs": 400, "priority": 1,
			"service": "tiller-pool", "maxAttempts": 1, "stages": stages, "public": false, "sticky": true, "resumable": false,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}}},
	}
}

// inputCheck checks the inputs of pieces and requests.
type inputCheck struct {
	r  *record
	mu sync.Mutex
	// pieces holds the number of pieces of each stage of the requests that were sent.
	pieces   map[string][]int
	checked  int
	broken   int
	served   int
	unserved int
}

// sendRequest sends a request of a client.
func (c *inputCheck) sendRequest(s *site) {
	id := newID()
	pieces := []int{0, 1, 8, 6}
	if rand.Float64() < firstStageShare {
		pieces[0] = 1
	}
	own := 1 + int(min(ownTokens*math.Exp(ownSpread*rand.NormFloat64()-ownSpread*ownSpread/2), maxOwnTokens))
	c.mu.Lock()
	c.pieces[id] = pieces
	c.mu.Unlock()
	a := send(s.nodes[rand.IntN(len(s.nodes))].front, clientRequest{
		id: id, path: "/puxa400/2f", key: apiKey, deadline: 20 * time.Second, body: []byte(strings.Repeat("x", 600)),
		header: map[string]string{
			"X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,380", sharedTokens+own), "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:%d,%s:%d", sharedTokens, id[:8], own),
			"X-Pieces": joined(pieces), "X-Piece-Key": id[:12],
		},
	})
	c.r.printf("request %s: status %d, %d bytes, error %v", id, a.status, len(a.body), a.err)
	served := a.status == http.StatusOK && a.err == nil
	if !served {
		time.Sleep(100 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if served {
		c.served++
	} else {
		c.unserved++
	}
}

func joined(numbers []int) string {
	texts := make([]string, len(numbers))
	for i, n := range numbers {
		texts[i] = strconv.Itoa(n)
	}
	return strings.Join(texts, ",")
}

// pieceFetched checks the inputs of a piece: those of all pieces of all stages that its stage needs.
func (c *inputCheck) pieceFetched(of piece, inputs []piece) {
	if of.stage < 0 || of.stage >= len(stagesAfter) {
		return
	}
	c.check(fmt.Sprintf("piece %d of stage %d of request %s", of.number, of.stage, of.request), of.request, stagesAfter[of.stage], inputs)
}

// requestArrived checks the inputs of a request at a model worker: those of all pieces of the stages that no
// other comes after. It returns the status of a rejection, or 0.
func (c *inputCheck) requestArrived(x *exchange, h *results) int {
	handles := handlesOf(x.req.Header.Get("X-Inputs"))
	if len(handles) == 0 {
		return http.StatusBadRequest
	}
	var inputs []piece
	for _, handle := range handles {
		input, ok := h.fetch(handle)
		if !ok {
			return http.StatusConflict
		}
		inputs = append(inputs, input)
	}
	id := x.req.Header.Get("X-Request-Id")
	c.check("request "+id, id, []int{0, 3}, inputs)
	return 0
}

func (c *inputCheck) check(who, request string, stages []int, inputs []piece) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var want []piece
	for _, stage := range stages {
		for number := range c.pieces[request][stage] {
			want = append(want, piece{request: request, stage: stage, number: number})
		}
	}
	c.checked++
	if sameInputs(want, inputs) {
		return
	}
	c.broken++
	c.r.printf("MIXED: %s received the inputs %v, expected %v", who, inputs, want)
}

// sameInputs reports whether two lists hold the same inputs, each once.
func sameInputs(a, b []piece) bool {
	if len(a) != len(b) {
		return false
	}
	for _, p := range a {
		if !slices.Contains(b, p) {
			return false
		}
	}
	return true
}

// judge returns the exit status.
func (c *inputCheck) judge(surplus int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.verdict("%d requests served whole, %d not; %d second answers; the inputs of %d pieces and requests were checked, %d were wrong", c.served, c.unserved, surplus, c.checked, c.broken)
	switch {
	case c.broken > 0:
		c.r.verdict("MIXED is broken")
		return exitBroken
	case c.checked == 0 || c.served == 0:
		return exitNotRun
	}
	c.r.verdict("MIXED held")
	return exitHeld
}
