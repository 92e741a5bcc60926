package endpoints

import (
	"context"

	"gradetiller.example/internal/core/run"
)

// Caller sends stage calls to endpoints. HTTP implements it.
type Caller interface {
	// Call sends a call and returns its result. The tokens of a stream are
	// passed to the sink as they arrive.
	Call(ctx context.Context, call run.Call, sink Sink) run.CallResult
}

// Sink receives the tokens of a streamed call.
type Sink interface {
	// Token passes in the token with the given index. It reports false if the
	// token is rejected, because another call superseded this one or the index
	// is out of order.
	Token(index int, text string) bool
	// Count returns the number of tokens that the run has received, including
	// those of earlier calls. It is 0 until a token of this call is accepted.
	Count() int
	// Output returns the concatenated tokens of the run.
	Output() []byte
}
