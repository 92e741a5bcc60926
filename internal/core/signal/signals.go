package signal

import (
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
	// Invalid lists the signals that could not be parsed, and Unknown the names of those that this
	// version does not support.
	Invalid []error
	Unknown []string
}

// RateLimit is the rate limit in an answer.
type RateLimit struct {
	// Rate is the limit; an unbounded rate means that there is none.
	Rate intake.Rate
	// Known is false if the answer doesn't say whether there is a limit.
	Known bool
}

// Load is the load reported in an answer.
type Load struct {
	Busy float64
	// Known is false if the answer doesn't report a load.
	Known bool
}
