//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// clientRequest is one attempt of a client.
type clientRequest struct {
	id, path, key string
	deadline      time.Duration
	header        map[string]string
	body          []byte
}

// clientAnswer is what the client received. err is nil if the answer ended as its framing says.
type clientAnswer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// newID returns a request ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to a front address on a new connection.
func send(address string, q clientRequest) clientAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+q.path, bytes.NewReader(q.body))
	if err != nil {
		return clientAnswer{err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+q.key)
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return clientAnswer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return clientAnswer{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}
