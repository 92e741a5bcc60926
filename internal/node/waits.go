package node

import (
	"context"
	"sync"
)

// waits holds the requests that wait for the results of stages or for an endpoint, so that those that are
// refused meanwhile need not wait to the end.
type waits struct {
	mu       sync.Mutex
	requests map[*request]context.CancelFunc
}

// begin returns a context that ends when the request is refused, and a function to call after the wait.
func (w *waits) begin(ctx context.Context, q *request) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests == nil {
		w.requests = make(map[*request]context.CancelFunc)
	}
	w.requests[q] = cancel
	return ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.requests, q)
		cancel()
	}
}

// end ends the waits of the selected requests.
func (w *waits) end(selected func(*request) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for q, cancel := range w.requests {
		if selected(q) {
			cancel()
		}
	}
}
