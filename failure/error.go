package failure

import (
	"errors"
	"fmt"
	"time"
)

// Error is an error of one of the kinds.
type Error struct {
	kind       Kind
	message    string
	stage      string
	retryAfter time.Duration
	cause      error
}

// Option sets an optional part of an Error.
type Option func(*Error)

// WithRetryAfter sets the time that the client should wait before a retry.
func WithRetryAfter(d time.Duration) Option { return func(e *Error) { e.retryAfter = d } }

// WithStage sets the pipeline stage in which the error occurred.
func WithStage(stage string) Option { return func(e *Error) { e.stage = stage } }

// WithCause sets the error that caused this one.
func WithCause(err error) Option { return func(e *Error) { e.cause = err } }

// New returns an error of the given kind.
func New(kind Kind, message string, opts ...Option) *Error {
	e := &Error{kind: kind, message: message}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := e.kind.String() + ": " + e.message
	if e.stage != "" {
		text = fmt.Sprintf("%s (stage %s)", text, e.stage)
	}
	if e.cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.cause)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Message returns the text without kind, stage and cause.
func (e *Error) Message() string { return e.message }

// Stage returns the pipeline stage in which the error occurred, or "".
func (e *Error) Stage() string { return e.stage }

// RetryAfter returns the time to wait before a retry, or 0 if it is unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// KindOf returns the kind of the first Error in err's chain, and Internal for
// any other error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}
