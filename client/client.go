package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"gradetiller.example/failure"
)

const (
	dialTimeout    = 500 * time.Millisecond
	locateTimeout  = 2 * time.Second
	idlePerHost    = 64
	maxAnswer      = 8 << 20
	leastPause     = 5 * time.Millisecond
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

	mu        sync.Mutex
	addresses []string
	until     time.Time
	next      int
}

// Option sets an optional part of a Client.
type Option func(*Client)

// WithPlace tells the caller's region and failure domain, whose addresses are
// preferred.
func WithPlace(region, domain string) Option {
	return func(c *Client) { c.region, c.domain = region, domain }
}

// WithRetries bounds how often a request is sent again; 0 sends it once.
func WithRetries(n int) Option { return func(c *Client) { c.retries = n } }

// New returns a client for an account's key that first asks the given
// addresses.
func New(key string, addresses []string, opts ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("client: expected at least one address")
	}
	c := &Client{
		key: key, seeds: addresses, retries: defaultRetries,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     30 * time.Second,
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Request is one request.
type Request struct {
	Pipeline string
	Input    string
	// ID names the request; empty means a new random one. Asking again for a
	// request that may run at most once needs the same ID.
	ID string
	// Deadline is the time left from now on; 0 means the pipeline's own.
	Deadline time.Duration
	// Once is true for a request that must run at most once.
	Once  bool
	Class string
}

// Answer is a whole answer.
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

// OnTime reports whether the system finished within the deadline.
func (a *Answer) OnTime() bool { return a.onTime }

// Tries returns how often the request was sent.
func (a *Answer) Tries() int { return a.tries }

type locateBody struct {
	Addresses []string `json:"addresses"`
	KeepMS    int64    `json:"keep_ms"`
}

// address returns the next address to use, and asks the system when the last
// answer has run out.
func (c *Client) address(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 || time.Now().After(c.until) {
		if err := c.locate(ctx); err != nil && len(c.addresses) == 0 {
			return "", err
		}
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)], nil
}

// gone drops an address that can't be reached.
func (c *Client) gone(address string) {
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

// locate asks known addresses first, then the seeds, each once.
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
		body, err := c.askLocate(ctx, address)
		if err != nil {
			last = err
			continue
		}
		c.addresses = body.Addresses
		c.until = time.Now().Add(time.Duration(body.KeepMS) * time.Millisecond)
		c.next = mathrand.IntN(len(body.Addresses))
		return nil
	}
	return fmt.Errorf("locate: %w", last)
}

func (c *Client) askLocate(ctx context.Context, address string) (*locateBody, error) {
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
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errorOf(data, resp.StatusCode)
	}
	var body locateBody
	if err := json.Unmarshal(data, &body); err != nil || len(body.Addresses) == 0 {
		return nil, fmt.Errorf("unreadable locate answer from %s", address)
	}
	return &body, nil
}

// Run sends a request and returns its whole answer.
func (c *Client) Run(ctx context.Context, req Request) (*Answer, error) {
	return c.run(ctx, req, nil)
}

// Stream sends a request and passes its text on as it comes. The answer holds
// the whole text. A request whose text has begun to come is not sent again.
func (c *Client) Stream(ctx context.Context, req Request, text func(string)) (*Answer, error) {
	return c.run(ctx, req, text)
}

func (c *Client) run(ctx context.Context, req Request, text func(string)) (*Answer, error) {
	if req.ID == "" {
		req.ID = rand.Text()
	}
	var until time.Time
	if req.Deadline > 0 {
		until = time.Now().Add(req.Deadline)
	}
	var last error
	for try := range c.retries + 1 {
		if !until.IsZero() {
			req.Deadline = time.Until(until)
			if req.Deadline <= 0 {
				break
			}
		}
		answer, again, err := c.tryWithin(ctx, req, text)
		if err == nil {
			answer.tries = try + 1
			return answer, nil
		}
		last = ofAllTries(last, err)
		if !again || !pause(ctx, last, until) {
			return nil, last
		}
	}
	if last == nil {
		last = failure.New(failure.DeadlineNotRun, "the deadline had passed before the request was sent")
	}
	return nil, last
}

// ofAllTries returns what is true of a request whose tries up to the last but
// one ended with before, which is nil for none, and the last with err: "not run"
// holds only if no earlier try may have run.
func ofAllTries(before, err error) error {
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

// answerGrace is how long after the deadline an answer is waited for: the
// system answers by the deadline, so a node that has not is gone or paused.
const answerGrace = 250 * time.Millisecond

func (c *Client) tryWithin(ctx context.Context, req Request, text func(string)) (*Answer, bool, error) {
	if req.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Deadline+answerGrace)
		defer cancel()
	}
	return c.try(ctx, req, text)
}

// pause waits as the error asks, and reports false when the deadline comes
// first.
func pause(ctx context.Context, err error, until time.Time) bool {
	wait := leastPause
	var f *failure.Error
	if errors.As(err, &f) {
		wait = max(wait, f.RetryAfter())
	}
	if !until.IsZero() && time.Until(until) <= wait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
