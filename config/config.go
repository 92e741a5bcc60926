package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"time"
)

// Defaults of optional fields.
const (
	DefaultLocateKeep      = 5 * time.Second
	DefaultLocateAddresses = 3
	DefaultOrder           = "fair_slack"
	DefaultPlace           = "predicted_finish"
	DefaultRetryShare      = 0.1
	DefaultQueue           = 256
	DefaultSlots           = 8
	DefaultConcurrency     = 256
)

// Config is a valid configuration. It is immutable and safe for concurrent use.
type Config struct {
	f                fileConfig
	data             []byte
	digest           string
	accounts         []Account
	pools            []Pool
	pipelines        []Pipeline
	accountByKeyHash map[string]int
}

// Name returns the system's name.
func (c *Config) Name() string { return c.f.Name }

// Data returns the file's content. The caller must not modify it.
func (c *Config) Data() []byte { return c.data }

// Digest returns the SHA-256 of the file's content in hexadecimal.
func (c *Config) Digest() string { return c.digest }

// LocateKeep returns how long a client may cache a locate response.
func (c *Config) LocateKeep() time.Duration { return c.f.Locate.Keep }

// LocateAddresses returns the number of addresses in a locate response.
func (c *Config) LocateAddresses() int { return c.f.Locate.Addresses }

// Policies returns the system-wide policies.
func (c *Config) Policies() Policies { return Policies{f: c.f.Policies} }

// Accounts returns all client accounts in the file's order.
func (c *Config) Accounts() []Account { return c.accounts }

// Pools returns all pools in the file's order.
func (c *Config) Pools() []Pool { return c.pools }

// Pipelines returns all pipelines in the file's order.
func (c *Config) Pipelines() []Pipeline { return c.pipelines }

// Pipeline returns the pipeline of that name.
func (c *Config) Pipeline(name string) (*Pipeline, bool) {
	for i := range c.pipelines {
		if c.pipelines[i].f.Name == name {
			return &c.pipelines[i], true
		}
	}
	return nil, false
}

// Evacuated returns the failure domains whose endpoints get no new calls or orders.
func (c *Config) Evacuated() []string { return c.f.Evacuated }

// InService reports whether calls and orders may be sent to an endpoint, that is, whether its
// failure domain is not evacuated.
func (c *Config) InService(e *Endpoint) bool { return !slices.Contains(c.f.Evacuated, e.Domain()) }

// AccountByKey returns the index in Accounts of the account whose key hash
// matches the key.
func (c *Config) AccountByKey(key string) (int, bool) {
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	i, ok := c.accountByKeyHash[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(c.accounts[i].f.KeySHA256)) != 1 {
		return 0, false
	}
	return i, true
}

// Policies are the system-wide policies.
type Policies struct{ f filePolicies }

// Order returns the name of the default order policy.
func (p Policies) Order() string { return p.f.Order }

// Place returns the name of the default place policy.
func (p Policies) Place() string { return p.f.Place }

// PlainRetry reports whether retries have neither hedging nor a retry budget.
// This mode is the baseline for comparisons.
func (p Policies) PlainRetry() bool { return p.f.Retry == RetryPlain }

// EarlyRefusal reports whether admission control refuses requests that cannot
// meet their deadline.
func (p Policies) EarlyRefusal() bool { return p.f.Admission != AdmissionNone }

// RetryShare returns the retry budget as a fraction of first attempts.
func (p Policies) RetryShare() float64 { return *p.f.Share }

// CostPrice returns how many seconds of delay one unit of cost is worth in
// pipelines whose objective is cost.
func (p Policies) CostPrice() float64 { return p.f.CostPrice }

// Account is one client account.
type Account struct{ f fileAccount }

// Name returns the account's name.
func (a *Account) Name() string { return a.f.Name }

// Share returns the account's weight in fair queueing.
func (a *Account) Share() int { return a.f.Share }

// Rate returns the account's rate limit in requests per second over the whole
// system; 0 means no limit.
func (a *Account) Rate() float64 { return a.f.Rate }

// Burst returns the burst size of the rate limit, in requests over the whole
// system.
func (a *Account) Burst() float64 { return a.f.Burst }

