package node

import (
	"time"

	"go.uber.org/zap"
)

// originSource is how a node knows at which software version a stream began.
type originSource string

// The sources of origins, as used in logs and metrics.
const (
	// originUnknown means that this node does not know where the stream began.
	originUnknown originSource = "unknown"
	// originResponse means that the stream began in the same response.
	originResponse originSource = "response"
)

// origin is where a stream began.
type origin struct {
	source originSource
	// version is the software version of the endpoint that sent the first event. It is "" if that
	// endpoint states none.
	version string
	// learnedAt is when this node learned the version.
	learnedAt time.Time
}

// known reports whether the version is known.
func (o origin) known() bool { return o.source != originUnknown && o.source != "" }

// compare returns "same", "different" or "unknown", for the version at which the stream goes on.
func (o origin) compare(version string) string {
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

// noVersionReason is the outcome of streams that can't go on, since no endpoint of the software version
// that began them accepts work.
const noVersionReason = "no endpoint of the stream's software version"

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
