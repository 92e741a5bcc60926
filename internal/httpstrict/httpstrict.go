// Package httpstrict refuses responses that are none in HTTP/1.1 but that net/http accepts: statuses outside of 100 to 599, changes of
// protocol that were not asked for, other major versions, and field names that are no tokens. The last may hide the length of a body,
// so that another one is read.
//
// # Usage
//
//	transport := httpstrict.Transport(&http.Transport{...})
//	resp, err := transport.RoundTrip(req)
//	if errors.Is(err, httpstrict.ErrInvalid) {
//		// the server answered with something else
//	}
package httpstrict

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
)

// ErrInvalid is the error of a response that is none. It was sent, so the request may have run.
var ErrInvalid = errors.New("invalid HTTP response")

// The range of statuses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
	// maxQuoted bounds what an error quotes of a response, in bytes.
	maxQuoted = 60
)

// Transport returns a RoundTripper that sends requests with base and whose error wraps ErrInvalid if the response is none. The requests
// must not ask for a change of protocol.
func Transport(base http.RoundTripper) http.RoundTripper { return transport{base} }

type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkNames(http.Header(header)) },
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes those of the base, if it has any. http.Client looks for this method.
func (t transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// Check returns an error that wraps ErrInvalid if a final response is none.
func Check(resp *http.Response) error {
	switch status := resp.StatusCode; {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", ErrInvalid, quoted(resp.Proto))
	case status < minStatus || status > maxStatus:
		return fmt.Errorf("%w: status %03d", ErrInvalid, status)
	case status < http.StatusOK:
		return fmt.Errorf("%w: final status %d", ErrInvalid, status)
	case strings.ContainsFunc(resp.Status, isControl):
		return fmt.Errorf("%w: control character in the reason %s", ErrInvalid, quoted(resp.Status))
	}
	return checkNames(resp.Header)
}

func checkNames(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !isToken(r) }) {
			return fmt.Errorf("%w: field name %s", ErrInvalid, quoted(name))
		}
	}
	return nil
}

// isToken reports whether a character may be part of a token (RFC 9110, section 5.6.2).
func isToken(r rune) bool {
	return r > ' ' && r < 0x7f && !strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func quoted(text string) string { return fmt.Sprintf("%q", text[:min(len(text), maxQuoted)]) }
