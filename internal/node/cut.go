package node

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/core/membudget"
)

// cutReason is why the node did not read a response to its end.
type cutReason string

const (
	// cutByLimit means that the response held more than may be held of one.
	cutByLimit cutReason = "limit"
	// cutByMemory means that the memory for all responses was used up.
	cutByMemory cutReason = "memory"
	// cutByDeadline means that it had not ended by the request's deadline.
	cutByDeadline cutReason = "deadline"
	// cutByClient means that the client left or did not read.
	cutByClient cutReason = "client"
	// cutBroken means that the endpoint broke it off.
	cutBroken cutReason = "endpoint"
)

// cutReasonOf returns the reason of an error of package bounded, or cutBroken.
func cutReasonOf(err error) cutReason {
	switch {
	case errors.Is(err, bounded.ErrLimit):
		return cutByLimit
	case errors.Is(err, bounded.ErrNoRoom):
		return cutByMemory
	}
	return cutBroken
}

// isCut reports whether the node itself stopped reading a response, so that the error tells nothing about whether its
// endpoint has ended.
func isCut(err error) bool { return cutReasonOf(err) != cutBroken }

// clientGone wraps the error of a write to a client.
func clientGone(err error) error { return fmt.Errorf("%w: %w", errClientGone, err) }

// cut describes a response that was not read to its end.
type cut struct {
	kind   membudget.Kind
	reason cutReason
	// bytes is the number of bytes that were read, and bound the number that may be held of one, where these are
	// known.
	bytes, bound int64
	// begun is true if the client has a part of the response.
	begun bool
	err   error
}

// recordCut logs and counts a response that was not read to its end.
func (n *Node) recordCut(q *request, c cut) {
	n.meters.responseCut(c.kind, c.reason)
	n.log.Info(eventResponseCut, zap.String("id", q.in.RequestID), zap.String("endpoint", q.endpoint), zap.String("service", q.service), zap.String("route", q.route.Name),
		zap.Stringer("kind", c.kind), zap.String("reason", string(c.reason)), zap.Int64("bytes", c.bytes), zap.Int64("bound", c.bound), zap.Bool("begun", c.begun), zap.Int64("held_by_all", n.memory.Held()), zap.Error(c.err))
}
