package entry

import (
	"net/http"
	"slices"
	"sync"

	"go.uber.org/zap"
)

// openRequests holds the HTTP requests to run a pipeline whose handlers have
// not returned. A request is open from its header to the last byte of its
// answer, which is longer than its run.
type openRequests struct {
	mu  sync.Mutex
	ids map[*http.Request]string // request id
}

func newOpenRequests() *openRequests { return &openRequests{ids: make(map[*http.Request]string)} }

func (o *openRequests) add(r *http.Request) {
	id := r.Header.Get(headerRequestID)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ids[r] = id[:min(len(id), maxIDLength)]
}

func (o *openRequests) remove(r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, r)
}

// sorted returns the ids of the open requests in order.
func (o *openRequests) sorted() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]string, 0, len(o.ids))
	for _, id := range o.ids {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// trackOpen wraps a handler so that its requests are in n.open while it serves
// them.
func (n *Node) trackOpen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.open.add(r)
		defer n.open.remove(r)
		next.ServeHTTP(w, r)
	})
}

// LogAborted logs each open request. Its connection is closed when the process
// exits, because its client has not sent the complete request or does not read
// the answer.
func (n *Node) LogAborted() {
	for _, id := range n.open.sorted() {
		n.log.Warn("cut off by the stop", zap.String("request", id))
	}
}
