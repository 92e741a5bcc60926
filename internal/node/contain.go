package node

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/contain"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/place"
)

// task is what a panic ended, as used in logs and metrics.
type task string

// The tasks.
const (
	taskAttempt   task = "attempt"
	taskStageCall task = "stage call"
	taskCacheList task = "cache list"
	taskStore     task = "store update"
	taskPeer      task = "peer message"
	taskRelay     task = "relay"
)

// containTask calls f. A panic ends only the task: it is logged, counted and returned as an error.
func containTask(log *zap.Logger, m *meters, t task, subject string, f func() error) error {
	err := contain.Call(f)
	var p *contain.PanicError
	if errors.As(err, &p) {
		log.Error(eventPanic, zap.String("task", string(t)), zap.String("subject", subject), zap.Error(p), zap.ByteString("stack", p.Stack()))
		m.panicked(t)
	}
	return err
}

func (n *Node) contain(t task, subject string, f func() error) error {
	return containTask(n.log, n.meters, t, subject, f)
}

func (l *leaders) contain(t task, subject string, f func() error) error {
	return containTask(l.log, l.meters, t, subject, f)
}

// recordPanic records an attempt that ended with a panic, as one without a response.
func (n *Node) recordPanic(q *request, c *placedCall) attempt.Event {
	if c.answeredAt.IsZero() {
		q.sent++
	}
	c.finish(time.Now(), place.Result{})
	return attempt.NoResponse
}
