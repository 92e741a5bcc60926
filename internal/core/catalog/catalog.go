package catalog

import (
	"strings"
	"time"

	"gradetiller.example/internal/core/intake"
)

// Kind tells what may be done with a request twice.
type Kind int

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a series of events. Unless the route
	// is resumable they run at most once.
	Streaming
)

// Stage is work that must be done before a request can run.
type Stage struct {
	Service string
	// After lists the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Backend is a service that gets a part of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is the longest time that a request is held.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Gap is the longest pause between events of a stream that is on time.
	Gap         time.Duration
	MaxAttempts int
	// Priority is 0 for the most urgent.
	Priority  int
	Public    bool
	Resumable bool
	Sticky    bool
	Stages    []Stage
}

// Repeatable reports whether a request of the route may run twice.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Batching describes the workers of a stage service.
type Batching struct {
	Slots    int
	Batch    int
	CallTime time.Duration
	ItemTime time.Duration
	// Room is the bytes of results that one worker holds.
	Room int64
	// ResultLife is how long a result lives after its call.
	ResultLife time.Duration
}

// PromptCache describes the memory of prompts of a model engine.
type PromptCache struct {
	// Tokens is how many tokens an engine holds.
	Tokens int
	// Copies tells that an engine can copy what another one holds instead of
	// reading it.
	Copies bool
}

// Service is a set of endpoints.
type Service struct {
	Name     string
	MaxConns int
	// Model is true for a service of language model engines.
	Model bool
	// Slots is how many requests a model engine runs at once.
	Slots int
	// PromptCache is the memory of each model engine.
	PromptCache PromptCache
	// ColdTime is how long an endpoint stays cold after a start, and ColdPerSecond how many
	// requests it handles in a second while it is, or 0 where that is not bounded.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Batching is nil for a service that is no stage.
	Batching *Batching
}

// Account is a client account.
type Account struct {
	Name string
	// Priority takes precedence over the route's when HasPriority is true.
	Priority    int
	HasPriority bool
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is never changed after it
// was built.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   Limits
	// Keys finds a client account's index by its key.
	Keys    map[string]int
	byHost  map[string][]int
	placing map[string]intake.Placement
}

// Index prepares the look-ups; it is called once, before the first use.
func (c *Config) Index() {
	c.byHost = make(map[string][]int)
	c.placing = make(map[string]intake.Placement)
	for i := range c.Routes {
		host := c.Routes[i].Host
		c.byHost[host] = append(c.byHost[host], i)
		c.indexPlacing(&c.Routes[i])
	}
}

// indexPlacing notes who chooses the endpoints of a route's services: the leader that runs
// its stages, or each node for itself.
func (c *Config) indexPlacing(r *Route) {
	way := intake.ByNodes
	if len(r.Stages) > 0 {
		way = intake.ByLeaders
	}
	for _, b := range r.Backends {
		if before, ok := c.placing[b.Service]; ok && before != way {
			c.placing[b.Service] = intake.ByBoth
			continue
		}
		c.placing[b.Service] = way
	}
}

// Placing returns who chooses the endpoints of a service.
func (c *Config) Placing(service string) intake.Placement {
	if s, ok := c.Services[service]; ok && s.Batching != nil {
		return intake.ByLeaders
	}
	return c.placing[service]
}

// Match finds the route of a host and path: the one with the longest prefix,
// or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, i := range c.byHost[host] {
		r := &c.Routes[i]
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Account finds the client account that holds a key, or nil.
func (c *Config) Account(key string) *Account {
	i, ok := c.Keys[key]
	if !ok || key == "" {
		return nil
	}
	return &c.Accounts[i]
}

// Choose picks a backend by its weight; draw is any well-spread number.
func (r *Route) Choose(draw uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Service
	}
	left := int(draw % uint64(total))
	for _, b := range r.Backends {
		left -= max(b.Weight, 0)
		if left < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Endpoint is a worker as the platform lists it.
type Endpoint struct {
	// ID names one life of the worker: one that starts again under the name by which
	// it knows itself is another endpoint. What is held of an endpoint goes by it.
	ID       string
	Service  string
	Address  string
	Domain   string
	Slots    int
	Draining bool
	// Listed is the store's count of changes at which the entry took its present form,
	// or 0 when that is not known. An entry that went and came back has a higher one.
	Listed Revision
	// Cold is how much longer the endpoint was to stay cold when it wrote its entry, which
	// it does with each heartbeat while it is.
	Cold time.Duration
}
