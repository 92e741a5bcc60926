package signal

import (
	"math"
	"time"

	"gradetiller.example/internal/core/intake"
)

// Signals holds the signals in one answer of an endpoint. The zero value is no signals.
type Signals struct {
	// Limit is the advertised rate limit.
	Limit RateLimit
	// Draining is true if the endpoint accepts no new requests until it terminates.
	Draining bool
	// Backoff is how long this node must not send requests, or 0.
	Backoff time.Duration
	// Cold is the remaining time for which the endpoint is cold, or 0.
	Cold time.Duration
	// Load is the number of requests that the endpoint is running or has queued.
	Load Load
	// Brittle tells whether the endpoint fails if it must reject too many requests.
	Brittle Brittle
	// Invalid lists the signals that could not be parsed, and Unknown the names of those that this
	// version does not support.
	Invalid []*InvalidError
	Unknown []string
}

// RateLimit is the rate limit in an answer.
type RateLimit struct {
	// Rate is the limit; an unbounded rate means that there is none.
	Rate intake.Rate
	// Known is false if the answer doesn't say whether there is a limit.
	Known bool
}

// Brittle tells how many requests an endpoint can reject without failing.
type Brittle struct {
	// MaxRejected is the number of requests that it can reject in a second, if Known is true.
	MaxRejected float64
	Known       bool
}

// Load is the load reported in an answer.
type Load struct {
	Busy float64
	// Slowdown is how many times as long as usual work takes at the endpoint at the moment, or 0 if
	// the answer doesn't say.
	Slowdown float64
	// Known is false if the answer doesn't report a load.
	Known bool
}

// A stated slowdown is bounded to this range, so that an endpoint that states wrong figures neither
// attracts nor loses all work.
const (
	minSlowdown = 0.25
	maxSlowdown = 20.0
)

// percent is the slowdown, in percent, of an endpoint that is as fast as usual.
const percent = 100.0

// SlowdownOfPercent returns the slowdown that an endpoint states in percent.
func SlowdownOfPercent(stated float64) float64 {
	return min(max(stated/percent, minSlowdown), maxSlowdown)
}

// SlowdownPercent returns the slowdown in percent, or 0 if it is not stated.
func (l Load) SlowdownPercent() int { return int(math.Round(l.Slowdown * percent)) }
