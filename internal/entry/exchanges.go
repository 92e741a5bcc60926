package entry

import (
	"net/http"
	"slices"
	"sync"

	"go.uber.org/zap"
)

// exchanges are the requests to run whose handlers are at work: from the
// header to the last byte of the answer, which is longer than their runs.
type exchanges struct {
	mu   sync.Mutex
	open map[*http.Request]string // request id
}

func newExchanges() *exchanges { return &exchanges{open: make(map[*http.Request]string)} }

func (e *exchanges) begin(r *http.Request) {
	id := r.Header.Get(headerRequest)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open[r] = id[:min(len(id), maxIDLength)]
}

func (e *exchanges) end(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, r)
}

// requests returns the ids of those that are open, in order.
func (e *exchanges) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := make([]string, 0, len(e.open))
	for _, id := range e.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// follow keeps the requests of a handler among the node's exchanges.
func (n *Node) follow(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.exchanges.begin(r)
		defer n.exchanges.end(r)
		next.ServeHTTP(w, r)
	})
}

// LogAborted names in the log each request whose connection the end of the process
// cuts, since its caller has not sent it whole or does not read its answer.
func (n *Node) LogAborted() {
	for _, id := range n.exchanges.requests() {
		n.log.Warn("cut off by the stop", zap.String("request", id))
	}
}
