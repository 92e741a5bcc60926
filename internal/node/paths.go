package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/reach"
)

// paths is a reach.Table for concurrent use, with the state for its logging.
type paths struct {
	mu    sync.Mutex
	table *reach.Table
	// logged holds the services whose lost paths were logged, and loggedAt when that last happened.
	logged   map[string]time.Time
	loggedAt time.Time
}

func newPaths() *paths {
	return &paths{table: reach.NewTable(), logged: make(map[string]time.Time)}
}

func (p *paths) record(now time.Time, to reach.Target, o reach.Outcome) reach.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Record(now, to, o)
}

// lost returns the number of endpoints to which no direct connection can be opened.
func (p *paths) lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.LostCount()
}

// targetOf returns an endpoint with its service, or false if the endpoint is not in the view.
func (n *Node) targetOf(endpoint string) (reach.Target, bool) {
	e, ok := n.view.Load().endpoints.Get(endpoint)
	if !ok {
		return reach.Target{}, false
	}
	return reach.Target{Endpoint: endpoint, Service: e.Service}, true
}

// recordPath records the outcome of opening or using a direct connection to an endpoint.
func (n *Node) recordPath(endpoint string, o reach.Outcome) {
	if to, ok := n.targetOf(endpoint); ok {
		n.paths.record(time.Now(), to, o)
		if o != reach.Answered {
			n.meters.dialed(to.Service, o)
		}
	}
}

// dialEndpoint opens a connection to an endpoint.
func (n *Node) dialEndpoint(ctx context.Context, endpoint, address string) (net.Conn, error) {
	started := time.Now()
	conn, err := n.dialDirect(ctx, endpoint, address)
	if o, ok := dialOutcome(err, time.Since(started)); ok {
		n.recordPath(endpoint, o)
	}
	return conn, err
}

// minSilence is how long an attempt to connect that is canceled must have gone unanswered to count
// as silence: far longer than a round trip between regions.
const minSilence = 300 * time.Millisecond

// dialOutcome returns what an attempt to connect shows about the path, or false if it was canceled
// too soon to show anything.
func dialOutcome(err error, took time.Duration) (reach.Outcome, bool) {
	switch {
	case err == nil:
		return reach.Opened, true
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return reach.Refused, true
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return reach.Silent, took >= minSilence
	}
	return reach.Silent, true
}

// pathsLogInterval is how often the lost paths are logged.
const pathsLogInterval = time.Second

// logPaths logs the services to whose endpoints paths are lost, and those to which all paths work
// again.
func (n *Node) logPaths(now time.Time) {
	p := n.paths
	if now.Sub(p.loggedAt) < pathsLogInterval {
		return
	}
	p.loggedAt = now
	v := n.view.Load()
	p.mu.Lock()
	p.table.Retain(func(endpoint string) bool { _, ok := v.endpoints.Get(endpoint); return ok })
	stats := p.table.Stats()
	p.mu.Unlock()
	lost := make(map[string]time.Time, len(stats))
	for _, s := range stats {
		lost[s.Service] = s.Since
		n.log.Info(eventPathsLost, zap.String("service", s.Service), zap.Int("lost", s.Lost), zap.Int("refused", s.Refused),
			zap.Duration("for", now.Sub(s.Since)), zap.Int64("last_used_ms", age(now, s.OpenedAt)), zap.Strings("endpoints", s.Examples))
	}
	for service, since := range p.logged {
		if _, still := lost[service]; !still {
			n.log.Info(eventPathsRestored, zap.String("service", service), zap.Duration("after", now.Sub(since)))
		}
	}
	p.logged = lost
}
