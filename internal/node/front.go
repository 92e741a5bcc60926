package node

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/membudget"
	"gradetiller.example/internal/core/pending"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/platform"
)

const (
	// minRetryAfter is the shortest retry delay announced to clients when no endpoint
	// accepts a request.
	minRetryAfter = pending.MinRetryAfter
	// defaultTimeout applies to clients that don't send a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds the request body if the configuration doesn't.
	defaultMaxBodyBytes = 8 << 20
	// maxSends bounds the attempts per request, including those that reached no endpoint.
	maxSends = 6
	// An attempt that may be followed by another times out after attemptTimeoutFactor times
	// the route's objective, but not before minAttemptTimeout.
	attemptTimeoutFactor = 1.5
	minAttemptTimeout    = 400 * time.Millisecond
	// delivered is the outcome of requests whose response was forwarded completely.
	delivered = "delivered"
	// heldShare is the part of the instance's memory that the bodies of requests and responses may
	// take. Each may exist twice for a moment, and the rest of the process needs some.
	heldShare = 0.25
	// clientStallTimeout is how long a client may leave a part of its response unread. Its
	// endpoint ends the response after some seconds too.
	clientStallTimeout = 5 * time.Second
)

// request is a client request in flight.
type request struct {
	in       platform.ClientRequest
	route    *catalog.Route
	view     *view
	service  string
	account  string
	priority int
	arrived  time.Time
	deadline time.Time
	body     []byte
	// content identifies the request across client retries, each of which has a request id
	// of its own.
	content poison.ID
	// identity is what the request has in common with others that may crash endpoints.
	identity poison.Request
	// refusedFor is the content or the prompt part for which the request is refused, or zero.
	refusedFor poison.ID
	// regions are the regions that may serve the request.
	regions catalog.Regions
	// versions are the software versions at which the request may run, or nil if at any: those that
	// wrote the events that the client has.
	versions []string
	// prefix is the key of the prompt prefix by which the request is placed.
	prefix uint64
	source *http.Request
	// held is reserved for the request's body.
	held       *membudget.Reservation
	sent       int
	mayHaveRun bool
	// memoryShort is true if the body was refused for want of memory.
	memoryShort bool
	endpoint    string
	// version is the software version of the endpoint of the last attempt.
	version string
	outcome string
	// leader is the node that ran the stages, and predicted the duration that it predicted
	// for them when it accepted or refused them.
	leader    string
	predicted time.Duration
	// stagesTook and headTook are the times from the arrival to the results of the last
	// stage and to the response header, or 0.
	stagesTook time.Duration
	headTook   time.Duration
	// slowdown is what the endpoint of the last attempt stated with its answer, or 0.
	slowdown float64
	// relay is the peer address of the node through which the last answer came, or "".
	relay string
	// afterStop is the time from the start of the shutdown to the arrival, or 0.
	afterStop time.Duration
}

