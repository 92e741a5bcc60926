package run

import (
	"time"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/place"
)

// Request is an authenticated client request.
type Request struct {
	// Account is the client account's name.
	Account  string
	Pipeline string
	// RequestID is chosen by the client and identifies the request across nodes.
	RequestID string
	// Timeout is the time until the deadline; 0 means the pipeline's deadline.
	Timeout time.Duration
	// Repeatable is false for a request that may run at most once.
	Repeatable bool
	Class      string
	Input      []byte
	// Prefix is the hash of the prompt's prefix; 0 means no prefix.
	Prefix uint64
}

// CallResult describes how a call ended.
type CallResult struct {
	Event  attempt.Event
	Output []byte
	// Tokens is the total number of tokens that the run has received, for a
	// stream that broke.
	Tokens int
	Load   place.Load
	// Draining reports that the endpoint announced that it accepts no new calls.
	Draining bool
	Reason   string
}

// RecordResult is the result of a Record action.
type RecordResult int

// The results.
const (
	// RecordStored means that this run owns the record.
	RecordStored RecordResult = iota
	// RecordDuplicate means that another run owns the record.
	RecordDuplicate
	// RecordUnavailable means that the store did not answer in time.
	RecordUnavailable
)
