package control

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	rpc "github.com/go-kit/kit/endpoint"
	transport "github.com/go-kit/kit/transport/http"

	"gradetiller.example/config"
	"gradetiller.example/internal/wire"
)

const maxApplyBytes = 8 << 20

// ApplyRequest is a configuration file and the version that it is based on.
type ApplyRequest struct {
	Base     uint64 `json:"base"`
	Operator string `json:"operator"`
	Data     string `json:"data"`
}

// ApplyResponse holds the new version and the warnings about the file.
type ApplyResponse struct {
	Version  uint64   `json:"version"`
	Warnings []string `json:"warnings,omitempty"`
}

// ConfigResponse is the configuration in force.
type ConfigResponse struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Data    string `json:"data"`
}

// HistoryLine describes one version of the configuration.
type HistoryLine struct {
	Version  uint64    `json:"version"`
	Digest   string    `json:"digest"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Handler returns the operators' HTTP handler. Requests must carry the token,
// unless it is empty. The metrics need no token.
func (c *Control) Handler(token string) http.Handler {
	options := []transport.ServerOption{transport.ServerErrorEncoder(encodeError)}
	handle := func(e rpc.Endpoint, dec transport.DecodeRequestFunc) http.Handler {
		return requireToken(token, transport.NewServer(e, dec, transport.EncodeJSONResponse, options...))
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/config", handle(c.applyEndpoint, decodeApply))
	mux.Handle("GET /v1/config", handle(c.configEndpoint, transport.NopRequestDecoder))
	mux.Handle("GET /v1/history", handle(c.historyEndpoint, transport.NopRequestDecoder))
	mux.Handle("GET /v1/status", handle(c.statusEndpoint, transport.NopRequestDecoder))
	mux.Handle("GET /v1/explain", handle(c.explainEndpoint, decodeSubject))
	mux.HandleFunc("GET /metrics", c.writeMetrics)
	return mux
}

func requireToken(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want := "Bearer " + token
		if token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			writeError(w, http.StatusUnauthorized, "the operators' token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ErrorResponse{Error: message})
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	writeError(w, statusOf(err), err.Error())
}

func statusOf(err error) int {
	var problems config.Problems
	var conflict *ConflictError
	switch {
	case errors.As(err, &problems), errors.Is(err, errBadRequest):
		return http.StatusBadRequest
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.Is(err, errOutcomeUnknown):
		return http.StatusGatewayTimeout
	case errors.Is(err, errStoreUnavailable):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

var errBadRequest = errors.New("bad request")

func decodeApply(_ context.Context, r *http.Request) (any, error) {
	var req ApplyRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxApplyBytes)).Decode(&req); err != nil {
		return nil, fmt.Errorf("%w: %v", errBadRequest, err)
	}
	return req, nil
}

func decodeSubject(_ context.Context, r *http.Request) (any, error) {
	subject := r.URL.Query().Get("subject")
	if subject == "" {
		return nil, fmt.Errorf("%w: expected ?subject=NAME", errBadRequest)
	}
	return subject, nil
}

func (c *Control) applyEndpoint(ctx context.Context, request any) (any, error) {
	req := request.(ApplyRequest)
	version, warnings, err := c.Apply(ctx, req.Base, []byte(req.Data), req.Operator)
	if err != nil {
		return nil, err
	}
	resp := ApplyResponse{Version: version}
	for _, w := range warnings {
		resp.Warnings = append(resp.Warnings, w.Error())
	}
	return resp, nil
}

func (c *Control) configEndpoint(context.Context, any) (any, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConfigResponse{Version: c.inForce.Version, Digest: c.inForce.Digest, Data: string(c.inForce.Data)}, nil
}

func (c *Control) historyEndpoint(ctx context.Context, _ any) (any, error) {
	list, err := c.History(ctx)
	if err != nil {
		return nil, err
	}
	lines := make([]HistoryLine, len(list))
	for i, v := range list {
		lines[i] = HistoryLine{Version: v.Version, Digest: v.Digest, Operator: v.Operator, At: v.At}
	}
	return lines, nil
}

func (c *Control) explainEndpoint(ctx context.Context, request any) (any, error) {
	return c.Explain(ctx, request.(string)), nil
}

// StatusResponse is the state of the system as one control process sees it.
type StatusResponse struct {
	Node              string         `json:"node"`
	Version           uint64         `json:"version"`
	StoreUnavailable  bool           `json:"store_away"`
	Members           []MemberLine   `json:"members"`
	DrainingEndpoints []EndpointLine `json:"leaving_endpoints,omitempty"`
	// Placement is the holder of the placement lease when it was last read.
	Placement string `json:"placement_holder,omitempty"`
	// Evacuated lists the failure domains whose endpoints are sent no calls or orders.
	Evacuated []string `json:"evacuated,omitempty"`
	Impaired  []string `json:"impaired,omitempty"`
}

// MemberLine describes one member.
type MemberLine struct {
	Node        string   `json:"node"`
	State       string   `json:"state"`
	Incarnation uint64   `json:"incarnation"`
	Domain      string   `json:"failure_domain"`
	Entries     []string `json:"entries"`
}

// EndpointLine names an endpoint.
type EndpointLine struct {
	Pool string `json:"pool"`
	Name string `json:"name"`
}

func (c *Control) statusEndpoint(context.Context, any) (any, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := StatusResponse{Node: c.id.Node, Version: c.inForce.Version, StoreUnavailable: c.storeUnavailable}
	s.Placement = c.placement.holder()
	if c.cfg != nil {
		s.Evacuated = c.cfg.Evacuated()
	}
	for _, m := range c.member.Members() {
		s.Members = append(s.Members, memberLine(m))
		if m.State != wire.Alive && m.State != wire.Left {
			s.Impaired = append(s.Impaired, fmt.Sprintf("node %s is %s; its callers are told other addresses", m.Node, m.State))
		}
	}
	for _, e := range c.member.Endpoints() {
		if e.Leaving {
			s.DrainingEndpoints = append(s.DrainingEndpoints, EndpointLine{Pool: e.Pool, Name: e.Name})
		}
	}
	if c.storeUnavailable {
		s.Impaired = append(s.Impaired, "the platform's store does not answer; applies are refused, requests that may run at most once are refused as not run")
	}
	for _, l := range c.entries {
		for _, what := range l.status.Impaired {
			s.Impaired = append(s.Impaired, fmt.Sprintf("entry %s: %s", l.status.Entry.Node, what))
		}
	}
	return s, nil
}

func memberLine(m wire.Member) MemberLine {
	line := MemberLine{Node: m.Node, State: m.State.String(), Incarnation: m.Incarnation, Domain: m.Domain}
	for _, e := range m.Entries {
		text := e.Node
		if e.Leaving {
			text += " (leaving)"
		}
		line.Entries = append(line.Entries, text)
	}
	return line
}

func (c *Control) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	live := c.member.LiveCount()
	version := c.inForce.Version
	c.mu.Unlock()
	fmt.Fprintf(w, "gradetiller_members_live %d\n", live)
	fmt.Fprintf(w, "gradetiller_config_version %d\n", version)
	fmt.Fprintf(w, "gradetiller_peer_sent_bytes_total %d\n", c.peers.sentBytes.Load())
}