// serveFront handles a client request.
func (n *Node) serveFront(w http.ResponseWriter, r *http.Request) {
	q := &request{in: platform.ParseClientRequest(r), view: n.view.Load(), arrived: time.Now(), source: r}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	q.held = n.memory.Reservation(membudget.Requests)
	defer q.held.Release()
	if s := n.shutdown.Load(); s != nil {
		q.afterStop = q.arrived.Sub(s.requestedAt)
	}
	switch status := n.accept(w, q); status {
	case 0:
	case http.StatusServiceUnavailable:
		reason := "not ready"
		if q.memoryShort {
			reason = errMemoryShort.Error()
		}
		n.refuse(w, q, status, reason, minRetryAfter)
		return
	case http.StatusRequestTimeout:
		n.refuse(w, q, status, "body came too slowly", 0)
		return
	case http.StatusMisdirectedRequest:
		n.refuse(w, q, status, "outside its home regions", 0)
		return
	default:
		n.refuse(w, q, status, "not allowed", 0)
		return
	}
	if n.refuseArrivingPoison(w, q) {
		return
	}
	if !n.finishesInTime(q) {
		n.refuseStopping(w, q)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.route.Kind == catalog.Streaming {
		n.serveStream(ctx, w, q)
		return
	}
	n.servePlain(ctx, w, q)
}

// accept checks a request against the configuration and reads its body. It returns the
// status with which to refuse the request, or 0.
func (n *Node) accept(w http.ResponseWriter, q *request) int {
	if !q.view.complete() || !n.caughtUp() {
		return http.StatusServiceUnavailable
	}
	cfg := q.view.config
	q.route = cfg.Match(q.in.Host, q.in.Path)
	if q.route == nil {
		return http.StatusNotFound
	}
	account := cfg.Account(q.in.APIKey)
	if account == nil && !q.route.Public && len(cfg.Accounts) > 0 {
		return http.StatusUnauthorized
	}
	q.priority = q.route.Priority
	if account != nil {
		q.account = account.Name
		if account.HasPriority {
			q.priority = account.Priority
		}
	}
	if q.in.RequestID == "" || !stagepool.PiecesInRange(q.in.Pieces...) {
		return http.StatusBadRequest
	}
	if status := n.checkRegion(q, account); status != 0 {
		return status
	}
	left := q.in.Timeout
	if left <= 0 {
		left = defaultTimeout
	}
	if q.route.Timeout > 0 {
		left = min(left, q.route.Timeout)
	}
	q.deadline = q.arrived.Add(left)
	q.service = q.route.PickBackend(hash.Of(q.in.RequestID))
	limit := cfg.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if status := n.readBody(w, q, limit); status != 0 {
		return status
	}
	q.content = q.contentID()
	q.identity = poison.NewRequest(q.content, q.service, q.promptNames())
	return 0
}

// promptNames returns the names of the parts of the request's prompt.
func (q *request) promptNames() []string {
	names := make([]string, len(q.in.PromptPrefix))
	for i, part := range q.in.PromptPrefix {
		names[i] = part.Name
	}
	return names
}

// contentID returns an ID that is the same for all retries of a request by its client, and
// differs between requests.
func (q *request) contentID() poison.ID {
	return poison.Identify(poison.Content{Caller: q.caller(), Method: q.source.Method, Host: q.in.Host, Target: q.in.Target, Body: q.body})
}

// readBody reads the request body and returns the status with which to refuse the request,
// or 0. The body must arrive by the request's deadline: without a limit, a client that stops
// sending would occupy its connection forever.
func (n *Node) readBody(w http.ResponseWriter, q *request, limit int64) int {
	if q.source.ContentLength == 0 {
		return 0
	}
	reads := http.NewResponseController(w)
	_ = reads.SetReadDeadline(q.deadline)
	body, err := n.readHeld(q, http.MaxBytesReader(w, q.source.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errMemoryShort):
		q.memoryShort = true
		return http.StatusServiceUnavailable
	case err == nil:
		_ = reads.SetReadDeadline(time.Time{})
		q.body = body
		return 0
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// errMemoryShort means that the bodies of other requests take all memory that bodies may take.
var errMemoryShort = errors.New("no memory for the request's body")

// bodyStep is the number of bytes of a body that are reserved at a time.
const bodyStep = 32 << 10

// readHeld reads a body whose bytes are reserved before they are read.
func (n *Node) readHeld(q *request, from io.Reader) ([]byte, error) {
	var body bytes.Buffer
	if size := q.source.ContentLength; size > 0 {
		if !n.memory.Admits(size) || !q.held.TryGrow(size) {
			return nil, errMemoryShort
		}
		body.Grow(int(min(size, bodyStep)))
		_, err := body.ReadFrom(from)
		return body.Bytes(), err
	}
	for {
		// A body of unknown size is large once it exceeds one step.
		if !n.memory.Admits(int64(body.Len())+1) || !q.held.TryGrow(bodyStep) {
			return nil, errMemoryShort
		}
		switch _, err := io.CopyN(&body, from, bodyStep); {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}

// limitWrite bounds the time that the client may take to accept the next part of its response, or
// removes the bound.
func limitWrite(w http.ResponseWriter, bounded bool) {
	at := time.Time{}
	if bounded {
		at = time.Now().Add(clientStallTimeout)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}

// connContextKey is the context key of the connection of a client's request.
type connContextKey struct{}

// abortResponse ends the client's connection in the middle of a response. It does not return. A response to HTTP/1.0 has no chunks, so
// that the connection is reset: an end in order would look like that of a whole response.
func abortResponse(r *http.Request) {
	if conn, ok := r.Context().Value(connContextKey{}).(*net.TCPConn); ok && !r.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// announceClose adds "Connection: close" to a response header that is not yet sent if this
// node is shutting down, so that the client opens its next connection to another node.
func (n *Node) announceClose(w http.ResponseWriter) {
	if n.stopping() {
		w.Header().Set("Connection", "close")
	}
}

// refuse answers a request with an error of this system and logs it.
func (n *Node) refuse(w http.ResponseWriter, q *request, status int, reason string, retryAfter time.Duration) {
	q.outcome = reason
	n.announceClose(w)
	platform.WriteError(w, q.in.RequestID, status, retryAfter)
	n.logRequest(q, status)
}

func (n *Node) logRequest(q *request, status int) {
	n.meters.request(q, status)
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	fields := []zap.Field{
		zap.String("id", q.in.RequestID), zap.Stringer("content", q.content), zap.String("route", route), zap.String("account", q.account), zap.Int("size", q.size()), zap.Int("status", status),
		zap.String("outcome", q.outcome), zap.String("endpoint", q.endpoint), zap.Int("sent", q.sent),
		zap.Uint64("config", q.view.version()), zap.String("leader", q.leader), zap.Duration("predicted", q.predicted),
		zap.Duration("staged", q.stagesTook), zap.Duration("first", q.headTook), zap.Duration("after_stop", q.afterStop), zap.Duration("took", time.Since(q.arrived)),
	}
	if q.late(time.Now()) {
		fields = append(fields, zap.Bool("late", true))
	}
	if q.version != "" {
		fields = append(fields, zap.String("version", q.version))
	}
	if q.continues() {
		fields = append(fields, zap.String("resumes", q.in.Resumes), zap.String("after", q.in.LastEventID))
	}
	if q.relay != "" {
		fields = append(fields, zap.String("relay", q.relay))
	}
	if !q.refusedFor.IsZero() {
		fields = append(fields, zap.Stringer("refused_for", q.refusedFor), zap.Stringers("parts", q.identity.Parts))
	}
	if q.slowdown > 0 {
		fields = append(fields, zap.Float64("slowdown", q.slowdown))
	}
	if q.lost(status) {
		n.log.Warn(eventRequest, fields...)
		return
	}
	n.log.Info(eventRequest, fields...)
}

// size returns the length of the request's prompt and of the longest response that it allows, in tokens.
func (q *request) size() int { return q.in.PromptTokens + q.in.MaxTokens }

// late reports whether a response that is delivered by now began after the request's objective.
func (q *request) late(now time.Time) bool {
	if q.outcome != delivered || q.route == nil || q.route.Objective <= 0 {
		return false
	}
	return cmp.Or(q.headTook, now.Sub(q.arrived)) > q.route.Objective
}

// lost reports whether a request ended without a complete response although it may have run.
// Lost requests are logged as warnings, for which the log reserves space. Refusals are not:
// some are caused by the client, and 503 responses come in bursts that would use up the
// reserved space just when requests are lost. The cause of a 503 is in the state lines of the
// leader and the node, and gradetiller_requests_total counts each of them.
func (q *request) lost(status int) bool {
	switch {
	case q.outcome == delivered:
		return false
	case status == http.StatusServiceUnavailable:
		return false
	case status >= http.StatusInternalServerError:
		return true
	}
	// The header of an aborted stream had already announced success.
	return status < http.StatusBadRequest
}

// workerRequest returns the request as sent to an endpoint.
func (n *Node) workerRequest(q *request, e catalog.Endpoint, now time.Time) platform.WorkerRequest {
	return platform.WorkerRequest{
		Check:       func() error { return n.checkPoison(q) },
		Connections: intake.NewConnections(q.view.config.Services[e.Service].MaxConns, n.share.Load().nodes),
		Endpoint:    e, Method: q.source.Method, Host: q.source.Host, Target: q.in.Target, Header: q.source.Header,
		Body: q.body, Account: q.account, Timeout: q.deadline.Sub(now), Priority: q.priority, DedicatedConnection: !q.route.Repeatable(),
	}
}

// servePlain forwards a request to an endpoint of a plain service, with retries.
func (n *Node) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	n.budget.AddRequests(q.arrived, q.service, 1)
	n.recordOwnMix(q)
	if n.refuseIfBackedOff(w, q, q.backoffWaitLimit(q.arrived)) {
		return
	}
	var tried []string
	for range maxSends {
		waiting, endWait := n.waits.begin(ctx, q)
		c, ok := n.choose(waiting, q, need{service: q.service, tried: tried, arm: n.armOf(q), domains: n.domainsOf(q.regions)})
		endWait()
		if n.refusePoison(w, q) {
			if ok {
				c.finish(time.Now(), place.Result{Neutral: true})
			}
			return
		}
		if !ok {
			n.answerNotRun(w, q, noEndpointReason)
			return
		}
		if !n.finishesAttempt(q) {
			c.finish(time.Now(), place.Result{Neutral: true})
			n.endStopping(w, q)
			return
		}
		tried = append(tried, c.endpoint.ID)
		a := n.tryWithSecond(ctx, q, c, &tried)
		next := n.nextAction(q, a.event, a.response)
		if next == attempt.Deliver {
			n.deliver(ctx, w, q, a)
			return
		}
		a.drop()
		switch next {
		case attempt.Retry:
			continue
		case attempt.AnswerNotRun:
			n.answerNotRun(w, q, "endpoints declined")
		default:
			n.answerUnknown(ctx, w, q, "no answer")
		}
		return
	}
	n.answerNotRun(w, q, "no endpoint reached")
}

// noEndpointReason is the outcome of requests for which no endpoint is available.
const noEndpointReason = "no endpoint"

// refuseIfBackedOff refuses a request if all endpoints of its service are in backoff and none
// leaves it before the given time, and reports whether it did. This avoids running stages whose
// results could not be used.
func (n *Node) refuseIfBackedOff(w http.ResponseWriter, q *request, by time.Time) bool {
	firstEnd, all := n.pools.allBackedOff(time.Now(), q.service)
	if !all || !firstEnd.IsZero() && firstEnd.Before(by) {
		return false
	}
	n.answerNotRun(w, q, noEndpointReason)
	return true
}

// backoffWaitShare is the share of the objective that a request may wait for the end of a
// backoff. A request whose stages have run may wait for that share of its remaining time.
const backoffWaitShare = 0.5

// backoffWaitLimit returns the time until which a request may wait for the end of a backoff.
func (q *request) backoffWaitLimit(now time.Time) time.Time {
	if q.stagesTook > 0 {
		return now.Add(time.Duration(backoffWaitShare * float64(q.deadline.Sub(now))))
	}
	return q.arrived.Add(time.Duration(backoffWaitShare * float64(q.route.Objective)))
}

// slotPollInterval is how often a request looks for a free slot of a brittle endpoint.
const slotPollInterval = 10 * time.Millisecond

// choose picks the endpoint of an attempt. If all endpoints are in backoff it waits for the first
// one to leave it, up to backoffWaitLimit. If a stream can go on only at some versions, it waits for a
// free endpoint of these as long as the pause between two events may last.
func (n *Node) choose(ctx context.Context, q *request, wants need) (*placedCall, bool) {
	begun := time.Now()
	limit := q.backoffWaitLimit(begun)
	if pauseEnd := begun.Add(q.route.MaxEventGap); len(wants.versions) > 0 && pauseEnd.After(limit) {
		limit = pauseEnd
	}
	for {
		now := time.Now()
		if c, ok := n.pools.choose(now, wants); ok {
			n.trackRollout(c, q, wants.arm)
			return c, true
		}
		at := n.pools.nextAfterBackoff(now, wants)
		if at.IsZero() && (n.brittle.active(wants.service) || len(wants.versions) > 0 && n.pools.lists(wants)) {
			at = now.Add(slotPollInterval)
		}
		if at.IsZero() || !at.Before(limit) || ctx.Err() != nil {
			return nil, false
		}
		sleep(ctx, at.Sub(now))
	}
}

// nextAction decides what follows an attempt, within the retry budget.
func (n *Node) nextAction(q *request, event attempt.Event, a *platform.Response) attempt.Action {
	ended := attempt.Outcome{Event: event, Repeatable: q.route.Repeatable(), Attempts: q.sent, MaxAttempts: q.route.MaxAttempts, MayHaveRun: q.mayHaveRun}
	if a != nil {
		ended.ServerError = a.Status >= http.StatusInternalServerError
	}
	if event != attempt.NotSent && event != attempt.Rejected {
		q.mayHaveRun = true
	}
	next := attempt.Decide(ended)
	if next != attempt.Retry || n.mayRetry(q, event) {
		return next
	}
	ended.MaxAttempts = ended.Attempts
	return attempt.Decide(ended)
}

// mayRetry reports whether another attempt may follow. An attempt that reached no endpoint
// doesn't use the retry budget. A request that is suspected of crashing endpoints is not sent to a second
// one.
func (n *Node) mayRetry(q *request, event attempt.Event) bool {
	if n.terminated() {
		return false
	}
	if event == attempt.NotSent {
		return true
	}
	if event != attempt.Rejected && !n.poisonGuard.mayRetry(q.identity) {
		return false
	}
	return time.Until(q.deadline) > 0 && n.budget.TryAcquire(time.Now(), q.service, 1)
}

// withLoad adds to the result of a call the slowdown that the endpoint's answer stated, or else the load.
// An endpoint that states a slowdown changes faster than its load is heard of: with the load as well, 4
// endpoints of 96 nodes at four times their usual rate served 0.907 of the requests in time, with the
// slowdown alone 0.941 (TestUnevenPlainEndpoints).
func (n *Node) withLoad(a *platform.Response, now time.Time, r place.Result) place.Result {
	switch load := a.Signals.Load; {
	case load.Slowdown == 0 && load.Known:
		r.Load = place.Load{Calls: load.Busy, ReceivedAt: now}
	case !n.disabled.Has(mechanism.Slowdown):
		r.Slowdown = load.Slowdown
	}
	return r
}

// attemptTimeout returns how long an attempt may wait for a response: until the deadline, or
// less if another attempt may follow, so that an endpoint that hangs doesn't use up all of the
// request's time.
func (q *request) attemptTimeout(now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	if !q.route.Repeatable() || q.sent+1 >= q.route.MaxAttempts {
		return left
	}
	usual := time.Duration(attemptTimeoutFactor * float64(q.route.Objective))
	return min(max(usual, minAttemptTimeout), left/2)
}

// cancelHung calls cancel once an attempt begun now has waited too long for a response, and returns a function that
// stops that. At the request's deadline its context ends by itself, with an error that tells why.
func (q *request) cancelHung(now time.Time, cancel func()) (stop func() bool) {
	timeout := q.attemptTimeout(now)
	if !now.Add(timeout).Before(q.deadline) {
		return func() bool { return true }
	}
	return time.AfterFunc(timeout, cancel).Stop
}

// isBlocked reports whether an attempt was not sent because of a signal from its endpoint.
func isBlocked(err error) bool {
	var blocked *signal.BlockedError
	return errors.As(err, &blocked)
}

// isRefused reports whether an attempt failed because the endpoint refused the connection.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// recordSendError records an attempt without a response. ctx is the context of the request and
// limited that of the attempt.
func (n *Node) recordSendError(ctx, limited context.Context, q *request, c *placedCall, err error) attempt.Event {
	var fault *platform.SendError
	sent := errors.As(err, &fault) && fault.Sent
	// A client that disconnects within the objective says nothing about the endpoint; one that
	// waited longer than the objective does.
	left := ctx.Err() != nil && time.Since(c.started) < q.route.Objective
	blocked := isBlocked(err) || errors.Is(err, errPoison)
	n.recordBlocked(err)
	lost := n.lostHere(c.endpoint.ID)
	c.finish(time.Now(), place.Result{Neutral: left || blocked || lost || isCut(err), Unreachable: !sent && !blocked, Refused: isRefused(err)})
	if errors.Is(err, platform.ErrBodyNotTaken) {
		n.log.Warn(eventBodyNotTaken, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Int("bytes", len(q.body)))
	}
	n.log.Info(eventAttemptFailed, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Bool("sent", sent), zap.Error(err))
	if !sent {
		return attempt.NotSent
	}
	q.sent++
	if isCut(err) {
		n.recordCut(q, cut{kind: membudget.Headers, reason: cutReasonOf(err), bound: platform.MaxResponseHeader, err: err})
		return attempt.NoResponse
	}
	if errors.Is(err, platform.ErrPathLost) {
		return attempt.NoResponse
	}
	if !left {
		n.checkPath(c.endpoint)
	}
	n.recordBrokenRuns(limited, c.endpoint, time.Since(c.started), q.identity)
	return attempt.NoResponse
}

// answerNotRun refuses a request as not executed, with a retry delay. If the request may have
// been executed, it answers 502 without one.
func (n *Node) answerNotRun(w http.ResponseWriter, q *request, reason string) {
	reason = n.failureReason(q, reason)
	if q.mayHaveRun {
		n.refuse(w, q, http.StatusBadGateway, reason, 0)
		return
	}
	n.refuse(w, q, http.StatusServiceUnavailable, reason, n.retryAfter(q.service))
}

// answerUnknown answers a request that failed and may have been executed.
func (n *Node) answerUnknown(ctx context.Context, w http.ResponseWriter, q *request, reason string) {
	if n.terminated() {
		n.answerNotRun(w, q, reason)
		return
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	n.refuse(w, q, status, reason, 0)
}
