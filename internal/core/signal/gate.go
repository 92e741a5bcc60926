package signal

import (
	"errors"
	"fmt"
	"time"
)

// The causes of a BlockedError.
var (
	// ErrDraining is that of an endpoint that announced draining.
	ErrDraining = errors.New("it drains")
	// ErrBackoff is that of an endpoint in backoff.
	ErrBackoff = errors.New("it is in backoff")
)

// BlockedError is the error of a request that is not sent, since the signals of its endpoint
// forbid it.
type BlockedError struct {
	Endpoint string
	// Until is the end of the endpoint's backoff, or the zero time if it drains.
	Until time.Time
	cause error
}

// Error implements error.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("endpoint %s takes nothing: %v", e.Endpoint, e.cause)
}

// Unwrap returns the cause.
func (e *BlockedError) Unwrap() error { return e.cause }

// Check returns a *BlockedError if nothing may be sent to an endpoint now.
func (r *Registry) Check(now time.Time, endpoint string) error {
	if r.draining.Has(endpoint) {
		return &BlockedError{Endpoint: endpoint, cause: ErrDraining}
	}
	if until := r.backoffs.Until(endpoint); now.Before(until) {
		return &BlockedError{Endpoint: endpoint, Until: until, cause: ErrBackoff}
	}
	return nil
}
