package signal

import (
	"errors"
	"fmt"
	"time"
)

// The causes of a BlockedError.
var (
	// ErrDraining is the cause if the endpoint announced draining.
	ErrDraining = errors.New("it drains")
	// ErrBackoff is the cause if the endpoint is in backoff.
	ErrBackoff = errors.New("it is in backoff")
)

// BlockedError reports that a request must not be sent because of a signal from its endpoint.
type BlockedError struct {
	Endpoint string
	// Until is the end of the endpoint's backoff, or the zero time if the endpoint is draining.
	Until time.Time
	cause error
}

// Error implements the error interface.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("endpoint %s takes nothing: %v", e.Endpoint, e.cause)
}

// Unwrap returns the cause.
func (e *BlockedError) Unwrap() error { return e.cause }

// Check returns a *BlockedError if no request may be sent to an endpoint now.
func (r *Registry) Check(now time.Time, endpoint string) error {
	if r.draining.Has(endpoint) {
		return &BlockedError{Endpoint: endpoint, cause: ErrDraining}
	}
	if until := r.backoffs.Until(endpoint); now.Before(until) {
		return &BlockedError{Endpoint: endpoint, Until: until, cause: ErrBackoff}
	}
	return nil
}
