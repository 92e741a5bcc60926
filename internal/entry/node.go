package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/config"
	"gradetiller.example/internal/core/assignment"
	"gradetiller.example/internal/core/decisionlog"
	"gradetiller.example/internal/core/run"
	"gradetiller.example/internal/endpoints"
	"gradetiller.example/internal/wire"
)

// storySize is how many decisions the node remembers.
const storySize = 8192

// Identity is what a node knows of itself from its settings.
type Identity struct {
	Node        string
	Incarnation uint64
	Address     string
	PeerAddress string
	Domain      string
	Region      string
}

// Node is the data path of one instance.
type Node struct {
	id      Identity
	log     *zap.Logger
	caller  endpoints.Caller
	records *records
	metrics *meters
	// exchanges has a lock of its own, which no other is taken under.
	exchanges *exchanges

	mu        sync.Mutex
	engine    *run.Engine
	story     *decisionlog.Ring
	waiters   map[run.ID]*stream
	calls     map[run.AttemptID]context.CancelFunc
	byRequest map[requestKey]run.ID
	timer     *time.Timer
	entries   []wire.Entry
	version   uint64

	tableMu sync.Mutex // orders rebuilds of table
	cfg     atomic.Pointer[config.Config]
	table   atomic.Pointer[assignment.Table]
	leaving atomic.Bool
	closed  atomic.Bool
}

type requestKey struct{ account, requestID string }

// Option sets an optional part of a Node.
type Option func(*Node)

// WithLog sets the log; the default is silent.
func WithLog(log *zap.Logger) Option { return func(n *Node) { n.log = log } }

// WithCaller sets the adapter to endpoints; the default speaks HTTP.
func WithCaller(c endpoints.Caller) Option { return func(n *Node) { n.caller = c } }

// WithStore sets where started records are kept. Without it, requests that
// may run at most once are refused as not run.
func WithStore(s Store) Option { return func(n *Node) { n.records.store = s } }

// NewNode returns a node without configuration.
func NewNode(id Identity, opts ...Option) *Node {
	n := &Node{
		id:        id,
		log:       zap.NewNop(),
		caller:    endpoints.NewHTTP(),
		metrics:   newMeters(),
		exchanges: newExchanges(),
		engine:    run.New(id.Incarnation),
		story:     decisionlog.NewRing(storySize),
		waiters:   make(map[run.ID]*stream),
		calls:     make(map[run.AttemptID]context.CancelFunc),
		byRequest: make(map[requestKey]run.ID),
	}
	n.records = newRecords(id, n.recorded)
	for _, opt := range opts {
		opt(n)
	}
	n.timer = time.AfterFunc(time.Hour, n.tick)
	n.metrics.gauges(n)
	return n
}

// Config returns the configuration in force, or nil.
func (n *Node) Config() *config.Config { return n.cfg.Load() }

// InFlight returns the number of requests under way.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine.InFlight()
}

// Counters returns the engine's counters.
func (n *Node) Counters() run.Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine.Counters()
}

// step gives the engine one event and carries its actions out. Every action
// is carried out under the lock and none of them blocks, so that their order
// holds across goroutines.
func (n *Node) step(event func(now time.Time) []run.Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, a := range event(now) {
		n.carryOut(now, a)
	}
	n.arm(now)
}

func (n *Node) arm(now time.Time) {
	at, ok := n.engine.NextTimer()
	if !ok {
		return
	}
	n.timer.Reset(max(at.Sub(now), time.Millisecond))
}

func (n *Node) tick() { n.step(n.engine.Tick) }

func (n *Node) carryOut(now time.Time, a run.Action) {
	switch a := a.(type) {
	case run.Call:
		ctx, cancel := context.WithCancel(context.Background())
		n.calls[a.Attempt] = cancel
		go n.call(ctx, cancel, a, n.waiters[a.Run])
	case run.CancelCall:
		if cancel, ok := n.calls[a.Attempt]; ok {
			cancel()
		}
	case run.Record:
		n.records.start(a)
	case run.Abandon:
		n.records.abandon(a)
	case run.Finish:
		n.finish(a)
	case run.CallCost:
		n.metrics.spend(a)
	case run.Decision:
		n.decided(now, a)
	}
}

func (n *Node) finish(f run.Finish) {
	n.metrics.finished(f)
	w, ok := n.waiters[f.Run]
	if !ok {
		return
	}
	delete(n.waiters, f.Run)
	key := requestKey{w.account, f.Summary.RequestID}
	if n.byRequest[key] == f.Run {
		delete(n.byRequest, key)
	}
	w.finish(f)
}

func (n *Node) decided(now time.Time, d run.Decision) {
	n.metrics.decided(d)
	n.story.Add(decisionlog.Event{
		At:       now,
		Subjects: [3]string{d.RequestID, d.Endpoint, d.Stage},
		Name:     string(d.Name),
		Text:     decisionText(d, n.version),
	})
	if d.Name == run.DecidePlace || d.Name == run.DecideFinish {
		return
	}
	n.log.Info(string(d.Name),
		zap.String("request", d.RequestID), zap.String("stage", d.Stage),
		zap.String("endpoint", d.Endpoint), zap.String("reason", d.Reason))
}

// call sends one stage call and reports its end.
func (n *Node) call(ctx context.Context, cancel context.CancelFunc, c run.Call, w *stream) {
	defer cancel()
	ctx, stop := context.WithDeadline(ctx, c.Deadline.Add(deadlineGrace))
	defer stop()
	sink := &attemptSink{node: n, stream: w, call: c}
	end := n.caller.Call(ctx, c, sink)
	n.step(func(now time.Time) []run.Action {
		delete(n.calls, c.Attempt)
		return n.engine.CallEnded(now, c.Attempt, end)
	})
}

// deadlineGrace is how long after the deadline a call may live that nobody
// canceled; it is only a backstop.
const deadlineGrace = time.Second

func (n *Node) recorded(id run.ID, result run.RecordResult) {
	n.step(func(now time.Time) []run.Action { return n.engine.Recorded(now, id, result) })
}

// Submit gives a request to the engine. The stream tells how it goes on.
func (n *Node) Submit(req run.Request) *stream {
	w := newStream(req.Account)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	id, actions := n.engine.Submit(now, req)
	w.run = id
	if id != 0 {
		n.waiters[id] = w
		n.byRequest[requestKey{req.Account, req.RequestID}] = id
	}
	for _, a := range actions {
		if f, ok := a.(run.Finish); ok && id == 0 {
			n.metrics.finished(f)
			w.finish(f)
			continue
		}
		n.carryOut(now, a)
	}
	n.arm(now)
	return w
}

// Cancel ends a run whose caller went away.
func (n *Node) Cancel(id run.ID) {
	n.step(func(now time.Time) []run.Action { return n.engine.Cancel(now, id) })
}

// CancelRequest ends a run by the caller's request id, and reports false when
// there is none.
func (n *Node) CancelRequest(account, requestID string) bool {
	n.mu.Lock()
	id, ok := n.byRequest[requestKey{account, requestID}]
	n.mu.Unlock()
	if ok {
		n.Cancel(id)
	}
	return ok
}

// Decisions returns the decisions about a subject as lines.
func (n *Node) Decisions(subject string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	events := n.story.BySubject(subject)
	lines := make([]string, len(events))
	for i, e := range events {
		lines[i] = e.String()
	}
	return lines
}
