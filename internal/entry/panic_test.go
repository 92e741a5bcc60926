package entry

import (
	"context"
	"testing"
	"time"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/run"
	"gradetiller.example/internal/endpoints"
)

// panicking is a Caller that fails as one does on bytes that it was not written for.
type panicking struct{}

func (panicking) Call(context.Context, run.Call, endpoints.Sink) run.CallResult { panic("a fault") }

// TestPanicCostsOneCall guards against a panic on an endpoint's answer that ends the process, with all other runs.
func TestPanicCostsOneCall(t *testing.T) {
	end := containedCall(t.Context(), panicking{}, run.Call{Deadline: time.Now().Add(time.Second)}, nil)
	if end.Event != attempt.NoResponse || end.Reason == "" {
		t.Errorf("the call ends with %+v", end)
	}
}
