package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"gradetiller.example/failure"
	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/httpstrict"
	"gradetiller.example/internal/socket"
)

const (
	dialTimeout    = 500 * time.Millisecond
	locateTimeout  = 2 * time.Second
	maxIdlePerHost = 64
	maxAnswerBytes = 8 << 20
	maxErrorBytes  = 64 << 10
	maxHeaderBytes = 64 << 10
	// maxStreamBytes bounds the output of a stream, which the answer holds as a whole.
	maxStreamBytes = 32 << 20
	minRetryDelay  = 5 * time.Millisecond
	defaultRetries = 8
)

// Client sends one account's requests. It is safe for concurrent use.
type Client struct {
	key       string
	seeds     []string
	region    string
	domain    string
	retries   int
	transport *http.Transport

	mu              sync.Mutex
	addresses       []string
	addressesExpire time.Time
	next            int
}

// Option sets an optional part of a Client.
type Option func(*Client)

// WithPlace sets the region and failure domain of the caller. Addresses there
// are preferred.
func WithPlace(region, domain string) Option {
	return func(c *Client) { c.region, c.domain = region, domain }
}

// WithRetries sets the maximum number of retries of a request; 0 disables
// retries.
func WithRetries(n int) Option { return func(c *Client) { c.retries = n } }

// New returns a client that authenticates with an account's key. It asks the
// given addresses for those to use.
func New(key string, addresses []string, opts ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("client: expected at least one address")
	}
	c := &Client{
		key: key, seeds: addresses, retries: defaultRetries,
		transport: &http.Transport{
			DialContext:            socket.DialReporting(&net.Dialer{Timeout: dialTimeout}),
			DisableCompression:     true,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Request describes a request to run a pipeline.
type Request struct {
	Pipeline string
	Input    string
	// ID identifies the request; if it is empty, a random one is used. A caller
	// that sends an at-most-once request again must use the same ID.
	ID string
	// Deadline is the time until the deadline; 0 means the pipeline's deadline.
	Deadline time.Duration
	// Once is true for a request that must run at most once.
	Once  bool
	Class string
}

// Answer is a complete answer.
type Answer struct {
	requestID string
	output    string
	onTime    bool
	tries     int
}

// RequestID returns the request's id.
func (a *Answer) RequestID() string { return a.requestID }

// Output returns the last stage's output.
func (a *Answer) Output() string { return a.output }

// OnTime reports whether the request finished within its deadline.
func (a *Answer) OnTime() bool { return a.onTime }

// Tries returns the number of times that the request was tried.
func (a *Answer) Tries() int { return a.tries }

type locateBody struct {
	Addresses []string `json:"addresses"`
	KeepMS    int64    `json:"keep_ms"`
}

// address returns the next address to use. It locates addresses first if the
// cached ones have expired, and falls back to the expired ones if that fails.
func (c *Client) address(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 || time.Now().After(c.addressesExpire) {
		if err := c.locate(ctx); err != nil && len(c.addresses) == 0 {
			return "", err
		}
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)], nil
}

// dropAddress removes an address that is unreachable or draining.
func (c *Client) dropAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]string, 0, len(c.addresses))
	for _, a := range c.addresses {
		if a != address {
			kept = append(kept, a)
		}
	}
	c.addresses = kept
}

// locate asks the known addresses and then the seeds, each once, until one
// returns the addresses to use.
func (c *Client) locate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	ask := append(append([]string(nil), c.addresses...), c.seeds...)
	start := len(c.addresses)
	offset := mathrand.IntN(len(c.seeds))
	var last error
	for i := range ask {
		address := ask[i]
		if i >= start {
			address = c.seeds[(i-start+offset)%len(c.seeds)]
		}
		body, err := c.fetchAddresses(ctx, address)
		if err != nil {
			last = err
			continue
		}
		c.addresses = body.Addresses
		c.addressesExpire = time.Now().Add(clamp.Milliseconds(body.KeepMS))
		c.next = mathrand.IntN(len(body.Addresses))
		return nil
	}
	return fmt.Errorf("locate: %w", last)
}

func (c *Client) fetchAddresses(ctx context.Context, address string) (*locateBody, error) {
	query := url.Values{}
	if c.region != "" {
		query.Set("region", c.region)
	}
	if c.domain != "" {
		query.Set("failure_domain", c.domain)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/locate?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := httpstrict.Transport(c.transport).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeError(data, resp.StatusCode)
	}
	var body locateBody
	if err := json.Unmarshal(data, &body); err != nil || len(body.Addresses) == 0 {
		return nil, fmt.Errorf("unreadable locate answer from %s", address)
	}
	return &body, nil
}

// Run sends a request and returns the complete answer.
func (c *Client) Run(ctx context.Context, req Request) (*Answer, error) {
	return c.run(ctx, req, nil)
}

// Stream sends a request and calls text with each part of the output as it
// arrives. The returned answer has the complete output. A request is not retried
// once its answer has begun to stream.
func (c *Client) Stream(ctx context.Context, req Request, text func(string)) (*Answer, error) {
	return c.run(ctx, req, text)
}

func (c *Client) run(ctx context.Context, req Request, text func(string)) (*Answer, error) {
	if req.ID == "" {
		req.ID = rand.Text()
	}
	var deadline time.Time
	if req.Deadline > 0 {
		deadline = time.Now().Add(req.Deadline)
	}
	var last error
	for try := range c.retries + 1 {
		if !deadline.IsZero() {
			req.Deadline = time.Until(deadline)
			if req.Deadline <= 0 {
				break
			}
		}
		answer, retryable, err := c.tryWithTimeout(ctx, req, text)
		if err == nil {
			answer.tries = try + 1
			return answer, nil
		}
		last = combineErrors(last, err)
		if !retryable || !waitToRetry(ctx, last, deadline) {
			return nil, last
		}
	}
	if last == nil {
		last = failure.New(failure.DeadlineNotRun, "the deadline had passed before the request was sent")
	}
	return nil, last
}

// combineErrors returns the error of a request whose last try failed with err.
// before is the combined error of the earlier tries, or nil. The result is "not
// run" only if no earlier try may have run.
func combineErrors(before, err error) error {
	if before == nil || !notRun(err) || notRun(before) {
		return err
	}
	opts := []failure.Option{failure.WithCause(err)}
	var f *failure.Error
	if errors.As(err, &f) {
		opts = append(opts, failure.WithRetryAfter(f.RetryAfter()))
	}
	return failure.New(failure.StageUnknown, "an earlier try may have run; the last did not", opts...)
}

func notRun(err error) bool { return failure.KindOf(err).Answer().Ran() == failure.RanNo }

// answerGrace is the time after the deadline for which the client waits for an
// answer. The system answers by the deadline, so a node that has not answered
// by then has failed or is paused.
const answerGrace = 250 * time.Millisecond

func (c *Client) tryWithTimeout(ctx context.Context, req Request, text func(string)) (*Answer, bool, error) {
	if req.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Deadline+answerGrace)
		defer cancel()
	}
	return c.try(ctx, req, text)
}

// waitToRetry waits for the error's retry delay, at least minRetryDelay. It
// reports false if the deadline or the end of ctx comes first.
func waitToRetry(ctx context.Context, err error, deadline time.Time) bool {
	wait := minRetryDelay
	var f *failure.Error
	if errors.As(err, &f) {
		wait = max(wait, f.RetryAfter())
	}
	if !deadline.IsZero() && time.Until(deadline) <= wait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
