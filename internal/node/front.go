package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/platform"
)

const (
	// againSoon is told to clients when no endpoint can take a request now.
	againSoon = 300 * time.Millisecond
	// defaultLeft is taken for clients that do not say how long they wait.
	defaultLeft = 30 * time.Second
	// maxBody bounds a request's body when the configuration does not.
	maxBody = 8 << 20
	// mostSends bounds the attempts that reached no endpoint.
	mostSends = 6
	// patienceShare of the objective, but leastPatience at least, is what an
	// endpoint has for its answer while another one may be asked.
	patienceShare = 1.5
	leastPatience = 400 * time.Millisecond
	// delivered is the outcome of requests whose whole answer was passed on.
	delivered = "delivered"
)

// request is a client's request on its way.
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
	// content tells tries of the same request; each has an id of its own.
	content poison.ID
	// prefix is the part of the prompt that decides the placement.
	prefix   uint64
	source   *http.Request
	sent     int
	ran      bool
	endpoint string
	outcome  string
	// leader ran the stages, and predicted was its prediction of their time
	// when it took or refused them.
	leader    string
	predicted time.Duration
	// staged and first are the times from the arrival to the last stage's
	// results and to the answer's head, or 0.
	staged time.Duration
	first  time.Duration
	// afterStop is how long after the process was told to stop the request
	// came, or 0.
	afterStop time.Duration
}

