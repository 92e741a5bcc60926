package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

// maxEvent bounds one event.
const maxEvent = 1 << 20

var (
	errEventTooLarge = errors.New("an event is larger than allowed")
	// errClientGone is why a stream ends whose events the client does not take.
	errClientGone = errors.New("the client takes no events")
)

// stream is the passing on of a stream's events.
type stream struct {
	node    *Node
	q       *request
	w       http.ResponseWriter
	flush   *http.ResponseController
	started bool
	last    string
	results stageResults
	// placement is how the endpoint that the leader chose did.
	placement wire.Placement
	events    int
}

// serveStream takes a request through its stages and passes its events on.
func (n *Node) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	n.budget.Fresh(q.arrived, q.service, 1)
	if n.rejectClosed(w, q, q.reopenLimit()) {
		return
	}
	q.prefix = n.pools.prefix(q)
	s := &stream{node: n, q: q, w: w, flush: http.NewResponseController(w)}
	defer func() { s.release() }()
	var tried []string
	for range mostSends {
		if err := n.prepare(ctx, s); err != nil {
			n.endUnprepared(ctx, s, err)
			return
		}
		if !q.ran && !n.stillEndsInTime(q) {
			n.turnAway(w, q)
			return
		}
		if n.endPoison(ctx, s) {
			return
		}
		c, ok := n.choose(ctx, q, s.need(tried))
		if !ok {
			n.endStream(ctx, s, attempt.AnswerNotRun, noEndpointReason)
			return
		}
		tried = append(tried, c.endpoint.ID)
		a, event := n.tryStream(ctx, s, c)
		if event == attempt.Complete {
			q.outcome = delivered
			n.recordServed(q)
			n.logRequest(q, http.StatusOK)
			return
		}
		next := n.next(q, event, a)
		if next == attempt.Retry {
			continue
		}
		n.endStream(ctx, s, next, "stream failed")
		return
	}
	n.endStream(ctx, s, attempt.AnswerUnknown, "no endpoint reached")
}

// reopenLimit is by when the service of a stream has to be out of backoff so that it is begun:
// its stages run meanwhile.
func (q *request) reopenLimit() time.Time {
	if len(q.route.Stages) == 0 {
		return q.awaitLimit(q.arrived)
	}
	return q.arrived.Add(q.route.Objective)
}

// endPoison ends a stream whose request is refused since it crashes endpoints, and reports
// whether it is.
func (n *Node) endPoison(ctx context.Context, s *stream) bool {
	if !s.started {
		return n.refusePoison(s.w, s.q)
	}
	_, refused := n.poisonGuard.refused(s.q.content)
	if refused {
		n.endStream(ctx, s, attempt.AnswerUnknown, poisonReason)
	}
	return refused
}

// need is what the next attempt asks of its endpoint. A suspect is kept apart from the
// prompts that share its beginning: sent to the endpoint that holds it, as they are, it
// would end with them each endpoint that they are sent to next, and make suspects of them.
func (s *stream) need(tried []string) need {
	q := s.q
	asks := need{
		service: q.service, prefix: q.prefix, tried: tried, wanted: s.results.endpoint,
		prompt: place.Prompt{Tokens: q.in.PromptTokens},
	}
	if limit, _ := s.node.signals.bound(s.results.endpoint); !s.results.bounded && limit.At(time.Now()).Bounded() {
		// The leader does not know what this node has heard, so it has not counted the
		// request: one that has just begun, or is of an earlier version.
		asks.wanted = ""
	}
	if s.node.poisonGuard.suspected(q.content) {
		asks.prefix, asks.wanted = q.content.Key(), ""
	}
	return asks
}

func (s *stream) release() {
	if s.results.release != nil {
		s.results.release(s.placement)
	}
	s.results = stageResults{}
	s.placement = wire.PlacementUnused
}

// note keeps how the endpoint that the leader chose did.
func (s *stream) note(c *placed, how wire.Placement) {
	if c.endpoint.ID == s.results.endpoint {
		s.placement = how
	}
}

// prepare has the stages run unless their results are there.
func (n *Node) prepare(ctx context.Context, s *stream) error {
	q := s.q
	if s.results.release != nil || len(q.route.Stages) == 0 {
		return nil
	}
	work := stageWork{deadline: q.deadline, submit: wire.StagesSubmit{
		RequestID: q.in.RequestID, Key: q.in.PieceKey, Priority: q.priority,
		Model: q.service, Prefix: q.prefix, Tokens: q.in.PromptTokens, Parts: q.promptParts(), Content: bytesOf(q.content),
	}}
	work.softDeadline = q.arrived.Add(q.route.Objective)
	work.submit.Avoid = n.avoided(q.service)
	if !n.disabled.Has(mechanism.Sizes) {
		work.submit.Extra = n.sizes.extra(q.route.Name, q.in.PromptTokens)
	}
	any := false
	for i, st := range q.route.Stages {
		out := wire.Stage{Service: st.Service, After: st.After, ResultBytes: st.ResultBytes}
		if i < len(q.in.Pieces) {
			out.Pieces = q.in.Pieces[i]
		}
		any = any || out.Pieces > 0
		work.submit.Stages = append(work.submit.Stages, out)
	}
	results, err := n.runStages(ctx, work)
	if err != nil && !any && ctx.Err() == nil {
		// Nothing is to be made; only the leader's choice of an endpoint is
		// missing.
		return nil
	}
	if err != nil {
		return err
	}
	s.results = results
	q.staged = time.Since(q.arrived)
	q.leader = results.leader
	q.predicted = results.predicted
	return nil
}

// maxAvoided bounds the endpoints that a submission asks to avoid.
const maxAvoided = 64

