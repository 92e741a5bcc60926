package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	rpc "github.com/go-kit/kit/endpoint"
	transport "github.com/go-kit/kit/transport/http"

	"gradetiller.example/failure"
	"gradetiller.example/internal/core/run"
)

// Handler returns the HTTP API: locate, run, cancel, metrics and health.
//
// go-kit's package endpoint is imported as rpc, because in this project an
// endpoint is a back end.
func (n *Node) Handler() http.Handler {
	options := []transport.ServerOption{transport.ServerErrorEncoder(encodeError)}
	server := func(e rpc.Endpoint, dec transport.DecodeRequestFunc, enc transport.EncodeResponseFunc) http.Handler {
		return transport.NewServer(n.authenticate(e), dec, enc, options...)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/locate", server(n.locateEndpoint, decodeLocate, encodeJSON))
	mux.Handle("POST /v1/pipelines/{pipeline}/run", n.trackOpen(server(n.runEndpoint, decodeRun, n.encodeRun)))
	mux.Handle("DELETE /v1/requests/{request}", server(n.cancelEndpoint, decodeCancel, encodeJSON))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.write(w) })
	mux.HandleFunc("GET /healthz", n.health)
	return mux
}

func (n *Node) health(w http.ResponseWriter, _ *http.Request) {
	if n.Config() == nil || n.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// keyedRequest is a request that carries an account's key. The authentication
// middleware sets the account.
type keyedRequest interface {
	key() string
	setAccount(name string)
}

type credentials struct {
	token   string
	account string
}

func (c *credentials) key() string            { return c.token }
func (c *credentials) setAccount(name string) { c.account = name }

func bearer(r *http.Request) credentials {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return credentials{token: token}
}

func (n *Node) authenticate(next rpc.Endpoint) rpc.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		cfg := n.Config()
		if cfg == nil {
			return nil, failure.New(failure.NotReady, "this node has no configuration yet", failure.WithRetryAfter(time.Second))
		}
		k := request.(keyedRequest)
		i, ok := cfg.AccountByKey(k.key())
		if !ok {
			return nil, failure.New(failure.Unauthorized, "the account's key is missing or unknown; send it as Authorization: Bearer KEY")
		}
		k.setAccount(cfg.Accounts()[i].Name())
		return next(ctx, request)
	}
}

type locateRequest struct {
	credentials
	region, domain string
}

type locateResponse struct {
	Addresses []string `json:"addresses"`
	KeepMS    int64    `json:"keep_ms"`
}

func (n *Node) locateEndpoint(_ context.Context, request any) (any, error) {
	req := request.(*locateRequest)
	response := locateResponse{KeepMS: n.Config().LocateKeep().Milliseconds()}
	for _, e := range n.table.Load().Entries(req.account, req.region, req.domain) {
		response.Addresses = append(response.Addresses, e.Address)
	}
	if len(response.Addresses) == 0 {
		return nil, failure.New(failure.Draining, "no node takes requests", failure.WithRetryAfter(time.Second))
	}
	return response, nil
}

type runRequest struct {
	credentials
	request run.Request
	stream  bool
}

// runResponse refers to a run in flight; the encoder waits for its result.
type runResponse struct {
	stream    *stream
	requestID string
	streamed  bool
}

func (n *Node) runEndpoint(_ context.Context, request any) (any, error) {
	req := request.(*runRequest)
	req.request.Account = req.account
	return runResponse{stream: n.Submit(req.request), requestID: req.request.RequestID, streamed: req.stream}, nil
}

type cancelRequest struct {
	credentials
	requestID string
}

type cancelResponse struct {
	Canceled bool `json:"canceled"`
}

func (n *Node) cancelEndpoint(_ context.Context, request any) (any, error) {
	req := request.(*cancelRequest)
	return cancelResponse{Canceled: n.CancelRequest(req.account, req.requestID)}, nil
}
