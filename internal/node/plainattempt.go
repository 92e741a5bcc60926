package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/membudget"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/platform"
)

// maxHeldResponse bounds what is held of a plain response. One that is held whole can be replaced by that of another
// endpoint if it breaks off; the rest of a larger one is passed on as it arrives.
const maxHeldResponse = 1 << 20

// plainAttempt is an attempt at a plain service that has ended, or whose response is to be passed on. It must be
// delivered or dropped.
type plainAttempt struct {
	node *Node
	call *placedCall
	// request is the attempt's request as it was when the attempt ended.
	request  request
	response *platform.Response
	// body is what is held of the response's body, and rest what is still to be read of it, or nil.
	body  *bounded.Buffer
	rest  io.Reader
	event attempt.Event
	// cancel ends a read of the rest in progress.
	cancel  context.CancelFunc
	closers []func()
}

// usable reports whether the attempt has a response to deliver.
func (a *plainAttempt) usable() bool {
	return a.event == attempt.Complete || a.event == attempt.Fail && a.response.Status < http.StatusInternalServerError
}

// onClose calls f when the attempt needs its response no more, at once if that is so already.
func (a *plainAttempt) onClose(f func()) {
	if a.rest == nil {
		f()
		return
	}
	a.closers = append(a.closers, f)
}

// close ends the attempt. If the rest of the response was not read, its connection is closed.
func (a *plainAttempt) close() {
	a.runClosers()
	a.rest = nil
	if a.body != nil {
		a.body.Release()
	}
}

// runClosers calls what ends the attempt's response, last added first.
func (a *plainAttempt) runClosers() {
	for _, f := range slices.Backward(a.closers) {
		f()
	}
	a.closers = nil
}

// drop gives up the response.
func (a *plainAttempt) drop() {
	if a.rest != nil {
		a.finish(place.Result{Neutral: a.event == attempt.Complete || a.response.Status < http.StatusInternalServerError})
	}
	a.close()
}

// finish records the result of the call.
func (a *plainAttempt) finish(r place.Result) {
	now := time.Now()
	r.Neutral = r.Neutral || a.response.Signals.Backoff > 0
	a.call.finish(now, a.node.withLoad(a.response, now, r))
}

// tryPlain sends one attempt and reads its response, or as much of it as is held.
func (n *Node) tryPlain(ctx context.Context, q *request, c *placedCall) *plainAttempt {
	q.endpoint, q.version = c.endpoint.ID, c.endpoint.Version
	limited, cancel := context.WithCancel(ctx)
	stopTimer := q.cancelHung(time.Now(), cancel)
	defer stopTimer()
	a := &plainAttempt{node: n, call: c, cancel: cancel, closers: []func(){cancel}}
	err := n.contain(taskAttempt, q.in.RequestID, func() error {
		n.sendPlain(ctx, limited, q, a)
		return nil
	})
	if err != nil {
		a.event, a.rest = n.recordPanic(q, c), nil
		a.request = *q
		a.close()
	}
	return a
}

// sendPlain sends an attempt with the context limited, and reads its response. ctx is the context of the request.
func (n *Node) sendPlain(ctx, limited context.Context, q *request, a *plainAttempt) {
	c := a.call
	resp, err := n.workers.Send(limited, n.workerRequest(q, c.endpoint, time.Now()))
	if err != nil {
		a.event = n.recordSendError(ctx, limited, q, c, err)
		a.request = *q
		a.close()
		return
	}
	a.response, a.event = resp, resp.Event
	a.closers = append(a.closers, func() { _ = resp.Body.Close() })
	c.answeredAt = time.Now()
	n.recordAnswer(c.endpoint.ID, c.started)
	q.slowdown, q.relay = resp.Signals.Load.Slowdown, resp.Relay
	if !resp.Misdirected {
		q.sent++
	}
	a.request = *q
	if a.event == attempt.Rejected {
		n.log.Info(eventEndpointDeclined, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Int("status", resp.Status))
		_ = resp.Discard()
		a.finish(place.Result{})
		a.close()
		return
	}
	a.read(limited, q)
}

