package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"
	"time"

	"gradetiller.example/failure"
	"gradetiller.example/internal/core/clamp"
	corehash "gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/run"
)

const (
	maxBodyBytes    = 1 << 20
	maxIDLength     = 128
	prefixLength    = 64
	headerRequestID = "X-Request-Id"
	contentJSON     = "application/json"
	contentNDJSON   = "application/x-ndjson"
)

type runBody struct {
	Input      string `json:"input"`
	DeadlineMS int64  `json:"deadline_ms"`
	Repeatable *bool  `json:"repeatable"`
	Class      string `json:"class"`
	Stream     bool   `json:"stream"`
}

func badRequest(format string, args ...any) error {
	return failure.New(failure.BadRequest, fmt.Sprintf(format, args...))
}

func decodeRun(_ context.Context, r *http.Request) (any, error) {
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxIDLength {
		return nil, badRequest("expected the header %s with 1 to %d bytes", headerRequestID, maxIDLength)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return nil, badRequest("read body: %v", err)
	}
	if len(data) > maxBodyBytes {
		return nil, failure.New(failure.TooLarge, fmt.Sprintf("the body exceeds %d bytes", maxBodyBytes))
	}
	var body runBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, badRequest("body is not the JSON expected: %v", err)
	}
	if body.DeadlineMS < 0 {
		return nil, badRequest("deadline_ms is negative; expected the milliseconds left")
	}
	return &runRequest{
		credentials: bearer(r),
		stream:      body.Stream,
		request: run.Request{
			Pipeline:   r.PathValue("pipeline"),
			RequestID:  id,
			Timeout:    clamp.Milliseconds(body.DeadlineMS),
			Repeatable: body.Repeatable == nil || *body.Repeatable,
			Class:      normalizeClass(body.Class),
			Input:      []byte(body.Input),
			Prefix:     prefixHash(body.Input),
		},
	}, nil
}

// classes lists the known request classes. Other names are counted as
// "default", which bounds the number of metric series.
var classes = map[string]bool{"interactive": true, "batch": true, "booking": true}

func normalizeClass(name string) string {
	if classes[name] {
		return name
	}
	return "default"
}

// prefixHash returns the hash of the first prefixLength bytes of a prompt, by
// which engines with a cached prefix are found. It returns 0 for a shorter one.
func prefixHash(input string) uint64 {
	if len(input) < prefixLength {
		return 0
	}
	return corehash.Of(input[:prefixLength])
}

type errorBody struct {
	Code         string `json:"code"`
	Ran          string `json:"ran"`
	Message      string `json:"message"`
	Stage        string `json:"stage,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func errorBodyOf(err error) (errorBody, failure.Answer, time.Duration) {
	var f *failure.Error
	if !errors.As(err, &f) {
		f = failure.New(failure.Internal, err.Error())
	}
	answer := f.Kind().Answer()
	after := f.RetryAfter()
	if !answer.Again() {
		after = 0
	}
	return errorBody{
		Code: answer.Code(), Ran: string(answer.Ran()), Message: f.Message(), Stage: f.Stage(),
		RetryAfterMS: after.Milliseconds(),
	}, answer, after
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	body, answer, after := errorBodyOf(err)
	if after > 0 {
		seconds := int((after + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, answer.Status(), struct {
		Error errorBody `json:"error"`
	}{body})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type stageBody struct {
	Name     string  `json:"name"`
	Endpoint string  `json:"endpoint,omitempty"`
	TookMS   float64 `json:"took_ms"`
	Calls    int     `json:"calls"`
	Skipped  bool    `json:"skipped,omitempty"`
}

type answerBody struct {
	RequestID string      `json:"request_id"`
	Ran       string      `json:"ran"`
	OnTime    bool        `json:"on_time"`
	TookMS    float64     `json:"took_ms"`
	Output    string      `json:"output"`
	Stages    []stageBody `json:"stages"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func answerBodyOf(f *run.Finish) answerBody {
	body := answerBody{
		RequestID: f.Summary.RequestID, Ran: string(failure.RanYes), OnTime: f.Summary.OnTime,
		TookMS: milliseconds(f.Summary.Took), Output: string(f.Output),
	}
	for _, s := range f.Summary.Stages {
		body.Stages = append(body.Stages, stageBody{Name: s.Name, Endpoint: s.Endpoint, TookMS: milliseconds(s.Took), Calls: s.Calls, Skipped: s.Skipped})
	}
	return body
}

// encodeRun waits for the run and writes its answer, either complete or
// streamed. The run is canceled if the client disconnects.
func (n *Node) encodeRun(ctx context.Context, w http.ResponseWriter, response any) error {
	resp := response.(runResponse)
	if resp.streamed {
		return n.encodeStream(ctx, w, resp)
	}
	for {
		select {
		case <-ctx.Done():
			n.Cancel(resp.stream.run)
			return nil
		case <-resp.stream.wake:
		}
		_, end := resp.stream.take()
		switch {
		case end == nil:
		case end.Err != nil:
			encodeError(ctx, end.Err, w)
			return nil
		default:
			writeJSON(w, http.StatusOK, answerBodyOf(end))
			return nil
		}
	}
}

// streamEvent is one line of a streamed answer. The last line has End or
// Error; a stream without such a line is truncated.
type streamEvent struct {
	Text   string     `json:"text,omitempty"`
	End    bool       `json:"end,omitempty"`
	Length int        `json:"length,omitempty"`
	SHA256 string     `json:"sha256,omitempty"`
	OnTime *bool      `json:"on_time,omitempty"`
	Error  *errorBody `json:"error,omitempty"`
}

// streamWriter writes stream events and tracks the length and digest of their
// text.
type streamWriter struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	started bool
	length  int
	digest  hash.Hash
}