// serveFront takes a client's request.
func (n *Node) serveFront(w http.ResponseWriter, r *http.Request) {
	q := &request{in: platform.ParseClientRequest(r), view: n.view.Load(), arrived: time.Now(), source: r}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if s := n.stop.Load(); s != nil {
		q.afterStop = q.arrived.Sub(s.asked)
	}
	switch status := n.accept(w, q); status {
	case 0:
	case http.StatusServiceUnavailable:
		n.refuse(w, q, status, "not ready", againSoon)
		return
	case http.StatusRequestTimeout:
		n.refuse(w, q, status, "body came too slowly", 0)
		return
	default:
		n.refuse(w, q, status, "not allowed", 0)
		return
	}
	if n.refusePoison(w, q) {
		return
	}
	if !n.endsInTime(q) {
		n.turnAway(w, q)
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

// accept checks a request against the configuration and reads its body. It
// returns a status when the request ends here.
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
	if q.in.RequestID == "" {
		return http.StatusBadRequest
	}
	left := q.in.Timeout
	if left <= 0 {
		left = defaultLeft
	}
	if q.route.Timeout > 0 {
		left = min(left, q.route.Timeout)
	}
	q.deadline = q.arrived.Add(left)
	q.service = q.route.PickBackend(hash.Of(q.in.RequestID))
	limit := cfg.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if status := n.readBody(w, q, limit); status != 0 {
		return status
	}
	q.content = q.identify()
	return 0
}

// identify returns what tells this try from those of other requests.
func (q *request) identify() poison.ID {
	caller := q.account
	if caller == "" {
		caller = q.in.APIKey
	}
	return poison.Identify(poison.Content{Caller: caller, Method: q.source.Method, Host: q.in.Host, Target: q.in.Target, Body: q.body})
}

// readBody reads the request's body and returns a status when the request ends here.
// A body that has not come when the request's time is over ends it as not run: without
// a bound, a client that stops in the middle would be held for ever.
func (n *Node) readBody(w http.ResponseWriter, q *request, limit int64) int {
	if q.source.ContentLength == 0 {
		return 0
	}
	reads := http.NewResponseController(w)
	_ = reads.SetReadDeadline(q.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, q.source.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
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

// tellClose tells a client, before an answer's head goes out, that its connection
// ends with it if this node stops. The client opens its next one elsewhere.
func (n *Node) tellClose(w http.ResponseWriter) {
	if n.stopping() {
		w.Header().Set("Connection", "close")
	}
}

// refuse answers a request that the system ends itself.
func (n *Node) refuse(w http.ResponseWriter, q *request, status int, reason string, again time.Duration) {
	q.outcome = reason
	n.tellClose(w)
	platform.WriteError(w, q.in.RequestID, status, again)
	n.logRequest(q, status)
}

func (n *Node) logRequest(q *request, status int) {
	n.meters.request(q, status)
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	fields := []zap.Field{
		zap.String("id", q.in.RequestID), zap.Stringer("content", q.content), zap.String("route", route), zap.Int("status", status),
		zap.String("outcome", q.outcome), zap.String("endpoint", q.endpoint), zap.Int("sent", q.sent),
		zap.Uint64("config", q.view.version()), zap.String("leader", q.leader), zap.Duration("predicted", q.predicted),
		zap.Duration("staged", q.staged), zap.Duration("first", q.first), zap.Duration("after_stop", q.afterStop), zap.Duration("took", time.Since(q.arrived)),
	}
	if q.lost(status) {
		n.log.Warn(eventRequest, fields...)
		return
	}
	n.log.Info(eventRequest, fields...)
}

// lost reports whether a request failed that may have run or was cut off: it
// ended without a worker's whole answer, and was not refused. Its line is a
// warning, for which the log keeps room. Refusals are none. Those for the
// client's fault are the client's; those as not run come in bursts, which would
// fill that room just when requests are lost, their cause stands in the leader's
// and the node's state lines, and gradetiller_requests_total counts each.
func (q *request) lost(status int) bool {
	switch {
	case q.outcome == delivered:
		return false
	case status == http.StatusServiceUnavailable:
		return false
	case status >= http.StatusInternalServerError:
		return true
	}
	// The head of a stream that was cut off had told success.
	return status < http.StatusBadRequest
}

// outbound is the request as it goes to an endpoint.
func (n *Node) outbound(q *request, e catalog.Endpoint, now time.Time) platform.WorkerRequest {
	return platform.WorkerRequest{
		Connections: intake.NewConnections(q.view.config.Services[e.Service].MaxConns, n.share.Load().nodes),
		Endpoint:    e, Method: q.source.Method, Host: q.source.Host, Target: q.in.Target, Header: q.source.Header,
		Body: q.body, Account: q.account, Timeout: q.deadline.Sub(now), Priority: q.priority, DedicatedConnection: !q.route.Repeatable(),
	}
}

// servePlain takes a request to an endpoint of a plain service.
func (n *Node) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	n.budget.Fresh(q.arrived, q.service, 1)
	if n.rejectClosed(w, q, q.awaitLimit(q.arrived)) {
		return
	}
	var tried []string
	for range mostSends {
		if n.refusePoison(w, q) {
			return
		}
		c, ok := n.choose(ctx, q, need{service: q.service, tried: tried})
		if !ok {
			n.endNotRun(w, q, noEndpointReason)
			return
		}
		tried = append(tried, c.endpoint.ID)
		a, body, event := n.tryPlain(ctx, q, c)
		next := n.next(q, event, a)
		switch next {
		case attempt.Retry:
			continue
		case attempt.Deliver:
			n.deliver(w, q, a, body)
		case attempt.AnswerNotRun:
			n.endNotRun(w, q, "endpoints declined")
		default:
			n.endUnknown(ctx, w, q, "no answer")
		}
		return
	}
	n.endNotRun(w, q, "no endpoint reached")
}

// noEndpointReason is the outcome of requests for which no endpoint is in use.
const noEndpointReason = "no endpoint"

// rejectClosed rejects a request at once if its service has no endpoint in use, nor will have
// before a moment, so that no stage runs for it in vain. It reports whether it did.
func (n *Node) rejectClosed(w http.ResponseWriter, q *request, by time.Time) bool {
	reopens, closed := n.pools.closed(time.Now(), q.service)
	if !closed || !reopens.IsZero() && reopens.Before(by) {
		return false
	}
	n.endNotRun(w, q, noEndpointReason)
	return true
}

// awaitShare is the share of the objective that a request may wait for the end of a backoff; one
// whose stages have run may wait for that share of its deadline.
const awaitShare = 0.5

// awaitLimit is until when a request may wait for the end of a backoff.
func (q *request) awaitLimit(now time.Time) time.Time {
	if q.staged > 0 {
		return now.Add(time.Duration(awaitShare * float64(q.deadline.Sub(now))))
	}
	return q.arrived.Add(time.Duration(awaitShare * float64(q.route.Objective)))
}

// choose picks the endpoint of an attempt. While backoffs keep all from use it waits for the end
// of one, if that is near.
func (n *Node) choose(ctx context.Context, q *request, wants need) (*placed, bool) {
	limit := q.awaitLimit(time.Now())
	for {
		now := time.Now()
		if c, ok := n.pools.choose(now, wants); ok {
			return c, true
		}
		at := n.pools.reopens(now, wants)
		if at.IsZero() || !at.Before(limit) || ctx.Err() != nil {
			return nil, false
		}
		sleep(ctx, at.Sub(now))
	}
}

// next decides about an ended attempt, within the budget of repeats.
func (n *Node) next(q *request, event attempt.Event, a *platform.Response) attempt.Action {
	ended := attempt.Outcome{Event: event, Repeatable: q.route.Repeatable(), Attempts: q.sent, MaxAttempts: q.route.MaxAttempts, MayHaveRun: q.ran}
	if a != nil {
		ended.ServerError = a.Status >= http.StatusInternalServerError
	}
	if event != attempt.NotSent && event != attempt.Rejected {
		q.ran = true
	}
	next := attempt.Decide(ended)
	if next != attempt.Retry || n.takesAnother(q, event) {
		return next
	}
	ended.MaxAttempts = ended.Attempts
	return attempt.Decide(ended)
}

// takesAnother reports whether one more attempt may follow; one that reached no
// endpoint costs nothing of the budget.
func (n *Node) takesAnother(q *request, event attempt.Event) bool {
	if n.ended() {
		return false
	}
	if event == attempt.NotSent {
		return true
	}
	return time.Until(q.deadline) > 0 && n.budget.Take(time.Now(), q.service, 1)
}

// tryPlain sends one attempt and reads its whole answer.
func (n *Node) tryPlain(ctx context.Context, q *request, c *placed) (*platform.Response, []byte, attempt.Event) {
	q.endpoint = c.endpoint.ID
	limited, cancel := context.WithTimeout(ctx, q.patience(time.Now()))
	defer cancel()
	a, err := n.workers.Send(limited, n.outbound(q, c.endpoint, time.Now()))
	if err != nil {
		return nil, nil, n.faulted(ctx, limited, q, c, err)
	}
	defer a.Body.Close()
	event := a.Event
	if !a.Misdirected {
		q.sent++
	}
	if event == attempt.Rejected {
		n.log.Info(eventEndpointDeclined, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Int("status", a.Status))
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		n.log.Info(eventAnswerBroken, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Error(err))
		if event != attempt.Rejected {
			event = attempt.NoResponse
			n.recordBrokenRuns(limited, c.endpoint, time.Since(c.started), q.content)
		}
	}
	if event == attempt.FirstByte {
		event = attempt.Complete
	}
	now := time.Now()
	c.end(now, place.Result{OK: event == attempt.Complete, Neutral: event == attempt.Fail && a.Status < 500 || a.Signals.Backoff > 0, Load: load(a, now)})
	return a, body, event
}

func load(a *platform.Response, now time.Time) place.Load {
	if !a.Signals.Load.Known {
		return place.Load{}
	}
	return place.Load{Calls: a.Signals.Load.Busy, ReceivedAt: now}
}

// patience is how long an attempt may go without an answer: until the deadline,
// but less when another endpoint may be asked. An endpoint that hangs must not
// take all of the time.
func (q *request) patience(now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	if !q.route.Repeatable() || q.sent+1 >= q.route.MaxAttempts {
		return left
	}
	usual := time.Duration(patienceShare * float64(q.route.Objective))
	return min(max(usual, leastPatience), left/2)
}

// isBlocked reports whether an attempt was not sent since its endpoint's signals forbid it.
func isBlocked(err error) bool {
	var blocked *signal.BlockedError
	return errors.As(err, &blocked)
}

// faulted counts an attempt that has no answer; ctx is the request's, limited the
// attempt's own.
func (n *Node) faulted(ctx, limited context.Context, q *request, c *placed, err error) attempt.Event {
	var fault *platform.SendError
	sent := errors.As(err, &fault) && fault.Sent
	// A client that left before its answer was late says nothing of the
	// endpoint; one that waited longer than the objective does.
	left := ctx.Err() != nil && time.Since(c.started) < q.route.Objective
	blocked := isBlocked(err)
	n.learnBlocked(err)
	c.end(time.Now(), place.Result{Neutral: left || blocked, Unreachable: !sent && !blocked})
	n.log.Info(eventAttemptFailed, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Bool("sent", sent), zap.Error(err))
	if !sent {
		return attempt.NotSent
	}
	q.sent++
	n.recordBrokenRuns(limited, c.endpoint, time.Since(c.started), q.content)
	return attempt.NoResponse
}

// deliver passes a whole answer on.
func (n *Node) deliver(w http.ResponseWriter, q *request, a *platform.Response, body []byte) {
	q.outcome = delivered
	platform.CopyResponseHeader(w, a.Header)
	n.tellClose(w)
	w.WriteHeader(a.Status)
	_, err := w.Write(body)
	if err == nil && a.Status < http.StatusBadRequest {
		n.recordServed(q)
	}
	n.logRequest(q, a.Status)
}

// endNotRun tells the client that its request has not run, and when to come
// back; or promises nothing if it may have run.
func (n *Node) endNotRun(w http.ResponseWriter, q *request, reason string) {
	reason = n.givenUp(q, reason)
	if q.ran {
		n.refuse(w, q, http.StatusBadGateway, reason, 0)
		return
	}
	n.refuse(w, q, http.StatusServiceUnavailable, reason, n.retryAfter(q.service))
}

// endUnknown tells the client that its request failed, and promises nothing.
func (n *Node) endUnknown(ctx context.Context, w http.ResponseWriter, q *request, reason string) {
	if n.ended() {
		n.endNotRun(w, q, reason)
		return
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	n.refuse(w, q, status, reason, 0)
}