// read reads the body of the response, until its end or as much of it as is held. A response that breaks off before
// that counts as none.
func (a *plainAttempt) read(ctx context.Context, q *request) {
	n, c, resp := a.node, a.call, a.response
	a.body = bounded.NewBuffer(n.memory.Reservation(membudget.Responses), maxHeldResponse)
	a.body.Expect(resp.Length)
	err := a.body.Fill(resp.Body)
	switch {
	case err == nil:
	case errors.Is(err, bounded.ErrLimit), errors.Is(err, bounded.ErrNoRoom):
		a.rest = resp.Body
	default:
		n.log.Info(eventAnswerBroken, zap.String("id", q.in.RequestID), zap.String("endpoint", c.endpoint.ID), zap.Int64("bytes", a.body.Len()), zap.Bool("framed", resp.Framed), zap.Error(err))
		a.event = attempt.NoResponse
		n.recordBrokenRuns(ctx, c.endpoint, time.Since(c.started), q.identity)
	}
	if a.event == attempt.FirstByte {
		a.event = attempt.Complete
	}
	if a.rest == nil {
		a.finishComplete(q)
		a.runClosers()
	}
}

// finishComplete records the result of a call whose response was read to its end.
func (a *plainAttempt) finishComplete(q *request) {
	if a.event == attempt.Complete && !a.response.Framed {
		a.node.recordUnframedEnd(q, a.call.endpoint)
	}
	a.finish(place.Result{OK: a.event == attempt.Complete, Neutral: a.event == attempt.Fail && a.response.Status < http.StatusInternalServerError})
}

// deliver forwards a response to the client.
func (n *Node) deliver(ctx context.Context, w http.ResponseWriter, q *request, a *plainAttempt) {
	defer a.close()
	platform.CopyResponseHeader(w, a.response.Header)
	n.announceClose(w)
	w.WriteHeader(a.response.Status)
	limitWrite(w, true)
	_, err := a.body.WriteTo(w)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	limitWrite(w, false)
	if a.rest != nil {
		n.passOn(ctx, w, q, a, err)
	}
	q.outcome = delivered
	if err == nil && a.response.Status < http.StatusBadRequest {
		n.recordServed(q, a.response.Framed)
	}
	n.logRequest(q, a.response.Status)
}

// passOn forwards the rest of a response as it arrives, unless the part that was held could not be written, with the
// given error. It aborts the client's connection if the response breaks off, so that what the client has never looks
// complete.
func (n *Node) passOn(ctx context.Context, w http.ResponseWriter, q *request, a *plainAttempt, err error) {
	begun, size, out := time.Now(), a.body.Len(), &clientWriter{w: w}
	n.log.Info(eventResponsePassedOn, zap.String("id", q.in.RequestID), zap.String("endpoint", q.endpoint), zap.String("route", q.route.Name), zap.Int64("held", size), zap.Int64("bound", maxHeldResponse), zap.Int64("length", a.response.Length))
	n.meters.responsePassedOn(q.service)
	stop := context.AfterFunc(ctx, a.cancel)
	defer stop()
	if err != nil {
		err = clientGone(err)
	} else {
		var passed int64
		passed, err = a.body.Pass(out, a.rest)
		size += passed
	}
	if err == nil {
		a.finishComplete(q)
		return
	}
	reason := cutBroken
	switch {
	case errors.Is(err, errClientGone), errors.Is(ctx.Err(), context.Canceled), 2*out.waited > time.Since(begun):
		// A response that is late because the client reads slowly says nothing about the endpoint.
		reason = cutByClient
	case ctx.Err() != nil:
		reason = cutByDeadline
	}
	n.abortPassedOn(ctx, q, a, reason, size, err)
}

// abortPassedOn ends a response of which the client has a part. It does not return.
func (n *Node) abortPassedOn(ctx context.Context, q *request, a *plainAttempt, reason cutReason, size int64, err error) {
	a.finish(place.Result{Neutral: reason == cutByClient})
	if reason == cutBroken && !n.lostHere(q.endpoint) {
		n.recordBrokenRuns(ctx, a.call.endpoint, time.Since(a.call.started), q.identity)
	}
	n.recordCut(q, cut{kind: membudget.Responses, reason: reason, bytes: size, bound: maxHeldResponse, begun: true, err: err})
	q.outcome = "broken: " + n.failureReason(q, err.Error())
	n.logRequest(q, a.response.Status)
	abortResponse(q.source)
}

// clientWriter writes to a client, which may take clientStallTimeout for each part.
type clientWriter struct {
	w http.ResponseWriter
	// waited is the time that the client took.
	waited time.Duration
}

// Write implements io.Writer. The error wraps errClientGone.
func (c *clientWriter) Write(p []byte) (int, error) {
	begun := time.Now()
	limitWrite(c.w, true)
	n, err := c.w.Write(p)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	limitWrite(c.w, false)
	c.waited += time.Since(begun)
	if err != nil {
		return n, clientGone(err)
	}
	return n, nil
}
