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
	known map[kind]*[parts]drain.Durations
}

func newTimes() *times { return &times{known: make(map[kind]*[parts]drain.Durations)} }

// served notes a request whose answer is out, whole.
func (t *times) served(q *request, now time.Time) {
	took := now.Sub(q.arrived)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range []kind{{q.service, q.route.Name}, {q.service, ""}} {
		if t.known[k] == nil {
			t.known[k] = new([parts]drain.Durations)
		}
		t.known[k][wholePart].Add(q.size(), took)
		t.known[k][answerPart].Add(q.size(), took-q.staged)
	}
}

// likely returns a time that a part of a request will hardly exceed, by its route
// or, as long as none of that was served, by its service. It reports false if
// neither is known.
func (t *times) likely(q *request, p part) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range []kind{{q.service, q.route.Name}, {q.service, ""}} {
		if d := t.known[k]; d != nil {
			return d[p].Likely(q.size())
		}
	}
	return 0, false
}

// size is what is known of the length of a request's answer: the client's estimate,
// or the most that it allows, in tokens.
func (q *request) size() int {
	if q.in.HintTokens > 0 {
		return q.in.HintTokens
	}
	return q.in.MostTokens
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
