package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/httpstrict"
	"gradetiller.example/internal/socket"
)

const (
	dialTimeout    = 2 * time.Second
	maxBodyBytes   = 16 << 20
	maxHeaderBytes = 64 << 10
	maxIdleConns   = 16
)

// HTTP is an adapter for all three services at one address.
type HTTP struct {
	base      string
	transport *http.Transport
}

// NewHTTP returns an adapter for a base URL whose host is an IP address with port.
func NewHTTP(base string) (*HTTP, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("platform address %q: %w", base, err)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return nil, fmt.Errorf("platform address %q: expected http://IP:PORT, host names are not looked up", base)
	}
	return &HTTP{base: u.Scheme + "://" + u.Host, transport: &http.Transport{
		DialContext:            socket.DialReporting(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}, nil
}

type readRequest struct {
	Keys []string `json:"keys"`
}

type rowsResponse struct {
	Rows []Row `json:"rows"`
}

type writeRequest struct {
	Puts []Put `json:"puts"`
}

// Read implements Table.
func (h *HTTP) Read(ctx context.Context, keys ...string) ([]Row, error) {
	var response rowsResponse
	if err := h.post(ctx, "/table/read", readRequest{Keys: keys}, &response); err != nil {
		return nil, fmt.Errorf("read table: %w", err)
	}
	if len(response.Rows) != len(keys) {
		return nil, fmt.Errorf("read table: got %d rows for %d keys", len(response.Rows), len(keys))
	}
	return response.Rows, nil
}

// Write implements Table.
func (h *HTTP) Write(ctx context.Context, puts []Put) error {
	if err := h.post(ctx, "/table/write", writeRequest{Puts: puts}, &struct{}{}); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// List implements Instances.
func (h *HTTP) List(ctx context.Context) ([]Instance, error) {
	body, status, err := h.send(ctx, http.MethodGet, "/instances", nil)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("list instances: status %d", status)
	}
	var list []Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	return list, nil
}

// Get implements Objects.
func (h *HTTP) Get(ctx context.Context, name string) ([]byte, error) {
	body, status, err := h.send(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil)
	switch {
	case err != nil:
		return nil, fmt.Errorf("get object %s: %w", name, err)
	case status == http.StatusNotFound:
		return nil, fmt.Errorf("get object %s: %w", name, ErrNotFound)
	case status != http.StatusOK:
		return nil, fmt.Errorf("get object %s: status %d", name, status)
	}
	return body, nil
}

// Put implements Objects.
func (h *HTTP) Put(ctx context.Context, name string, data []byte) error {
	_, status, err := h.send(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), data)
	if err != nil {
		return fmt.Errorf("put object %s: %w", name, err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("put object %s: status %d", name, status)
	}
	return nil
}

// post sends in as JSON and decodes the response into out. A conflict is returned as a
// *ConflictError.
func (h *HTTP) post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	body, status, err := h.send(ctx, http.MethodPost, path, data)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		return json.Unmarshal(body, out)
	case http.StatusConflict:
		var rows rowsResponse
		if err := json.Unmarshal(body, &rows); err != nil {
			return err
		}
		return &ConflictError{Rows: rows.Rows}
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: too many requests", ErrRefused)
	}
	return fmt.Errorf("status %d", status)
}

// send sends one request and reads its response. A failed dial had no effect and
// returns ErrRefused; after any other error the outcome is unknown.
func (h *HTTP) send(ctx context.Context, method, path string, data []byte) ([]byte, int, error) {
	// The reader is wrapped, which hides its type, so that the transport cannot retry the
	// request.
	var in io.Reader
	if data != nil {
		in = struct{ io.Reader }{bytes.NewReader(data)}
	}
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, in)
	if err != nil {
		return nil, 0, err
	}
	req.ContentLength = int64(len(data))
	resp, err := httpstrict.Transport(h.transport).RoundTrip(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, 0, fmt.Errorf("%w: %v", ErrRefused, err)
		}
		return nil, 0, err
	}
	defer resp.Body.Close()
	body, err := bounded.ReadAll(resp.Body, maxBodyBytes)
	return body, resp.StatusCode, err
}
