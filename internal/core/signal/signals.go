package signal

import (
	"time"

	"gradetiller.example/internal/core/intake"
)

// Signals is what one answer of an endpoint announces. The zero value announces nothing.
type Signals struct {
	// Limit is the rate limit that the endpoint advertises.
	Limit RateLimit
	// Draining tells that the endpoint takes no new requests until its end.
	Draining bool
	// Backoff is how long this node is to send nothing, or 0.
	Backoff time.Duration
	// Cold is how much longer the endpoint is cold, or 0.
	Cold time.Duration
	// Load is the number of requests that the endpoint runs or queues.
	Load Load
	// Invalid lists the signals that can't be parsed, Unknown the names of those that this
	// version doesn't know.
	Invalid []error
	Unknown []string
}

// RateLimit is the part of Signals that tells a rate limit.
type RateLimit struct {
	// Rate is the limit; an unbounded one tells that there is none.
	Rate intake.Rate
	// Known is false for answers that neither carry a limit nor rule one out.
	Known bool
}

// Load is the part of Signals that tells a load.
type Load struct {
	Busy float64
	// Known is false for answers that carry no load.
	Known bool
}
