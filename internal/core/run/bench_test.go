package run

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/core/attempt"
)

// BenchmarkRun measures the CPU time of the engine for one single-stage
// request, without I/O, while other runs are in flight.
func BenchmarkRun(b *testing.B) {
	for _, inFlight := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(inFlight), func(b *testing.B) {
			e := New(1)
			now := time.Unix(1000, 0)
			if err := e.Configure(now, parseConfig(b, ""), 1); err != nil {
				b.Fatal(err)
			}
			for i := range inFlight - 1 {
				e.Submit(now, Request{Account: "a", Pipeline: "whole", RequestID: fmt.Sprint("other", i), Repeatable: true})
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				serve(b, e, now)
			}
		})
	}
}

// serve submits one request and completes its calls.
func serve(b *testing.B, e *Engine, now time.Time) {
	_, actions := e.Submit(now, Request{Account: "b", Pipeline: "single", RequestID: "r", Repeatable: true, Input: []byte("in")})
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if c, ok := a.(Call); ok {
			actions = append(actions, e.CallEnded(now, c.Attempt, CallResult{Event: attempt.Complete, Output: []byte("out")})...)
		}
	}
}
