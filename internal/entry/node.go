package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/config"
	"gradetiller.example/internal/contain"
	"gradetiller.example/internal/core/assignment"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/decisionlog"
	"gradetiller.example/internal/core/run"
	"gradetiller.example/internal/endpoints"
	"gradetiller.example/internal/wire"
)

// decisionLogSize is the number of decisions that the node keeps.
const decisionLogSize = 8192

// Identity describes a node as given by its settings.
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
	// open has its own lock; no other lock is acquired while it is held.
	open *openRequests

	mu          sync.Mutex
	engine      *run.Engine
	decisionLog *decisionlog.Ring
	streams     map[run.ID]*stream
	cancels     map[run.AttemptID]context.CancelFunc
	byRequest   map[requestKey]run.ID
	timer       *time.Timer
	entries     []wire.Entry
	version     uint64

	tableMu sync.Mutex // serializes rebuilds of table
	cfg     atomic.Pointer[config.Config]
	table   atomic.Pointer[assignment.Table]
	leaving atomic.Bool
	closed  atomic.Bool
}

type requestKey struct{ account, requestID string }

// Option sets an optional part of a Node.
type Option func(*Node)

// WithLog sets the logger; by default nothing is logged.
func WithLog(log *zap.Logger) Option { return func(n *Node) { n.log = log } }

// WithCaller sets the adapter that calls endpoints; the default uses HTTP.
func WithCaller(c endpoints.Caller) Option { return func(n *Node) { n.caller = c } }

// WithStore sets the store of started records. Without a store, at-most-once
// requests are refused as not run.
func WithStore(s Store) Option { return func(n *Node) { n.records.store = s } }

// NewNode returns a node without a configuration.
func NewNode(id Identity, opts ...Option) *Node {
	n := &Node{
		id:          id,
		log:         zap.NewNop(),
		caller:      endpoints.NewHTTP(),
		metrics:     newMeters(),
		open:        newOpenRequests(),
		engine:      run.New(id.Incarnation),
		decisionLog: decisionlog.NewRing(decisionLogSize),
		streams:     make(map[run.ID]*stream),
		cancels:     make(map[run.AttemptID]context.CancelFunc),
		byRequest:   make(map[requestKey]run.ID),
	}
	n.records = newRecords(id, n.recordDone)
	for _, opt := range opts {
		opt(n)
	}
	n.timer = time.AfterFunc(time.Hour, n.tick)
	n.metrics.registerGauges(n)
	return n
}

// Config returns the active configuration, or nil.
func (n *Node) Config() *config.Config { return n.cfg.Load() }

// InFlight returns the number of unfinished runs.
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

// step passes one event to the engine and executes the returned actions.
// Actions are executed while the lock is held, so that their order is the same
// for all goroutines; none of them blocks.
func (n *Node) step(event func(now time.Time) []run.Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, a := range event(now) {
		n.execute(now, a)
	}
	n.resetTimer(now)
}

func (n *Node) resetTimer(now time.Time) {
	at, ok := n.engine.NextTimer()
	if !ok {
		return
	}
	n.timer.Reset(max(at.Sub(now), time.Millisecond))
}

func (n *Node) tick() { n.step(n.engine.Tick) }

func (n *Node) execute(now time.Time, a run.Action) {
	switch a := a.(type) {
	case run.Call:
		ctx, cancel := context.WithCancel(context.Background())
		n.cancels[a.Attempt] = cancel
		go n.call(ctx, cancel, a, n.streams[a.Run])
	case run.CancelCall:
		if cancel, ok := n.cancels[a.Attempt]; ok {
			cancel()
		}
	case run.Record:
		n.records.start(a)
	case run.Abandon:
		n.records.abandon(a)
	case run.Finish:
		n.finish(a)
	case run.CallCost:
		n.metrics.observeCall(a)
	case run.Decision:
		n.logDecision(now, a)
	}
}

func (n *Node) finish(f run.Finish) {
	n.metrics.observeFinish(f)
	s, ok := n.streams[f.Run]
	if !ok {
		return
	}
	delete(n.streams, f.Run)
	key := requestKey{s.account, f.Summary.RequestID}
	if n.byRequest[key] == f.Run {
		delete(n.byRequest, key)
	}
	s.finish(f)
}

func (n *Node) logDecision(now time.Time, d run.Decision) {
	n.metrics.countDecision(d)
	n.decisionLog.Add(decisionlog.Event{
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

// call sends one stage call and reports its result to the engine.
func (n *Node) call(ctx context.Context, cancel context.CancelFunc, c run.Call, s *stream) {
	defer cancel()
	ctx, stop := context.WithDeadline(ctx, c.Deadline.Add(deadlineGrace))
	defer stop()
	sink := &attemptSink{node: n, stream: s, call: c}
	end := containedCall(ctx, n.caller, c, sink)
	n.step(func(now time.Time) []run.Action {
		delete(n.cancels, c.Attempt)
		return n.engine.CallEnded(now, c.Attempt, end)
	})
}

// containedCall sends a call. A panic in the handling of the answer counts as no response.
func containedCall(ctx context.Context, caller endpoints.Caller, c run.Call, sink endpoints.Sink) run.CallResult {
	var end run.CallResult
	err := contain.Call(func() error {
		end = caller.Call(ctx, c, sink)
		return nil
	})
	if err != nil {
		return run.CallResult{Event: attempt.NoResponse, Reason: err.Error()}
	}
	return end
}

// deadlineGrace is the time after the deadline at which a call is canceled if
// the engine has not done so.
const deadlineGrace = time.Second

func (n *Node) recordDone(id run.ID, result run.RecordResult) {
	n.step(func(now time.Time) []run.Action { return n.engine.Recorded(now, id, result) })
}

// Submit passes a request to the engine. The returned stream delivers the
// run's output and result.
func (n *Node) Submit(req run.Request) *stream {
	s := newStream(req.Account)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	id, actions := n.engine.Submit(now, req)
	s.run = id
	if id != 0 {
		n.streams[id] = s
		n.byRequest[requestKey{req.Account, req.RequestID}] = id
	}
	for _, a := range actions {
		if f, ok := a.(run.Finish); ok && id == 0 {
			n.metrics.observeFinish(f)
			s.finish(f)
			continue
		}
		n.execute(now, a)
	}
	n.resetTimer(now)
	return s
}

// Cancel ends a run because its client disconnected.
func (n *Node) Cancel(id run.ID) {
	n.step(func(now time.Time) []run.Action { return n.engine.Cancel(now, id) })
}

// CancelRequest ends the run with the client's request id. It reports whether
// there was one.
func (n *Node) CancelRequest(account, requestID string) bool {
	n.mu.Lock()
	id, ok := n.byRequest[requestKey{account, requestID}]
	n.mu.Unlock()
	if ok {
		n.Cancel(id)
	}
	return ok
}

// Decisions returns the recorded decisions about a subject, one line each.
func (n *Node) Decisions(subject string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	events := n.decisionLog.BySubject(subject)
	lines := make([]string, len(events))
	for i, e := range events {
		lines[i] = e.String()
	}
	return lines
}
