package node

import (
	"sync"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/drain"
)

// phase is a part of a request's work.
type phase int

const (
	// wholeRequest is from the arrival to the end of the answer.
	wholeRequest phase = iota
	// answerOnly is what follows the stages.
	answerOnly
	phaseCount
)

// requestClass names the requests that are alike: those of a route, or, with an empty
// route, all of a service.
type requestClass struct{ service, route string }

// durations learns how long requests take. It is asked when this node stops.
type durations struct {
	mu      sync.Mutex
	byClass map[requestClass]*[phaseCount]drain.Predictor
}

func newDurations() *durations {
	return &durations{byClass: make(map[requestClass]*[phaseCount]drain.Predictor)}
}

// observe notes a request whose answer is out, whole.
func (t *durations) observe(q *request, now time.Time) {
	took := now.Sub(q.arrived)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range []requestClass{{q.service, q.route.Name}, {q.service, ""}} {
		if t.byClass[k] == nil {
			t.byClass[k] = new([phaseCount]drain.Predictor)
		}
		t.byClass[k][wholeRequest].Observe(q.answerSize(), took)
		t.byClass[k][answerOnly].Observe(q.answerSize(), took-q.stagesTook)
	}
}

// upperEstimate returns a time that a request will hardly exceed, and even one for what
// follows its stages that it may well: a request that has used stage work is turned
// away only if it would sooner be cut than not. Both go by the request's route or,
// as long as none of that was served, by its service, and report false if nothing is
// known.
func (t *durations) upperEstimate(q *request) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.predictor(q, wholeRequest).UpperEstimate(q.answerSize())
}

func (t *durations) medianAfterStages(q *request) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.predictor(q, answerOnly).Median(q.answerSize())
}

// predictor returns what is known of a part of a request; the lock is held.
func (t *durations) predictor(q *request, p phase) *drain.Predictor {
	for _, k := range []requestClass{{q.service, q.route.Name}, {q.service, ""}} {
		if d := t.byClass[k]; d != nil {
			return &d[p]
		}
	}
	return new(drain.Predictor)
}

// answerSize is what is known of the length of a request's answer, in tokens.
func (q *request) answerSize() drain.Size {
	if q.in.LengthHint > 0 {
		return drain.Estimate(q.in.LengthHint)
	}
	return drain.Bound(q.in.MaxTokens)
}

// retainRoutes forgets the routes that a configuration does not have.
func (t *durations) retainRoutes(cfg *catalog.Config) {
	names := make(map[string]bool, len(cfg.Routes))
	for _, r := range cfg.Routes {
		names[r.Name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.byClass {
		if k.route != "" && !names[k.route] {
			delete(t.byClass, k)
		}
	}
}