// Concurrency returns the maximum number of the account's requests in flight on
// one node.
func (a *Account) Concurrency() int { return a.f.Concurrency }

// Values of a pool's kind.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Pool is a pool of endpoints.
type Pool struct {
	f         filePool
	endpoints []Endpoint
	order     string
	place     string
}

// Name returns the pool's name.
func (p *Pool) Name() string { return p.f.Name }

// Kind returns KindEngine or KindService.
func (p *Pool) Kind() string { return p.f.Kind }

// Queue returns the maximum number of stage calls queued on one node.
func (p *Pool) Queue() int { return p.f.Queue }

// Order returns the name of the pool's order policy, or of the default.
func (p *Pool) Order() string { return p.order }

// Place returns the name of the pool's place policy, or of the default.
func (p *Pool) Place() string { return p.place }

// Endpoints returns the pool's endpoints in the file's order.
func (p *Pool) Endpoints() []Endpoint { return p.endpoints }

// Endpoint is an endpoint of a pool.
type Endpoint struct{ f fileEndpoint }

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.f.Name }

// Address returns the endpoint's IP address and port.
func (e *Endpoint) Address() string { return e.f.Address }

// Domain returns the endpoint's failure domain.
func (e *Endpoint) Domain() string { return e.f.Domain }

// Slots returns the number of calls that the endpoint runs concurrently.
func (e *Endpoint) Slots() int { return e.f.Slots }

// Cost returns the cost of one second of processing.
func (e *Endpoint) Cost() float64 { return e.f.Cost }

// ChecksOrders reports whether the endpoint checks the epoch of an order and
// refuses orders of an earlier lease holder.
func (e *Endpoint) ChecksOrders() bool { return e.f.ChecksOrders }

// Versions returns the model versions that the endpoint serves; empty means any.
func (e *Endpoint) Versions() []string { return e.f.Versions }

// Values of a pipeline's objective.
const (
	ObjectiveAttainment = "attainment"
	ObjectiveCost       = "cost"
)

// Pipeline is a sequence of stages.
type Pipeline struct {
	f          filePipeline
	stages     []Stage
	experiment *Experiment
}

// Name returns the pipeline's name.
func (p *Pipeline) Name() string { return p.f.Name }

// Deadline returns the time limit of a request; a request may set a shorter one.
func (p *Pipeline) Deadline() time.Duration { return p.f.Deadline }

// Objective returns ObjectiveAttainment or ObjectiveCost.
func (p *Pipeline) Objective() string { return p.f.Objective }

// Stages returns the stages in the order in which they run.
func (p *Pipeline) Stages() []Stage { return p.stages }

// Experiment returns the experiment on this pipeline, or nil if there is none.
func (p *Pipeline) Experiment() *Experiment { return p.experiment }

// Stage is a stage of a pipeline.
type Stage struct {
	f    fileStage
	kind string
}

// Name returns the stage's name.
func (s *Stage) Name() string { return s.f.Name }

// PoolName returns the name of the stage's pool.
func (s *Stage) PoolName() string { return s.f.Pool }

// Streams reports whether the stage's endpoints stream their output by token.
func (s *Stage) Streams() bool { return s.kind == KindEngine && s.f.MaxTokens > 0 }

// MaxTokens returns the maximum number of generated tokens; 0 means that the
// stage generates none.
func (s *Stage) MaxTokens() int { return s.f.MaxTokens }

// Repeatable reports whether a call of this stage may be retried or hedged.
func (s *Stage) Repeatable() bool { return s.f.Repeatable == nil || *s.f.Repeatable }

// Optional reports whether the stage may be skipped after its soft deadline.
func (s *Stage) Optional() bool { return s.f.Optional }

// Version returns the model version for a request hash, chosen in proportion to
// the versions' weights. It returns "" if the stage has no versions with a weight.
func (s *Stage) Version(hash uint64) string {
	total := 0
	for _, v := range s.f.Versions {
		total += v.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(hash % uint64(total))
	for _, v := range s.f.Versions {
		if point < v.Weight {
			return v.Name
		}
		point -= v.Weight
	}
	return ""
}
