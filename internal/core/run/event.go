package run

import (
	"time"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/place"
)

// Request is one caller's request, already authenticated.
type Request struct {
	// Account is the client account's name.
	Account  string
	Pipeline string
	// RequestID is the caller's id; it names the request across nodes.
	RequestID string
	// Timeout is the time until the deadline; 0 means the pipeline's own.
	Timeout time.Duration
	// Repeatable is false for a request that may run at most once.
	Repeatable bool
	Class      string
	Input      []byte
	// Prefix is the hash of the prompt's prefix; 0 means none.
	Prefix uint64
}

// CallResult is how the shell saw a call end.
type CallResult struct {
	Event  attempt.Event
	Output []byte
	// Tokens is the number of tokens that the run has in all, for a stream
	// that broke.
	Tokens int
	Load   place.Load
	// Draining reports that the endpoint told that it takes no new work.
	Draining bool
	Reason   string
}

// RecordResult is the answer to a Record action.
type RecordResult int

// The answers.
const (
	// RecordStored means that this run holds the record.
	RecordStored RecordResult = iota
	// RecordDuplicate means that another run holds it.
	RecordDuplicate
	// RecordUnavailable means that the store could not tell in time.
	RecordUnavailable
)
