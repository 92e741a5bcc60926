package node

import (
	"io"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/membudget"
	"gradetiller.example/platform"
)

// minLoggedResponse is the number of held bytes from which a response is logged.
const minLoggedResponse = 1 << 20

// watchedResponse reads the body of a response and counts the bytes, so that responses that arrive slowly are
// counted too.
type watchedResponse struct {
	io.Reader
	held  *membudget.Reservation
	count func(int64)
	// total is the number of bytes read, and logAt the one at which log is called next.
	total, logAt int64
	log          func(r *watchedResponse)
}

// watchResponse returns a reader of a response's body that passes the number of bytes read to count, a method of
// held, and logs responses that become large.
func (n *Node) watchResponse(a *platform.Response, q *request, c *placedCall, held *membudget.Reservation, count func(int64)) *watchedResponse {
	return &watchedResponse{Reader: a.Body, held: held, count: count, logAt: minLoggedResponse, log: func(r *watchedResponse) {
		n.log.Info(eventLargeResponse, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Int("status", a.Status), zap.Bool("framed", a.Framed), zap.Int64("bytes", r.total), zap.Int64("held", r.held.Size()))
	}}
}

// Read implements io.Reader.
func (r *watchedResponse) Read(p []byte) (int, error) {
	k, err := r.Reader.Read(p)
	r.count(int64(k))
	r.total += int64(k)
	for r.total >= r.logAt {
		r.log(r)
		r.logAt *= 2
	}
	return k, err
}
