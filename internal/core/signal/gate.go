package signal

import (
	"errors"
	"fmt"
	"time"
)

// ErrDraining is the cause of a BlockedError at an endpoint that announced draining.
var ErrDraining = errors.New("it drains")

// BlockedError is the error of a request that is not sent, since the signals of its endpoint
// forbid it.
type BlockedError struct {
	Endpoint string
	cause    error
}

// Error implements error.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("endpoint %s takes nothing: %v", e.Endpoint, e.cause)
}

// Unwrap returns the cause.
func (e *BlockedError) Unwrap() error { return e.cause }

// Check returns a *BlockedError if nothing may be sent to an endpoint now.
func (r *Registry) Check(_ time.Time, endpoint string) error {
	if r.draining.Has(endpoint) {
		return &BlockedError{Endpoint: endpoint, cause: ErrDraining}
	}
	return nil
}
