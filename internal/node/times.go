package node

import (
	"sync"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/drain"
)

// part is a part of a request's work.
type part int

const (
	// wholePart is from the arrival to the end of the answer.
	wholePart part = iota
	// answerPart is what follows the stages.
	answerPart
	parts
)

// kind names the requests that are alike: those of a route, or, with an empty
// route, all of a service.
type kind struct{ service, route string }

// times learns how long requests take. It is asked when this node stops.
type times struct {
	mu    sync.Mutex
	known map[kind]*[parts]drain.Predictor
}

func newTimes() *times { return &times{known: make(map[kind]*[parts]drain.Predictor)} }

// served notes a request whose answer is out, whole.
func (t *times) served(q *request, now time.Time) {
	took := now.Sub(q.arrived)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range []kind{{q.service, q.route.Name}, {q.service, ""}} {
		if t.known[k] == nil {
			t.known[k] = new([parts]drain.Predictor)
		}
		t.known[k][wholePart].Observe(q.size(), took)
		t.known[k][answerPart].Observe(q.size(), took-q.staged)
	}
}

// likely returns a time that a request will hardly exceed, and even one for what
// follows its stages that it may well: a request that has used stage work is turned
// away only if it would sooner be cut than not. Both go by the request's route or,
// as long as none of that was served, by its service, and report false if nothing is
// known.
func (t *times) likely(q *request) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(q, wholePart).UpperEstimate(q.size())
}

func (t *times) even(q *request) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(q, answerPart).Median(q.size())
}

// find returns what is known of a part of a request; the lock is held.
func (t *times) find(q *request, p part) *drain.Predictor {
	for _, k := range []kind{{q.service, q.route.Name}, {q.service, ""}} {
		if d := t.known[k]; d != nil {
			return &d[p]
		}
	}
	return new(drain.Predictor)
}

// size is what is known of the length of a request's answer, in tokens.
func (q *request) size() drain.Size {
	if q.in.LengthHint > 0 {
		return drain.Estimate(q.in.LengthHint)
	}
	return drain.Bound(q.in.MaxTokens)
}

// keep forgets the routes that a configuration does not have.
func (t *times) keep(cfg *catalog.Config) {
	names := make(map[string]bool, len(cfg.Routes))
	for _, r := range cfg.Routes {
		names[r.Name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.known {
		if k.route != "" && !names[k.route] {
			delete(t.known, k)
		}
	}
}
