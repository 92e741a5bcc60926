package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/membudget"
	"gradetiller.example/internal/core/origin"
	"gradetiller.example/internal/core/patience"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

// errClientGone reports that a part of a response could not be written to the client.
var errClientGone = errors.New("cannot write to the client")

// stream forwards the events of an endpoint's response to a client.
type stream struct {
	node        *Node
	q           *request
	w           http.ResponseWriter
	flush       *http.ResponseController
	started     bool
	lastEventID string
	results     stageResults
	// placed is what the leader is told about the endpoint that it chose.
	placed wire.StagesRelease
	events int
	// origin is where the stream began, as far as this node knows.
	origin streamOrigin
}

// serveStream runs the stages of a request and forwards the events of its response.
func (n *Node) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &stream{node: n, q: q, w: w, flush: http.NewResponseController(w), origin: streamOrigin{source: originUnknown}}
	if q.continues() && !n.admitContinued(ctx, s) {
		return
	}
	n.budget.AddRequests(q.arrived, q.service, 1)
	n.recordOwnMix(q)
	if n.refuseIfBackedOff(w, q, q.backoffEndLimit()) {
		return
	}
	q.prefix = n.pools.prefix(q)
	defer func() { s.release() }()
	var tried []string
	for range maxSends {
		if s.started && !n.mayGoOn(s.need(tried)) {
			n.endStream(ctx, s, attempt.AnswerUnknown, noVersionReason)
			return
		}
		c, ok := n.awaitEndpoint(ctx, s, tried)
		if !ok {
			return
		}
		tried = append(tried, c.endpoint.ID)
		a, event := n.tryStream(ctx, s, c)
		if event == attempt.Complete {
			q.outcome = delivered
			n.recordServed(q, a.Framed)
			if !a.Framed {
				n.recordUnframedEnd(q, c.endpoint)
			}
			n.logRequest(q, http.StatusOK)
			return
		}
		next := n.nextAction(q, event, a)
		if next == attempt.Retry {
			continue
		}
		n.endStream(ctx, s, next, "stream failed")
		return
	}
	n.endStream(ctx, s, attempt.AnswerUnknown, "no endpoint reached")
}

// awaitEndpoint runs the stages of a stream, unless they have run, and chooses an endpoint. If the request
// can't be sent, it answers it and returns false.
func (n *Node) awaitEndpoint(ctx context.Context, s *stream, tried []string) (*placedCall, bool) {
	q := s.q
	waiting, end := n.waits.begin(ctx, q)
	defer end()
	err := n.prepare(waiting, s)
	switch {
	case n.endIfPoison(ctx, s):
		return nil, false
	case err != nil:
		n.endStagesFailed(ctx, s, err)
		return nil, false
	case n.endIfStopping(ctx, s):
		return nil, false
	}
	c, ok := n.choose(waiting, q, s.need(tried))
	used := false
	defer func() {
		// Also if ending the stream aborts its connection, with a panic.
		if ok && !used {
			c.finish(time.Now(), place.Result{Neutral: true})
		}
	}()
	switch {
	case n.endIfPoison(ctx, s) || ok && n.endIfStopping(ctx, s):
		return nil, false
	case !ok:
		n.endStream(ctx, s, attempt.AnswerNotRun, noEndpointReason)
		return nil, false
	}
	used = true
	return c, true
}

// endIfStopping ends a stream if an attempt that begins now would be cut when this node stops, and reports whether it did. The client
// can go elsewhere sooner.
func (n *Node) endIfStopping(ctx context.Context, s *stream) bool {
	switch {
	case n.finishesAfterStages(s.q):
		return false
	case s.started, s.q.mayHaveRun:
		n.endStream(ctx, s, attempt.AnswerUnknown, stoppingReason)
	default:
		n.refuseStopping(s.w, s.q)
	}
	return true
}

// backoffEndLimit returns the time by which the backoff of a stream's service must end for the
// stream to be started. It is later than backoffWaitLimit for a request with stages, which run
// in the meantime.
func (q *request) backoffEndLimit() time.Time {
	if len(q.route.Stages) == 0 {
		return q.backoffWaitLimit(q.arrived)
	}
	return q.arrived.Add(q.route.Objective)
}

