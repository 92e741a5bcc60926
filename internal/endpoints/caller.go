package endpoints

import (
	"context"

	"gradetiller.example/internal/core/run"
)

// Caller sends stage calls; HTTP is the one adapter so far.
type Caller interface {
	// Call sends a call and returns how it ended. Tokens of a stream go to
	// the sink as they come.
	Call(ctx context.Context, call run.Call, sink Sink) run.CallResult
}

// Sink receives the tokens of a stream.
type Sink interface {
	// Token takes token number index and reports false when the call's tokens
	// are not wanted any more.
	Token(index int, text string) bool
	// Count returns the number of tokens that the run has received.
	Count() int
	// Output returns all tokens of the run as one text.
	Output() []byte
}