// avoided lists the endpoints of a service that are in backoff towards this node. Their leader
// can't know them, since a backoff is between one node and one endpoint.
func (n *Node) avoided(service string) []wire.Avoided {
	now := time.Now()
	var list []wire.Avoided
	for _, b := range n.backoffs(now, service) {
		if len(list) < maxAvoided {
			list = append(list, wire.Avoided{Endpoint: b.Endpoint, Left: b.Until.Sub(now).Milliseconds()})
		}
	}
	return list
}

// endUnprepared ends a request whose stages were not run.
func (n *Node) endUnprepared(ctx context.Context, s *stream, err error) {
	var refused *refusal
	if errors.As(err, &refused) {
		s.q.predicted = refused.predicted
	}
	if refused != nil && !s.started && !s.q.ran {
		n.refuse(s.w, s.q, http.StatusServiceUnavailable, refused.reason, max(refused.retryAfter, againSoon))
		return
	}
	n.endStream(ctx, s, attempt.AnswerUnknown, err.Error())
}

// endStream ends a stream that is not complete. Once its head is out, only a
// broken connection tells the client so.
func (n *Node) endStream(ctx context.Context, s *stream, next attempt.Action, reason string) {
	switch {
	case s.started:
		s.q.outcome = "broken: " + n.givenUp(s.q, reason)
		n.logRequest(s.q, http.StatusOK)
		s.release()
		panic(http.ErrAbortHandler)
	case next == attempt.AnswerNotRun:
		n.endNotRun(s.w, s.q, reason)
	default:
		n.endUnknown(ctx, s.w, s.q, reason)
	}
}

// tryStream sends one attempt and passes its events on.
func (n *Node) tryStream(ctx context.Context, s *stream, c *placed) (*platform.Response, attempt.Event) {
	q := s.q
	q.endpoint = c.endpoint.ID
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hung := time.AfterFunc(q.patience(time.Now()), cancel)
	out := n.outbound(q, c.endpoint, time.Now())
	out.Inputs = s.results.handles
	out.LastEventID = s.last
	if c.endpoint.ID == s.results.endpoint {
		out.CacheSource = s.results.copyFrom
	}
	a, err := n.workers.Send(ctx, out)
	hung.Stop()
	if err != nil {
		event := n.faulted(parent, ctx, q, c, err)
		switch {
		case parent.Err() != nil || isBlocked(err):
		case event == attempt.NotSent:
			s.note(c, wire.PlacementUnreachable)
		default:
			s.note(c, wire.PlacementFailed)
		}
		return nil, event
	}
	defer a.Body.Close()
	s.note(c, wire.PlacementServed)
	if !a.Misdirected {
		q.sent++
	}
	if a.Event != attempt.FirstByte {
		return a, n.declined(ctx, s, c, a)
	}
	err = s.pass(a)
	now := time.Now()
	c.end(now, place.Result{OK: err == nil, Neutral: parent.Err() != nil, Load: load(a, now)})
	if err != nil {
		n.log.Info(eventStreamBroken, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Int("events", s.events), zap.Error(err))
		if !errors.Is(err, errClientGone) {
			n.recordBrokenRuns(ctx, c.endpoint, time.Since(c.started), q.content)
		}
		return a, attempt.NoResponse
	}
	return a, attempt.Complete
}

// declined handles an answer that is no stream. Results that are gone are
// made again.
func (n *Node) declined(ctx context.Context, s *stream, c *placed, a *platform.Response) attempt.Event {
	now := time.Now()
	switch {
	case a.Signals.Backoff > 0:
		s.note(c, wire.PlacementRejected)
	case a.Status != http.StatusConflict:
		s.note(c, wire.PlacementFailed)
	}
	if a.Event == attempt.Rejected {
		n.log.Info(eventEndpointDeclined, zap.String("id", s.q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Int("status", a.Status))
		c.end(now, place.Result{Neutral: a.Status == http.StatusConflict || a.Signals.Backoff > 0, Load: load(a, now)})
		if a.Status == http.StatusConflict {
			s.release()
		}
		return a.Event
	}
	c.end(now, place.Result{Neutral: a.Status < 500 || a.Signals.Backoff > 0, Load: load(a, now)})
	if s.started {
		return attempt.NoResponse
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		n.recordBrokenRuns(ctx, c.endpoint, time.Since(c.started), s.q.content)
		return attempt.NoResponse
	}
	a.Body = io.NopCloser(bytes.NewReader(body))
	return attempt.Fail
}

// pass passes whole events on until the stream ends.
func (s *stream) pass(a *platform.Response) error {
	in := bufio.NewReader(a.Body)
	var event []byte
	for {
		line, err := in.ReadBytes('\n')
		event = append(event, line...)
		switch {
		case err == io.EOF && len(bytes.TrimSpace(event)) == 0:
			s.head(a)
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(event) > maxEvent:
			return errEventTooLarge
		case len(bytes.TrimRight(line, "\r\n")) > 0:
			continue
		}
		if err := s.event(a, event); err != nil {
			return err
		}
		event = event[:0]
	}
}

// head sends the head of the first answer.
func (s *stream) head(a *platform.Response) {
	if s.started {
		return
	}
	s.started = true
	s.q.first = time.Since(s.q.arrived)
	platform.CopyResponseHeader(s.w, a.Header)
	s.w.Header().Del("Content-Length")
	s.node.tellClose(s.w)
	s.w.WriteHeader(a.Status)
	s.release()
}

// event passes one whole event on.
func (s *stream) event(a *platform.Response, event []byte) error {
	s.head(a)
	if id := eventID(event); id != "" {
		s.last = id
	}
	s.events++
	if _, err := s.w.Write(event); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	if err := s.flush.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	return nil
}

var idField = []byte("id:")

// eventID returns the id of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if after, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(after))
		}
	}
	return ""
}