// endIfPoison ends a stream whose request is refused because it crashes endpoints, and reports
// whether it did.
func (n *Node) endIfPoison(ctx context.Context, s *stream) bool {
	if !s.started {
		return n.refusePoison(s.w, s.q)
	}
	_, refused := n.poisonGuard.refused(s.q.identity)
	if refused {
		n.endStream(ctx, s, attempt.AnswerUnknown, poisonReason)
	}
	return refused
}

// need returns what the next attempt requires of its endpoint. A request suspected of crashing
// endpoints is placed apart from the prompts that share its prefix. Otherwise it would be sent to
// the endpoint that caches the prefix, crash each endpoint that those prompts move to, and make
// them suspects too.
func (s *stream) need(tried []string) need {
	q := s.q
	wants := need{
		service: q.service, prefix: q.prefix, tried: tried, preferred: s.results.endpoint,
		prompt: place.Prompt{Tokens: q.in.PromptTokens},
		arm:    s.node.armOf(q), domains: s.node.domainsOf(q.regions), versions: q.versions,
	}
	if limit, _ := s.node.signals.bound(s.results.endpoint); !s.results.bounded && limit.At(time.Now()).Bounded() {
		// The leader doesn't know the rate limit that this node knows, so it has not counted the
		// request against it: it has just become leader, or runs an earlier version.
		wants.preferred = ""
	}
	if id, suspected := s.node.poisonGuard.suspected(q.identity); suspected {
		wants.prefix, wants.preferred = id.Key(), ""
	}
	return wants
}

func (s *stream) release() {
	if s.results.release != nil {
		s.results.release(s.placed)
	}
	s.results = stageResults{}
	s.placed = wire.StagesRelease{}
}

// recordPlacement records the result of an attempt if it went to the endpoint that the leader
// chose.
func (s *stream) recordPlacement(c *placedCall, how wire.Placement) {
	if c.endpoint.ID == s.results.endpoint {
		s.placed.Placement = how
	}
}

// recordSlowdown records the slowdown that an answer stated if it came from the endpoint that the leader
// chose. The leader doesn't see the answers to what it places.
func (s *stream) recordSlowdown(c *placedCall, a *platform.Response) {
	if c.endpoint.ID == s.results.endpoint && !s.node.disabled.Has(mechanism.Slowdown) {
		s.placed.SlowdownPercent = a.Signals.Load.SlowdownPercent()
	}
}

// prepare runs the stages unless their results are available.
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
	work.laterDeadline = s.laterDeadline()
	work.submit.Avoid = n.avoided(q.service)
	work.submit.Arm, work.submit.Regions, work.submit.Versions = n.armOf(q).String(), q.regions, q.versions
	work.submit.NodePlaced = n.mixes.takeUnreported(q.service)
	work.submit.Route, work.submit.Account, work.submit.RoutePriority = q.route.Name, q.account, q.route.Priority
	work.submit.Patience = patience.Of(q.in.Timeout).Milliseconds()
	work.submit.OutputTokens = q.in.MaxTokens
	if !n.disabled.Has(mechanism.Sizes) {
		work.submit.ExtraTokens = n.promptSizes.excess(q.route.Name, q.in.PromptTokens)
	}
	hasPieces := false
	for i, st := range q.route.Stages {
		out := wire.Stage{Service: st.Service, After: st.After, ResultBytes: st.ResultBytes}
		if i < len(q.in.Pieces) {
			out.Pieces = q.in.Pieces[i]
		}
		hasPieces = hasPieces || out.Pieces > 0
		work.submit.Stages = append(work.submit.Stages, out)
	}
	results, err := n.runStages(ctx, work)
	if err != nil && !hasPieces && ctx.Err() == nil {
		// There are no pieces to run; only the leader's choice of an endpoint is missing.
		return nil
	}
	if err != nil {
		return err
	}
	s.results = results
	q.stagesTook = time.Since(q.arrived)
	q.leader = results.leader
	q.predicted = results.predicted
	return nil
}

// maxAvoided bounds the endpoints to avoid that are listed in a submission.
const maxAvoided = 64

