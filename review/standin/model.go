//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// modelSlots is the number of requests that a model worker runs at once.
	modelSlots = 64
	// firstStep is the time from the end of a prompt's reading to the first event, and eventGap that between two
	// events.
	firstStep = 13 * time.Millisecond
	eventGap  = 20 * time.Millisecond
	// tokensPerMS is how many tokens of prompts a worker reads in a millisecond, one prompt after the other.
	tokensPerMS = 56.9
)

// modelWorker runs prompts and answers with streams of events.
type modelWorker struct {
	id, address string
	// version, if any, stands in its events.
	version string
	// admit is called with a request that is about to run. It returns the status and the reason of a
	// rejection, or 0.
	admit func(x *exchange) int
	// unframed makes it send its answers with neither a length nor chunks.
	unframed bool
	// spoils reports whether an answer is spoiled: after its head come bytes that are no events. nil means never.
	// spoiled is called at the end of such an answer.
	spoils  func(id string) bool
	spoiled func()
	// began and ended are called with the ID of a request and its number of events, began also with the last
	// event that the client has.
	began func(id string, after, events int)
	ended func(id string, events int)
	mu    sync.Mutex
	runs  int
	// reading is held while a prompt is read. read holds the parts of prompts that were read before.
	reading sync.Mutex
	read    map[string]bool
}

// readPrompt takes the time for reading the parts of a prompt that the worker has not read before.
func (w *modelWorker) readPrompt(prefix string) {
	w.reading.Lock()
	defer w.reading.Unlock()
	if w.read == nil {
		w.read = make(map[string]bool)
	}
	tokens := 0
	for part := range strings.SplitSeq(prefix, ",") {
		id, count, _ := strings.Cut(part, ":")
		if n, err := strconv.Atoi(count); err == nil && !w.read[id] {
			tokens += n
			w.read[id] = true
		}
	}
	time.Sleep(time.Duration(float64(tokens) / tokensPerMS * float64(time.Millisecond)))
}

// events returns the number of events of a request: one for each five tokens that it may generate.
func events(tokenCount string) int {
	const stride = 5
	_, most, _ := strings.Cut(tokenCount, ",")
	tokens, _ := strconv.Atoi(most)
	return max((tokens+stride-1)/stride, 1)
}

func (w *modelWorker) serve(l net.Listener) {
	w.address = l.Addr().String()
	serveRaw(l, w.handle)
}

func (w *modelWorker) handle(x *exchange) (keep bool) {
	if x.misdirected(w.id) {
		return true
	}
	id := x.req.Header.Get("X-Request-Id")
	header := map[string]string{}
	if id != "" {
		header["X-Request-Id"] = id
	}
	switch x.req.URL.Path {
	case "/kv-list":
		header["Content-Type"] = "application/json"
		return x.write(answerBytes(http.StatusOK, header, []byte(`{"epoch":1,"nextToken":1,"held":[]}`)))
	case "/health":
		header["X-Instance"] = w.id
		return x.write(answerBytes(http.StatusOK, header, nil))
	}
	if id == "" {
		return x.write(answerBytes(http.StatusBadRequest, map[string]string{"X-Not-Executed": "1"}, nil))
	}
	w.mu.Lock()
	full := w.runs >= modelSlots
	if !full {
		w.runs++
	}
	w.mu.Unlock()
	if full {
		header["X-Not-Executed"] = "1"
		return x.write(answerBytes(http.StatusServiceUnavailable, header, nil))
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.runs--
	}()
	if status := w.admit(x); status != 0 {
		header["X-Not-Executed"] = "1"
		return x.write(answerBytes(status, header, nil))
	}
	return w.stream(x, id)
}

// stream sends the events after the client's last one. Each event is one write.
func (w *modelWorker) stream(x *exchange, id string) (keep bool) {
	count := events(x.req.Header.Get("X-Token-Count"))
	after, _ := strconv.Atoi(x.req.Header.Get("Last-Event-Id"))
	w.began(id, after, count)
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Server-Stamp: 3e1b.%s.%s\r\n", id, w.id, id)
	if w.unframed {
		head.WriteString("Connection: close\r\n\r\n")
	} else {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	}
	w.readPrompt(x.req.Header.Get("X-Prompt-Prefix"))
	time.Sleep(firstStep)
	if w.spoils != nil && w.spoils(id) {
		defer w.spoiled()
		if x.write(head.Bytes()) {
			x.writeGarbage()
		}
		return false
	}
	next := time.Now()
	for i := after + 1; i <= count; i++ {
		event := fmt.Sprintf("id: %d\ndata: part %d of %d of %s\n\n", i, i, count, id)
		if w.version != "" {
			event = fmt.Sprintf("id: %d\ndata: part %d of %d by %s\n\n", i, i, count, w.version)
		}
		if !w.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if !x.write(append(head.Bytes(), event...)) {
			return false
		}
		head.Reset()
		next = next.Add(eventGap)
		time.Sleep(time.Until(next))
	}
	if !w.unframed && !x.write([]byte("0\r\n\r\n")) {
		return false
	}
	w.ended(id, count)
	return !w.unframed
}
