package place

import (
	"time"

	"gradetiller.example/internal/core/intake"
)

// Spec is the configuration of an endpoint.
type Spec struct {
	Name    string
	Address string
	Domain  string
	// Slots is the maximum number of calls this node may have outstanding there.
	Slots int
	// Cost is the price of one second of processing.
	Cost float64
	// CacheTokens is the capacity of its prompt cache in tokens; 0 means that it
	// has none. CanCopy reports whether it can copy cached parts from another endpoint.
	CacheTokens int
	// MemoryTokens is the number of tokens of running prompts and their output that its memory
	// holds; 0 means unknown.
	MemoryTokens int
	CanCopy      bool
	// Pace schedules this node's calls if the endpoint limits the rate of all
	// nodes together.
	Pace intake.Pace
	// Versions lists the models or versions it serves; empty means any.
	Versions []string
	// SoftwareVersion is the version of the endpoint's software, or "" if it states none.
	SoftwareVersion string
}

// Load is the load that an endpoint reports with its answers.
type Load struct {
	// Calls is the number of calls that the endpoint runs or queues.
	Calls float64
	// ReceivedAt is when this node received the report.
	ReceivedAt time.Time
}

// Endpoint is the state of one endpoint on this node.
type Endpoint struct {
	spec        Spec
	outstanding int
	// pendingTokens is the number of tokens that calls in flight still have to prefill.
	pendingTokens int
	// cache is this node's estimate of the endpoint's prompt cache.
	cache    *promptCache
	load     Load
	slowdown slowdown
	// latency is the moving average of the call latencies, each divided by the slowdown that its
	// answer stated, so that predictions multiply it by the present slowdown.
	latency   time.Duration
	latencyAt time.Time // when latency was last updated
	health    health
	// backoffUntil is the end of a backoff that the endpoint requested; no calls
	// are sent before it.
	backoffUntil time.Time
	// sends records the recent calls that this node itself decided to send there.
	sends intake.Sends
	// reservations is the memory that prompts placed there take.
	reservations reservations
	// nameHash is the hash of the endpoint's name.
	nameHash uint64
	// removed is set once the endpoint is no longer in the configuration.
	removed bool
}

// Spec returns the endpoint's configuration.
func (e *Endpoint) Spec() Spec { return e.spec }

// Outstanding returns the number of calls that this node has in flight there.
func (e *Endpoint) Outstanding() int { return e.outstanding }

// MeanLatency returns the moving average of its call latencies at its usual speed.
func (e *Endpoint) MeanLatency() time.Duration { return e.latency }

// Health returns the name of its health state.
func (e *Endpoint) Health(now time.Time) string { return e.health.state(now).String() }

func (e *Endpoint) available(now time.Time, version string) bool {
	if e.removed || now.Before(e.backoffUntil) || e.outstanding >= e.health.limit(now, e.spec.Slots) {
		return false
	}
	if version == "" || len(e.spec.Versions) == 0 {
		return true
	}
	for _, v := range e.spec.Versions {
		if v == version {
			return true
		}
	}
	return false
}