// avoided lists the endpoints of a service that are in backoff towards this node. A leader can't
// know them, because a backoff is between one node and one endpoint.
func (n *Node) avoided(service string) []wire.Avoided {
	now := time.Now()
	var list []wire.Avoided
	for _, b := range n.backoffs(now, service) {
		if len(list) < maxAvoided {
			list = append(list, wire.Avoided{Endpoint: b.Endpoint, Remaining: b.Until.Sub(now).Milliseconds()})
		}
	}
	return list
}

// endStagesFailed ends a request whose stages were refused or failed.
func (n *Node) endStagesFailed(ctx context.Context, s *stream, err error) {
	var refused *refusal
	if errors.As(err, &refused) {
		s.q.predicted = refused.predicted
	}
	if refused != nil && !s.started && !s.q.mayHaveRun {
		n.refuse(s.w, s.q, http.StatusServiceUnavailable, refused.reason, max(refused.retryAfter, minRetryAfter))
		return
	}
	n.endStream(ctx, s, attempt.AnswerUnknown, err.Error())
}

// endStream ends a stream that is not complete. Once the response header is sent, the failure can
// only be signaled by closing the connection.
func (n *Node) endStream(ctx context.Context, s *stream, next attempt.Action, reason string) {
	switch {
	case s.started:
		s.q.outcome = "broken: " + n.failureReason(s.q, reason)
		n.logRequest(s.q, http.StatusOK)
		s.release()
		abortResponse(s.q.source)
	case next == attempt.AnswerNotRun:
		n.answerNotRun(s.w, s.q, reason)
	default:
		n.answerUnknown(ctx, s.w, s.q, reason)
	}
}

// tryStream sends one attempt and forwards the events of its response.
func (n *Node) tryStream(ctx context.Context, s *stream, c *placedCall) (*platform.Response, attempt.Event) {
	var response *platform.Response
	var event attempt.Event
	err := n.contain(taskAttempt, s.q.in.RequestID, func() error {
		response, event = n.sendStream(ctx, s, c)
		return nil
	})
	if err != nil {
		return nil, n.recordPanic(s.q, c)
	}
	return response, event
}

// sendStream is tryStream without the containment of panics.
func (n *Node) sendStream(ctx context.Context, s *stream, c *placedCall) (*platform.Response, attempt.Event) {
	q := s.q
	q.endpoint, q.version = c.endpoint.ID, c.endpoint.Version
	if s.continues() {
		n.logContinued(s, c)
	}
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopTimer := q.cancelHung(time.Now(), cancel)
	out := n.workerRequest(q, c.endpoint, time.Now())
	out.Inputs = s.results.handles
	out.LastEventID = s.lastEventID
	if c.endpoint.ID == s.results.endpoint && n.mayCopyFrom(q, s.results.copyFrom) {
		out.CacheSource = s.results.copyFrom
	}
	a, err := n.workers.Send(ctx, out)
	stopTimer()
	if err != nil {
		event := n.recordSendError(parent, ctx, q, c, err)
		switch {
		case parent.Err() != nil || isBlocked(err) || n.lostHere(c.endpoint.ID):
		case event == attempt.NotSent && isRefused(err):
			s.recordPlacement(c, wire.PlacementRefused)
		case event == attempt.NotSent:
			s.recordPlacement(c, wire.PlacementUnreachable)
		default:
			s.recordPlacement(c, wire.PlacementFailed)
		}
		return nil, event
	}
	defer a.Body.Close()
	c.answeredAt = time.Now()
	n.recordAnswer(c.endpoint.ID, c.started)
	q.slowdown, q.relay = a.Signals.Load.Slowdown, a.Relay
	s.recordPlacement(c, wire.PlacementServed)
	s.recordSlowdown(c, a)
	if !a.Misdirected {
		q.sent++
	}
	if a.Event != attempt.FirstByte {
		return a, n.handleNoStream(ctx, s, c, a)
	}
	resumed := s.started
	err = s.forward(a)
	now := time.Now()
	if err == nil && !resumed {
		n.leaders.modelPools.observeOutput(q.service, q.in.MaxTokens, now.Sub(c.answeredAt))
	}
	c.finish(now, n.withLoad(a, now, place.Result{OK: err == nil, Neutral: parent.Err() != nil || n.lostHere(c.endpoint.ID) || errors.Is(err, bounded.ErrNoRoom)}))
	if err != nil {
		n.log.Info(eventStreamBroken, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Int("events", s.events), zap.Bool("framed", a.Framed), zap.Stringers("parts", q.identity.Parts), zap.Error(err))
		if !errors.Is(err, errClientGone) && !isCut(err) && !n.lostHere(c.endpoint.ID) {
			n.recordBrokenRuns(ctx, c.endpoint, time.Since(c.started), q.identity)
		}
		return a, attempt.NoResponse
	}
	return a, attempt.Complete
}

