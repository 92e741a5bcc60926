package place

import (
	"time"

	"gradetiller.example/internal/core/intake"
)

// Spec is the configured part of an endpoint.
type Spec struct {
	Name    string
	Address string
	Domain  string
	// Slots is how many calls this node may have outstanding there.
	Slots int
	// Cost is the price of one second of processing.
	Cost float64
	// CacheTokens is how many tokens of prompts it holds; 0 means that it
	// keeps none. Copies tells that it can copy parts from another one.
	CacheTokens int
	CanCopy     bool
	// Pace tells when calls may go there, as far as the endpoint bounds what it takes from
	// all nodes together.
	Pace intake.Pace
	// Versions lists the models or versions it holds; empty means any.
	Versions []string
}

// Load is an endpoint's own report, carried on its answers.
type Load struct {
	// Calls is the number of calls it runs or holds in its queue.
	Calls float64
	// ReceivedAt is when this node received the report.
	ReceivedAt time.Time
}

// Endpoint is the state of one endpoint on this node.
type Endpoint struct {
	spec        Spec
	outstanding int
	// pendingTokens is the number of tokens that calls in flight have to read.
	pendingTokens int
	// cache is what it is believed to hold of prompts.
	cache     *promptCache
	load      Load
	latency   time.Duration
	latencyAt time.Time // when took last changed
	health    health
	// backoffUntil is until when this node sends it nothing, since it asked for that.
	backoffUntil time.Time
	// sends are the calls that this node's own choices have sent there of late.
	sends intake.Sends
	// removed endpoints are no longer in the configuration.
	removed bool
}

// Spec returns the configured part.
func (e *Endpoint) Spec() Spec { return e.spec }

// Outstanding returns the number of this node's calls in flight there.
func (e *Endpoint) Outstanding() int { return e.outstanding }

// MeanLatency returns the moving average of its call times.
func (e *Endpoint) MeanLatency() time.Duration { return e.latency }

// Health returns the state of its health in one word.
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
