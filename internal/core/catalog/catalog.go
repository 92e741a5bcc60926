package catalog

import (
	"slices"
	"strings"
	"time"

	"gradetiller.example/internal/core/cowmap"
	"gradetiller.example/internal/core/intake"
)

// Kind classifies a route by whether its requests may run more than once.
type Kind int

// The kinds.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	Streaming
)

// Stage is work that must be completed before a request can run.
type Stage struct {
	Service string
	// After lists the indices of the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout bounds the time to answer a request.
	Timeout time.Duration
	// Objective is the latency objective; later answers are worth less.
	Objective time.Duration
	// MaxEventGap is the latency objective for the time between two events of a
	// stream.
	MaxEventGap time.Duration
	MaxAttempts int
	// Priority is 0 for the highest priority.
	Priority  int
	Public    bool
	Resumable bool
	Sticky    bool
	Stages    []Stage
	// homeRegions restricts where requests of the route are served.
	homeRegions Regions
}

// Repeatable reports whether a request of the route may run twice.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// LeadsTo reports whether a service is one of the route's backends.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
}

// Batching describes the workers of a stage service.
type Batching struct {
	Slots    int
	Batch    int
	CallTime time.Duration
	ItemTime time.Duration
	// ResultCapacity is the number of bytes of results that one worker can hold.
	ResultCapacity int64
	// ResultTTL is how long a worker keeps a result after the call.
	ResultTTL time.Duration
}

// PromptCache describes the prompt cache of a model engine.
type PromptCache struct {
	// Tokens is the capacity of one engine's cache in tokens.
	Tokens int
	// SupportsCopy is true if an engine can copy cached tokens from another
	// engine instead of prefilling them.
	SupportsCopy bool
}

// Service is a set of endpoints.
type Service struct {
	Name     string
	MaxConns int
	// Model is true for a service of language model engines.
	Model bool
	// Slots is the number of requests that a model engine runs concurrently.
	Slots int
	// PromptCache is the cache of each model engine.
	PromptCache PromptCache
	// ColdTime is how long an endpoint is cold after its start. ColdRate is the number of
	// requests per second that a cold endpoint can handle, or 0 if it is not limited.
	ColdTime time.Duration
	ColdRate float64
	// Batching is nil unless the service is a stage.
	Batching *Batching
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
	// HomeRegions restricts where requests of the account are served.
	HomeRegions Regions
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is immutable once BuildIndex was
// called.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   Limits
	// Keys maps an API key to the index of its client account.
	Keys    map[string]int
	byHost  map[string][]int
	placing map[string]intake.Placement
	// accountRegions are the regions that any account is restricted to.
	accountRegions Regions
}

// BuildIndex builds the lookup tables; it must be called once before first use.
func (c *Config) BuildIndex() {
	c.byHost = make(map[string][]int)
	c.placing = make(map[string]intake.Placement)
	for i := range c.Routes {
		host := c.Routes[i].Host
		c.byHost[host] = append(c.byHost[host], i)
		c.indexPlacing(&c.Routes[i])
	}
	c.indexRegions()
}

// indexPlacing records whether the endpoints of a route's services are chosen by the leader
// of its stages or by each node.
func (c *Config) indexPlacing(r *Route) {
	placement := intake.ByNodes
	if len(r.Stages) > 0 {
		placement = intake.ByLeaders
	}
	for _, b := range r.Backends {
		if before, ok := c.placing[b.Service]; ok && before != placement {
			c.placing[b.Service] = intake.ByBoth
			continue
		}
		c.placing[b.Service] = placement
	}
}

// Placing returns who chooses the endpoints of a service.
func (c *Config) Placing(service string) intake.Placement {
	if s, ok := c.Services[service]; ok && s.Batching != nil {
		return intake.ByLeaders
	}
	return c.placing[service]
}

// Match returns the route with the longest prefix that matches a host and path, or
// nil.
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

// Account returns the client account of an API key, or nil.
func (c *Config) Account(key string) *Account {
	i, ok := c.Keys[key]
	if !ok || key == "" {
		return nil
	}
	return &c.Accounts[i]
}

// PickBackend chooses a backend service by weight; draw is a uniformly distributed number
// such as a hash.
func (r *Route) PickBackend(draw uint64) string {
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

// Endpoints is an immutable set of endpoints, by ID. The endpoints must not be changed.
type Endpoints = cowmap.Map[*Endpoint]

// EndpointsOf returns the set of the listed endpoints.
func EndpointsOf(list []Endpoint) Endpoints {
	pointers := make([]*Endpoint, len(list))
	for i := range list {
		pointers[i] = &list[i]
	}
	return Endpoints{}.With(pointers, nil)
}

// Key implements cowmap.Value.
func (e *Endpoint) Key() string { return e.ID }

// Endpoint is a worker as listed by the platform.
type Endpoint struct {
	// ID identifies one incarnation of the worker: after a restart under the same name
	// it is a different endpoint. All state about an endpoint is keyed by ID.
	ID       string
	Service  string
	Address  string
	Domain   string
	Slots    int
	Draining bool
	// ModRevision is the store revision of the entry's last change, or 0 if unknown. An entry
	// that was removed and added again has a higher one.
	ModRevision Revision
	// ColdRemaining is the remaining cold time at the time when the endpoint wrote its entry. A
	// cold endpoint rewrites its entry with each heartbeat.
	ColdRemaining time.Duration
	// Version is the version of the endpoint's software, or "" if it states none.
	Version string
}
