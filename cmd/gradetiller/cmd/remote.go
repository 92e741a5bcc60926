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

	"gradetiller.example/internal/control"
)

// askTimeout bounds an exchange, an apply too; a test shortens it.
var askTimeout = 30 * time.Second

// unknownError tells that a request may have reached a control process, and
// that no answer tells what became of it. Every other error of ask tells that
// the request changed nothing.
type unknownError struct{ err error }

func (e *unknownError) Error() string { return e.err.Error() }

func (e *unknownError) Unwrap() error { return e.err }

func unknownf(format string, args ...any) error {
	return &unknownError{err: fmt.Errorf(format, args...)}
}

// ask makes one exchange with a control process.
func (r *remote) ask(method, path string, in, out any) error {
	req, err := r.request(method, path, in)
	if err != nil {
		return err
	}
	resp, err := r.send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return unknownf("the answer of control process %s broke off: %w", r.Control, err)
	}
	if resp.StatusCode != http.StatusOK {
		return r.refusal(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return unknownf("the answer of control process %s is unreadable: %w", r.Control, err)
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

// send sends a request once. Nothing was sent as long as there was no
// connection; the kind of the error does not tell, since a time-out while
// dialing is the same error as one while waiting.
func (r *remote) send(req *http.Request) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	client := &http.Client{
		Transport: &http.Transport{}, Timeout: askTimeout,
		// A control process leads nowhere else; an answer from there would be to
		// another request.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	err = fmt.Errorf("control process %s does not answer: %w", r.Control, err)
	if connected {
		return nil, &unknownError{err: err}
	}
	return nil, err
}

// refusal reads an answer other than 200. Only a control process's own error
// with a status that stands for "nothing changed" is a refusal.
func (r *remote) refusal(status int, data []byte) error {
	var body control.ErrorResponse
	if json.Unmarshal(data, &body) != nil || body.Error == "" {
		return unknownf("control process %s answered status %d without its error", r.Control, status)
	}
	err := errors.New(body.Error)
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusServiceUnavailable:
		return err
	case http.StatusConflict:
		return &statusError{status: ExitConflict, err: err}
	}
	return &unknownError{err: err}
}
