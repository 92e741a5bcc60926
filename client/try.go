package client

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"

	"gradetiller.example/failure"
	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/httpstrict"
)

type runBody struct {
	Input      string `json:"input"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	Repeatable bool   `json:"repeatable"`
	Class      string `json:"class,omitempty"`
	Stream     bool   `json:"stream,omitempty"`
}

type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Ran          string `json:"ran"`
		Message      string `json:"message"`
		Stage        string `json:"stage"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

type answerBody struct {
	RequestID string `json:"request_id"`
	OnTime    bool   `json:"on_time"`
	Output    string `json:"output"`
}

type streamEvent struct {
	Text   string `json:"text"`
	End    bool   `json:"end"`
	Length int    `json:"length"`
	SHA256 string `json:"sha256"`
	OnTime bool   `json:"on_time"`
	errorBody
}

// decodeError decodes the error of an answer. An answer without an error code does
// not come from the system, so that it is unknown whether the request ran.
func decodeError(data []byte, status int) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return failure.New(failure.Internal, fmt.Sprintf("unreadable answer with status %d", status))
	}
	return body.failure()
}

func (b *errorBody) failure() error {
	kind, _ := failure.ParseCode(b.Error.Code)
	return failure.New(kind, b.Error.Message, failure.WithStage(b.Error.Stage),
		failure.WithRetryAfter(clamp.Milliseconds(b.Error.RetryAfterMS)))
}

// mayRetry reports whether a request may be sent again after err.
func mayRetry(req Request, err error) bool {
	answer := failure.KindOf(err).Answer()
	if answer.Ran() == failure.RanNo {
		return answer.Again()
	}
	return !req.Once && answer.Ran() == failure.RanUnknown && failure.KindOf(err) == failure.StageUnknown
}

// try sends the request once and reports whether it may be retried.
func (c *Client) try(ctx context.Context, req Request, text func(string)) (*Answer, bool, error) {
	address, err := c.address(ctx)
	if err != nil {
		f := failure.New(failure.NotReady, "no address answers", failure.WithCause(err))
		return nil, true, f
	}
	connected := false
	resp, err := c.send(traceConnected(ctx, &connected), address, req, text != nil)
	if err != nil {
		c.dropAddress(address)
		if connected {
			return unknownOutcome(req, "the connection broke", err)
		}
		return nil, true, unsentError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := bounded.ReadAll(resp.Body, maxErrorBytes)
		err := decodeError(data, resp.StatusCode)
		if failure.KindOf(err) == failure.Draining {
			c.dropAddress(address)
		}
		return nil, mayRetry(req, err), err
	}
	if text != nil {
		return readStream(resp.Body, req, text)
	}
	return readAnswer(resp.Body, req)
}

// traceConnected sets connected once a request of the context has a connection;
// until then no byte of it is sent. The error alone does not show that, because
// a cancellation while dialing and one while waiting for the answer give the
// same error.
func traceConnected(ctx context.Context, connected *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
}

// unsentError returns the error of a request that failed before it had a
// connection, and so was not sent.
func unsentError(ctx context.Context, err error) error {
	switch ctx.Err() {
	case context.Canceled:
		return failure.New(failure.CanceledNotRun, "canceled before there was a connection", failure.WithCause(err))
	case context.DeadlineExceeded:
		return failure.New(failure.DeadlineNotRun, "the deadline passed before there was a connection", failure.WithCause(err))
	}
	return failure.New(failure.NotReady, "the request can't be sent there", failure.WithCause(err))
}

func (c *Client) send(ctx context.Context, address string, req Request, stream bool) (*http.Response, error) {
	body, err := json.Marshal(runBody{
		Input: req.Input, DeadlineMS: req.Deadline.Milliseconds(), Repeatable: !req.Once, Class: req.Class, Stream: stream,
	})
	if err != nil {
		return nil, err
	}
	// The wrapper hides the reader's type from net/http, so that it sets no
	// GetBody and the transport cannot send the request twice.
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/v1/pipelines/"+url.PathEscape(req.Pipeline)+"/run", struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	hreq.ContentLength = int64(len(body))
	hreq.Header.Set("Authorization", "Bearer "+c.key)
	hreq.Header.Set("X-Request-Id", req.ID)
	hreq.Header.Set("Content-Type", "application/json")
	return httpstrict.Transport(c.transport).RoundTrip(hreq)
}

func unknownOutcome(req Request, message string, cause error) (*Answer, bool, error) {
	return nil, !req.Once, failure.New(failure.StageUnknown, message, failure.WithCause(cause))
}

func readAnswer(r io.Reader, req Request) (*Answer, bool, error) {
	data, err := bounded.ReadAll(r, maxAnswerBytes)
	if errors.Is(err, bounded.ErrLimit) {
		return unknownOutcome(req, "the answer is too large", err)
	}
	if err != nil {
		return unknownOutcome(req, "the answer broke off", err)
	}
	var body answerBody
	if err := json.Unmarshal(data, &body); err != nil {
		return unknownOutcome(req, "the answer is not JSON", err)
	}
	if body.RequestID != req.ID {
		return unknownOutcome(req, fmt.Sprintf("the answer is for request %q", body.RequestID), nil)
	}
	return &Answer{requestID: body.RequestID, output: body.Output, onTime: body.OnTime}, false, nil
}

// streamFailure returns the error of a stream's error event. If the stream had
// text, the request has run, even if the event says "not run".
func streamFailure(e *streamEvent, text bool) error {
	err := e.failure()
	if text && notRun(err) {
		return failure.New(failure.StageUnknown, "the stream ended with an error after text", failure.WithCause(err))
	}
	return err
}

// readStream passes the parts of a stream to text. The stream is complete only
// with an end event whose length and digest match the parts received.
func readStream(r io.Reader, req Request, text func(string)) (*Answer, bool, error) {
	var output strings.Builder
	digest := sha256.New()
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxAnswerBytes)
	for lines.Scan() {
		var e streamEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, false, failure.New(failure.StageUnknown, "the stream holds a line that is not JSON", failure.WithCause(err))
		}
		switch {
		case e.Error.Code != "":
			return nil, false, streamFailure(&e, output.Len() > 0)
		case e.End:
			if e.Length != output.Len() || e.SHA256 != hex.EncodeToString(digest.Sum(nil)) {
				return nil, false, failure.New(failure.StageUnknown, "the stream's end does not match its text")
			}
			return &Answer{requestID: req.ID, output: output.String(), onTime: e.OnTime}, false, nil
		}
		if output.Len()+len(e.Text) > maxStreamBytes {
			return nil, false, failure.New(failure.StageUnknown, "the stream is too large", failure.WithCause(&bounded.LimitError{Limit: maxStreamBytes}))
		}
		output.WriteString(e.Text)
		digest.Write([]byte(e.Text))
		text(e.Text)
	}
	return nil, false, failure.New(failure.StageUnknown, "the stream was cut before its end", failure.WithCause(lines.Err()))
}