func (s *streamWriter) writeEvent(e streamEvent) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", contentNDJSON)
		s.w.WriteHeader(http.StatusOK)
	}
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if _, err := s.w.Write(append(line, '\n')); err != nil {
		return err
	}
	return s.flush.Flush()
}

func (s *streamWriter) writeText(fresh []byte) error {
	s.length += len(fresh)
	_, _ = s.digest.Write(fresh)
	return s.writeEvent(streamEvent{Text: string(fresh)})
}

func (n *Node) encodeStream(ctx context.Context, w http.ResponseWriter, resp runResponse) error {
	out := &streamWriter{w: w, flush: http.NewResponseController(w), digest: sha256.New()}
	for {
		select {
		case <-ctx.Done():
			n.Cancel(resp.stream.run)
			return nil
		case <-resp.stream.wake:
		}
		fresh, end := resp.stream.take()
		if end != nil && end.Err != nil {
			return out.writeError(ctx, end.Err)
		}
		if len(fresh) > 0 {
			if err := out.writeText(fresh); err != nil {
				n.Cancel(resp.stream.run)
				return nil
			}
		}
		if end != nil {
			return out.writeEnd(end)
		}
	}
}

// writeError ends the stream with an error. If no event was written yet, the
// error is the HTTP answer, otherwise the last event.
func (s *streamWriter) writeError(ctx context.Context, err error) error {
	if !s.started {
		encodeError(ctx, err, s.w)
		return nil
	}
	body, _, _ := errorBodyOf(err)
	_ = s.writeEvent(streamEvent{Error: &body})
	return nil
}

// writeEnd writes the last event, after any output that was not streamed: if
// the last stage does not stream, that is the complete output.
func (s *streamWriter) writeEnd(f *run.Finish) error {
	if rest := f.Output[min(s.length, len(f.Output)):]; len(rest) > 0 {
		if err := s.writeText(rest); err != nil {
			return nil
		}
	}
	onTime := f.Summary.OnTime
	_ = s.writeEvent(streamEvent{End: true, Length: s.length, SHA256: hex.EncodeToString(s.digest.Sum(nil)), OnTime: &onTime})
	return nil
}

func decodeLocate(_ context.Context, r *http.Request) (any, error) {
	return &locateRequest{credentials: bearer(r), region: r.URL.Query().Get("region"), domain: r.URL.Query().Get("failure_domain")}, nil
}

func encodeJSON(_ context.Context, w http.ResponseWriter, response any) error {
	writeJSON(w, http.StatusOK, response)
	return nil
}

func decodeCancel(_ context.Context, r *http.Request) (any, error) {
	return &cancelRequest{credentials: bearer(r), requestID: r.PathValue("request")}, nil
}