// handleNoStream handles a response that is not a stream. Stage results that no longer exist
// (409) are released, so that the next attempt runs the stages again.
func (n *Node) handleNoStream(ctx context.Context, s *stream, c *placedCall, a *platform.Response) attempt.Event {
	now := time.Now()
	switch {
	case a.Signals.Backoff > 0:
		s.recordPlacement(c, wire.PlacementRejected)
	case a.Status != http.StatusConflict:
		s.recordPlacement(c, wire.PlacementFailed)
	}
	if a.Event == attempt.Rejected {
		n.log.Info(eventEndpointDeclined, zap.String("id", s.q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Int("status", a.Status))
		c.finish(now, n.withLoad(a, now, place.Result{Neutral: a.Status == http.StatusConflict || a.Signals.Backoff > 0}))
		if a.Status == http.StatusConflict {
			s.release()
		}
		return a.Event
	}
	c.finish(now, n.withLoad(a, now, place.Result{Neutral: a.Status < 500 || a.Signals.Backoff > 0}))
	if s.started {
		return attempt.NoResponse
	}
	if err := a.Discard(); err != nil {
		n.recordBrokenRuns(ctx, c.endpoint, time.Since(c.started), s.q.identity)
		return attempt.NoResponse
	}
	return attempt.Fail
}

// forward forwards complete events until the stream ends. A stream that ends with its connection, since it
// has neither a length nor chunks, must have an event.
func (s *stream) forward(a *platform.Response) error {
	reserved := s.node.memory.Reservation(membudget.Events)
	defer reserved.Release()
	in, before := newEventReader(a.Body, reserved), s.events
	for {
		switch err := in.next(); {
		case errors.Is(err, io.EOF) && in.isBlank() && (a.Framed || s.events > before):
			s.sendHead(a)
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case isCut(err):
			s.node.recordCut(s.q, cut{kind: membudget.Events, reason: cutReasonOf(err), bytes: in.event.Len(), bound: maxEventBytes, begun: s.started, err: err})
			return fmt.Errorf("event: %w", err)
		case err != nil:
			return err
		}
		if err := s.forwardEvent(a, in); err != nil {
			return err
		}
	}
}

// sendHead sends the response header, once per stream.
func (s *stream) sendHead(a *platform.Response) {
	if s.started {
		return
	}
	s.started = true
	if !s.origin.known() {
		s.origin = streamOrigin{source: originResponse, version: s.q.version, learnedAt: time.Now()}
		s.q.versions = []string{s.q.version}
	}
	if s.q.route.Resumable {
		// Before the client has the first event, and with it a reason to return.
		s.node.recordOrigin(s.q, origin.Origin{Service: s.q.service, Version: s.origin.version})
	}
	s.q.headTook = time.Since(s.q.arrived)
	platform.CopyResponseHeader(s.w, a.Header)
	s.w.Header().Del("Content-Length")
	s.node.announceClose(s.w)
	s.w.WriteHeader(a.Status)
	s.release()
}

// forwardEvent forwards one complete event.
func (s *stream) forwardEvent(a *platform.Response, in *eventReader) error {
	s.sendHead(a)
	if in.id != "" {
		s.lastEventID = in.id
	}
	s.events++
	limitWrite(s.w, true)
	defer limitWrite(s.w, false)
	if _, err := in.event.WriteTo(s.w); err != nil {
		return clientGone(err)
	}
	if err := s.flush.Flush(); err != nil {
		return clientGone(err)
	}
	return nil
}
