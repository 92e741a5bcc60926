package signal

import "gradetiller.example/internal/core/intake"

// Signals is what one answer of an endpoint announces. The zero value announces nothing.
type Signals struct {
	// Limit is the rate limit that the endpoint advertises.
	Limit RateLimit
	// Invalid lists the signals that can't be parsed.
	Invalid []error
}

// RateLimit is the part of Signals that tells a rate limit.
type RateLimit struct {
	// Rate is the limit; an unbounded one tells that there is none.
	Rate intake.Rate
	// Known is false for answers that neither carry a limit nor rule one out.
	Known bool
}
