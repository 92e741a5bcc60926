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
	// wholeRequest lasts from the arrival to the end of the response.
	wholeRequest phase = iota
	// afterStages is the part after the stages.
	afterStages
	phaseCount
)

// requestClass is a set of requests with similar durations: those of a route or, with an empty
// route, all of a service.
type requestClass struct{ service, route string }

// durations predicts how long requests take, from those served before. The predictions are used
// when this node stops.
type durations struct {
	mu      sync.Mutex
	byClass map[requestClass]*[phaseCount]drain.Predictor
}

func newDurations() *durations {
	return &durations{byClass: make(map[requestClass]*[phaseCount]drain.Predictor)}
}

// observe records the duration of a request whose response was sent completely.
func (t *durations) observe(q *request, now time.Time) {
	took := now.Sub(q.arrived)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range []requestClass{{q.service, q.route.Name}, {q.service, ""}} {
		if t.byClass[k] == nil {
			t.byClass[k] = new([phaseCount]drain.Predictor)
		}
		t.byClass[k][wholeRequest].Observe(q.responseSize(), took)
		t.byClass[k][afterStages].Observe(q.responseSize(), took-q.stagesTook)
	}
}

// upperEstimate returns a duration that a request is unlikely to exceed. It is predicted from the
// request's route or, if no request of the route was served yet, from its service. It reports
// false if neither is known.
func (t *durations) upperEstimate(q *request) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.predictor(q, wholeRequest).UpperEstimate(q.responseSize())
}

// medianAfterStages returns the median duration of the part of a request after its stages, with
// the same fallback as upperEstimate. A request whose stages have run is refused only if it is
// more likely than not to be aborted.
func (t *durations) medianAfterStages(q *request) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.predictor(q, afterStages).Median(q.responseSize())
}

// predictor returns the predictor for a phase of a request. The caller must hold the lock.
func (t *durations) predictor(q *request, p phase) *drain.Predictor {
	for _, k := range []requestClass{{q.service, q.route.Name}, {q.service, ""}} {
		if d := t.byClass[k]; d != nil {
			return &d[p]
		}
	}
	return new(drain.Predictor)
}

// responseSize returns the stated size of a request's response, in tokens.
func (q *request) responseSize() drain.Size {
	if q.in.LengthHint > 0 {
		return drain.Estimate(q.in.LengthHint)
	}
	return drain.Bound(q.in.MaxTokens)
}

// retainRoutes removes the routes that are not in a configuration.
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
