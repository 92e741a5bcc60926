//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// stageService is a service that makes pieces. A call takes stageCall and the time of each item.
type stageService struct {
	name  string
	batch int
	item  time.Duration
	// room is the size in MB of the results that a worker can hold.
	room float64
}

const (
	stageCall = 240 * time.Millisecond
	handleTTL = 4 * time.Second
	// A stage worker works on one call and lets two wait.
	stagePlaces = 3
)

// piece identifies a piece of a stage of a request.
type piece struct {
	request string
	stage   int
	number  int
}

// results holds the results of all stage workers by their handles.
type results struct {
	mu   sync.Mutex
	held map[string]heldResult
}

type heldResult struct {
	of      piece
	expires time.Time
}

func (h *results) put(handle string, of piece) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[handle] = heldResult{of: of, expires: time.Now().Add(handleTTL)}
}

// fetch returns the result behind a handle, or false if it is gone.
func (h *results) fetch(handle string) (piece, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.held[handle]
	return r.of, ok && time.Now().Before(r.expires)
}

func (h *results) free(handles []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, handle := range handles {
		delete(h.held, handle)
	}
}

// stageWorker makes pieces of stages.
type stageWorker struct {
	s           *site
	id, address string
	service     stageService
	results     *results
	// fetched is called with the inputs that a piece fetched.
	fetched func(of piece, inputs []piece)
	// surplus reports whether a second answer to this call is to arrive late.
	surplus func() bool
	turn    chan struct{}
	places  chan struct{}
}

func startStageWorker(s *site, id string, service stageService, zone string, h *results, fetched func(piece, []piece), surplus func() bool) (*stageWorker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &stageWorker{
		s: s, id: id, service: service, address: l.Addr().String(), results: h, fetched: fetched, surplus: surplus,
		turn: make(chan struct{}, 1), places: make(chan struct{}, stagePlaces),
	}
	// late holds, for each connection, the second answer that is still to be sent on it.
	var mu sync.Mutex
	late := make(map[net.Conn][]byte)
	go serveRaw(l, func(x *exchange) bool {
		answer, again := w.handle(x)
		if answer == nil {
			return false
		}
		mu.Lock()
		before := late[x.conn]
		delete(late, x.conn)
		if again {
			late[x.conn] = answer
		}
		mu.Unlock()
		if before != nil {
			w.s.r.printf("%s sends a second answer to an earlier call where the answer to %s is due", w.id, x.req.URL.Path)
			if !x.write(before) {
				return false
			}
		}
		return x.write(answer)
	})
	s.listWorker(id, service.name, w.address, zone, 1)
	return w, nil
}

type stageItemBody struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// handle returns the answer to a request, and whether it is to be sent again later. There is no answer if the
// caller has left.
func (w *stageWorker) handle(x *exchange) (answer []byte, again bool) {
	if x.misdirected(w.id) {
		return nil, false
	}
	header := map[string]string{"Content-Type": "application/json", "X-Load": fmt.Sprintf("%d,%d,1", len(w.turn), max(len(w.places)-1, 0))}
	if id := x.req.Header.Get("X-Request-Id"); id != "" {
		header["X-Request-Id"] = id
	}
	switch x.req.URL.Path {
	case "/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(x.body, &call)
		w.results.free(call.Handles)
		return answerBytes(http.StatusOK, header, nil), false
	case "/stage-run":
	default:
		header["X-Instance"] = w.id
		return answerBytes(http.StatusOK, header, nil), false
	}
	select {
	case w.places <- struct{}{}:
	default:
		header["X-Not-Executed"] = "1"
		return answerBytes(http.StatusServiceUnavailable, header, nil), false
	}
	defer func() { <-w.places }()
	w.turn <- struct{}{}
	defer func() { <-w.turn }()
	if x.gone() {
		return nil, false
	}
	var call struct {
		Items []stageItemBody `json:"items"`
	}
	if err := json.Unmarshal(x.body, &call); err != nil {
		return answerBytes(http.StatusBadRequest, header, nil), false
	}
	var out struct {
		Items []map[string]string `json:"items"`
	}
	work := stageCall
	var made strings.Builder
	for _, item := range call.Items {
		result := w.make(item)
		out.Items = append(out.Items, result)
		work += w.service.item
		fmt.Fprintf(&made, " %s/%d.%d=%s", item.ID, item.Stage, item.Piece, result["handle"]+result["reason"])
	}
	time.Sleep(work)
	body, _ := json.Marshal(out)
	w.s.r.printf("%s answers a call, pieces and handles:%s", w.id, made.String())
	return answerBytes(http.StatusOK, header, body), w.surplus()
}

// make fetches the inputs of an item and makes its result.
func (w *stageWorker) make(item stageItemBody) map[string]string {
	of := piece{request: item.ID, stage: item.Stage, number: item.Piece}
	var inputs []piece
	for _, handle := range item.Inputs {
		input, ok := w.results.fetch(handle)
		if !ok {
			return map[string]string{"reason": "gone"}
		}
		inputs = append(inputs, input)
	}
	if len(item.Inputs) > 0 {
		w.fetched(of, inputs)
	}
	handle := fmt.Sprintf("%s/%011x", w.address, rand.Uint64()>>20)
	w.results.put(handle, of)
	return map[string]string{"handle": handle}
}

// handlesOf splits the header X-Inputs.
func handlesOf(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
