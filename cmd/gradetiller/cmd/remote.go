package cmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/control"
)

// requestTimeout bounds each request, including an apply. Tests shorten it.
var requestTimeout = 30 * time.Second

// maxResponseBytes bounds a response. The largest is a configuration of 8 MiB in JSON, which may double it.
const maxResponseBytes = 32 << 20

// outcomeUnknownError means that a request may have reached a control process and
// that its outcome is unknown. Every other error of remote.call means that the
// request changed nothing.
type outcomeUnknownError struct{ err error }

func (e *outcomeUnknownError) Error() string { return e.err.Error() }

func (e *outcomeUnknownError) Unwrap() error { return e.err }

func outcomeUnknownf(format string, args ...any) error {
	return &outcomeUnknownError{err: fmt.Errorf(format, args...)}
}

// call sends a request to the control process and decodes the response into out.
func (r *remote) call(method, path string, in, out any) error {
	req, err := r.request(method, path, in)
	if err != nil {
		return err
	}
	resp, err := r.send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return outcomeUnknownf("response of control process %s cannot be read: %w", r.Control, err)
	}
	if resp.StatusCode != http.StatusOK {
		return r.responseError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return outcomeUnknownf("response of control process %s is not valid JSON: %w", r.Control, err)
	}
	return nil
}

func (r *remote) request(method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+r.Control.String()+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.Token)
	return req, nil
}

// send sends a request once, without retries. It traces whether there was a connection,
// because without one nothing was sent, and the error does not distinguish a dial timeout
// from a response timeout.
func (r *remote) send(req *http.Request) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	client := &http.Client{
		Transport: &http.Transport{}, Timeout: requestTimeout,
		// A control process does not redirect, and the response to a redirected
		// request would say nothing about the original one.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	err = fmt.Errorf("control process %s does not answer: %w", r.Control, err)
	if connected {
		return nil, &outcomeUnknownError{err: err}
	}
	return nil, err
}

// responseError returns the error for a response with a status other than 200. Only an
// error body of a control process together with a status that means "nothing changed"
// is a definite refusal.
func (r *remote) responseError(status int, data []byte) error {
	var body control.ErrorResponse
	if json.Unmarshal(data, &body) != nil || body.Error == "" {
		return outcomeUnknownf("control process %s returned status %d without an error message", r.Control, status)
	}
	err := errors.New(body.Error)
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusServiceUnavailable:
		return err
	case http.StatusConflict:
		return &statusError{status: ExitConflict, err: err}
	}
	return &outcomeUnknownError{err: err}
}
