package endpoints

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/run"
	"gradetiller.example/internal/httpstrict"
	"gradetiller.example/internal/socket"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 8 << 20
	maxLineBytes   = 64 << 10
	maxHeaderBytes = 64 << 10
	// maxStreamBytes bounds the text of a stream, which is held until the stream ends.
	maxStreamBytes  = 32 << 20
	maxIdlePerHost  = 64
	idleTimeout     = 30 * time.Second
	headerNotRun    = "X-Not-Run"
	headerLoad      = "X-Load"
	headerLeaving   = "X-Leaving"
	contentJSON     = "application/json"
	pathCall        = "/v1/call"
	maxReasonLength = 200
)

// HTTP calls endpoints over HTTP/1.1.
type HTTP struct {
	pooled   *http.Transport
	unpooled *http.Transport
}

// NewHTTP returns an adapter with its own connection pool.
func NewHTTP() *HTTP {
	return &HTTP{pooled: newTransport(false), unpooled: newTransport(true)}
}

func newTransport(disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            socket.DialReporting(&net.Dialer{Timeout: dialTimeout}),
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.pooled.CloseIdleConnections()
	h.unpooled.CloseIdleConnections()
}

// callBody is the JSON body of a call.
type callBody struct {
	RequestID  string `json:"request_id"`
	Run        uint64 `json:"run"`
	Attempt    uint64 `json:"attempt"`
	Stage      string `json:"stage"`
	Version    string `json:"version,omitempty"`
	Input      string `json:"input"`
	MaxTokens  int    `json:"max_tokens,omitempty"`
	Priority   int    `json:"priority"`
	DeadlineMS int64  `json:"deadline_ms"`
	ResumeFrom int    `json:"resume_from,omitempty"`
	Repeatable bool   `json:"repeatable"`
}

type callAnswer struct {
	RequestID string `json:"request_id"`
	Output    string `json:"output"`
	Error     string `json:"error"`
}

type streamLine struct {
	Index     int    `json:"i"`
	Text      string `json:"t"`
	Done      bool   `json:"done"`
	Count     int    `json:"n"`
	RequestID string `json:"request_id"`
}

// Call implements Caller.
func (h *HTTP) Call(ctx context.Context, call run.Call, sink Sink) run.CallResult {
	body, err := json.Marshal(callBody{
		RequestID:  call.RequestID,
		Run:        uint64(call.Run),
		Attempt:    uint64(call.Attempt),
		Stage:      call.Stage,
		Version:    call.Version,
		Input:      string(call.Input),
		MaxTokens:  call.MaxTokens,
		Priority:   call.Priority,
		DeadlineMS: time.Until(call.Deadline).Milliseconds(),
		ResumeFrom: call.ResumeFrom,
		Repeatable: call.Repeatable,
	})
	if err != nil {
		return newResult(attempt.NotSent, "encode call: "+err.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+call.Address+pathCall, withoutGetBody(body))
	if err != nil {
		return newResult(attempt.NotSent, "build call: "+err.Error())
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", contentJSON)
	resp, err := httpstrict.Transport(h.transport(call)).RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return newResult(attempt.NotSent, err.Error())
		}
		return newResult(attempt.NoResponse, err.Error())
	}
	defer resp.Body.Close()
	end := readAnswer(resp, call, sink, cancel)
	end.Load = parseLoad(resp)
	end.Draining = resp.Header.Get(headerLeaving) != ""
	return end
}

func (h *HTTP) transport(call run.Call) *http.Transport {
	if call.Repeatable {
		return h.pooled
	}
	return h.unpooled
}

// withoutGetBody returns a reader whose type net/http does not recognize, so
// that it sets no GetBody and cannot send the request twice.
func withoutGetBody(body []byte) io.Reader { return struct{ io.Reader }{bytes.NewReader(body)} }

func newResult(e attempt.Event, reason string) run.CallResult {
	if len(reason) > maxReasonLength {
		reason = reason[:maxReasonLength]
	}
	return run.CallResult{Event: e, Reason: reason}
}

func parseLoad(resp *http.Response) place.Load {
	busy, err := strconv.ParseFloat(resp.Header.Get(headerLoad), 64)
	if err != nil || !(busy >= 0) || math.IsInf(busy, 1) {
		return place.Load{}
	}
	return place.Load{Calls: busy, ReceivedAt: time.Now()}
}

func readAnswer(resp *http.Response, call run.Call, sink Sink, cancel context.CancelFunc) run.CallResult {
	switch {
	case resp.Header.Get(headerNotRun) != "":
		return newResult(attempt.Rejected, fmt.Sprintf("endpoint %s did not run the call", call.Endpoint))
	case resp.StatusCode != http.StatusOK:
		return newResult(attempt.Fail, fmt.Sprintf("endpoint %s answered status %d", call.Endpoint, resp.StatusCode))
	case call.Streams:
		return readStream(resp.Body, call, sink, cancel)
	}
	return readBody(resp.Body, call)
}

func readBody(r io.Reader, call run.Call) run.CallResult {
	data, err := bounded.ReadAll(r, maxAnswerBytes)
	if errors.Is(err, bounded.ErrLimit) {
		return newResult(attempt.NoResponse, "answer is too large: "+err.Error())
	}
	if err != nil {
		return newResult(attempt.NoResponse, "answer broke off: "+err.Error())
	}
	var answer callAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return newResult(attempt.NoResponse, "answer is not JSON: "+err.Error())
	}
	if answer.RequestID != call.RequestID {
		return newResult(attempt.NoResponse, fmt.Sprintf("answer is for request %q", answer.RequestID))
	}
	return run.CallResult{Event: attempt.Complete, Output: []byte(answer.Output)}
}

// readStream passes tokens to the sink. The stream is complete only if its end
// line has this request's id and the number of tokens received.
func readStream(r io.Reader, call run.Call, sink Sink, cancel context.CancelFunc) run.CallResult {
	var idle *time.Timer
	if call.IdleTimeout > 0 {
		idle = time.AfterFunc(call.IdleTimeout, cancel)
		defer idle.Stop()
		idle.Stop()
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	size := 0
	for lines.Scan() {
		if idle != nil {
			idle.Reset(call.IdleTimeout)
		}
		var line streamLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return brokenStream(sink, "stream line is not JSON: "+err.Error())
		}
		if line.Done {
			return checkStreamEnd(line, call, sink)
		}
		if size += len(line.Text); size > maxStreamBytes {
			return brokenStream(sink, fmt.Sprintf("stream is too large: more than %d bytes", maxStreamBytes))
		}
		if !sink.Token(line.Index, line.Text) {
			return brokenStream(sink, "tokens are not wanted any more, or out of order")
		}
	}
	err := lines.Err()
	if err == nil {
		err = errors.New("no end line")
	}
	return brokenStream(sink, "stream broke off: "+err.Error())
}

func checkStreamEnd(line streamLine, call run.Call, sink Sink) run.CallResult {
	if line.RequestID != call.RequestID {
		return brokenStream(sink, fmt.Sprintf("stream is for request %q", line.RequestID))
	}
	if line.Count != sink.Count() {
		return brokenStream(sink, fmt.Sprintf("stream ended with %d tokens, %d came", line.Count, sink.Count()))
	}
	return run.CallResult{Event: attempt.Complete, Output: sink.Output(), Tokens: line.Count}
}

func brokenStream(sink Sink, reason string) run.CallResult {
	end := newResult(attempt.NoResponse, reason)
	end.Tokens = sink.Count()
	return end
}
