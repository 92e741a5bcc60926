package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/origin"
)

// originSource is how a node knows at which software version a stream began.
type originSource string

// The sources of origins, as used in logs and metrics.
const (
	// originUnknown means that this node does not know where the stream began.
	originUnknown originSource = "unknown"
	// originResponse means that the stream began in the same response.
	originResponse originSource = "response"
	// originOwn means that this node holds a record of it, and originPeer that another node does.
	originOwn  originSource = "own"
	originPeer originSource = "peer"
	// originStored means that the record was read from the store.
	originStored originSource = "store"
	// originAssumed means that no record was found, and that only one version has served lately.
	originAssumed originSource = "assumed"
)

// streamOrigin is where a stream began, as far as this node knows.
type streamOrigin struct {
	source originSource
	// version is the software version of the endpoint that sent the first event. It is "" if that
	// endpoint states none.
	version string
	// learnedAt is when this node learned the version.
	learnedAt time.Time
}

// known reports whether the version is known.
func (o streamOrigin) known() bool { return o.source != originUnknown && o.source != "" }

// compare returns "same", "different" or "unknown", for the version at which the stream goes on.
func (o streamOrigin) compare(version string) string {
	switch {
	case !o.known():
		return "unknown"
	case o.version == version:
		return "same"
	}
	return "different"
}

// continues reports whether the next attempt continues a stream of which the client has events.
func (s *stream) continues() bool { return s.started || s.q.continues() }

// continues reports whether a client's request continues a stream of an earlier attempt.
func (q *request) continues() bool { return q.in.Resumes != "" || q.in.LastEventID != "" }

// Outcomes of streams that can't go on.
const (
	// noVersionReason means that no endpoint of the software version that began the stream accepts work.
	noVersionReason = "no endpoint of the stream's software version"
	// noOriginReason means that it is not known where the stream began.
	noOriginReason = "unknown where the stream began"
	// movedReason means that the route no longer leads to the service that began the stream.
	movedReason = "the route has left the stream's service"
)

// Retry delays of streams that can't go on now.
const (
	// noVersionRetryAfter is about the time in which an endpoint that crashed is listed again.
	noVersionRetryAfter = time.Second
	// noOriginRetryAfter is about the time in which a record is copied to its new owners.
	noOriginRetryAfter = 2 * originCopyInterval
)

// admitContinued ties a request that continues a stream to the service and the software version that began
// it. If these are not known, or can't serve it, the request is refused and admitContinued returns false.
func (n *Node) admitContinued(ctx context.Context, s *stream) bool {
	q := s.q
	found := n.findOrigin(ctx, q)
	if found.result != origin.Found {
		n.log.Info(eventOriginUnknown, zap.String("id", q.in.RequestID), zap.String("resumes", q.in.Resumes), zap.Stringer("result", found.result), zap.Int("asked", found.asked), zap.Int("silent", found.silent))
		n.refuseContinued(s, found.result.String(), noOriginReason, noOriginRetryAfter)
		return false
	}
	s.origin = streamOrigin{source: found.source, version: found.record.Origin.Version, learnedAt: time.Now()}
	if !q.route.LeadsTo(found.record.Origin.Service) {
		n.refuseContinued(s, "moved", movedReason, noVersionRetryAfter)
		return false
	}
	q.service, q.versions = found.record.Origin.Service, []string{found.record.Origin.Version}
	if !n.mayGoOn(s.need(nil)) {
		n.refuseContinued(s, "no endpoint", noVersionReason, noVersionRetryAfter)
		return false
	}
	return true
}

// refuseContinued refuses a request that continues a stream and counts it by cause.
func (n *Node) refuseContinued(s *stream, cause, reason string, retryAfter time.Duration) {
	n.meters.continuationRefused(s.q.service, cause)
	n.refuse(s.w, s.q, http.StatusServiceUnavailable, reason, retryAfter)
}

// continuedShare is the share of the remaining time in which a stream that goes on should have its next event; the client needs the
// rest for the events that follow.
const continuedShare = 0.5

// laterDeadline returns when the next event of a stream that goes on should come if there is no room for its stages before, or zero for
// other streams. Its client has had the first event, which the objective is for, and waits longer, since it would lose what it
// has.
func (s *stream) laterDeadline() time.Time {
	q := s.q
	if !s.continues() {
		return time.Time{}
	}
	return q.arrived.Add(time.Duration(continuedShare * float64(q.deadline.Sub(q.arrived))))
}

// mayGoOn reports whether an endpoint at which a stream may go on is listed. If none is, waiting does not
// help the client: it may begin the stream anew.
func (n *Node) mayGoOn(wants need) bool { return len(wants.versions) == 0 || n.pools.lists(wants) }

// logContinued logs and counts an attempt that continues a stream.
func (n *Node) logContinued(s *stream, c *placedCall) {
	q, now := s.q, time.Now()
	n.meters.streamContinued(q.service, s.origin.source, s.origin.compare(c.endpoint.Version))
	fields := []zap.Field{
		zap.String("id", q.in.RequestID), zap.String("resumes", q.in.Resumes), zap.String("after", s.lastEvent()),
		zap.String("source", string(s.origin.source)), zap.String("began", s.origin.version), zap.Int64("known_ms", age(now, s.origin.learnedAt)),
		zap.String("endpoint", c.endpoint.ID), zap.String("version", c.endpoint.Version), zap.Int64("list_age_ms", age(now, n.view.Load().freshness.List)),
	}
	n.log.Info(eventStreamContinued, fields...)
}

// lastEvent returns the ID of the last event that the client has, or "".
func (s *stream) lastEvent() string {
	if s.lastEventID != "" {
		return s.lastEventID
	}
	return s.q.in.LastEventID
}
