package node

import (
	"sync"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/drain"
)

// times learns how long the requests of each route take.
type times struct {
	mu sync.Mutex
	// whole is from the arrival to the end of the answer; answer is without the
	// stages.
	whole  map[string]*drain.Durations
	answer map[string]*drain.Durations
}

func newTimes() *times {
	return &times{whole: make(map[string]*drain.Durations), answer: make(map[string]*drain.Durations)}
}

// served notes a request whose answer is out.
func (t *times) served(q *request, now time.Time) {
	took := now.Sub(q.arrived)
	t.mu.Lock()
	defer t.mu.Unlock()
	add(t.whole, q.route.Name, took)
	add(t.answer, q.route.Name, took-q.staged)
}

func add(work map[string]*drain.Durations, route string, took time.Duration) {
	if work[route] == nil {
		work[route] = new(drain.Durations)
	}
	work[route].Add(took)
}

// likely returns a time that the next work of a route will hardly exceed, and
// reports false if none is known.
func (t *times) likely(work map[string]*drain.Durations, route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := work[route]
	if d == nil {
		return 0, false
	}
	return d.Likely()
}

// keep forgets the routes that a configuration does not have.
func (t *times) keep(cfg *catalog.Config) {
	names := make(map[string]bool, len(cfg.Routes))
	for _, r := range cfg.Routes {
		names[r.Name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, work := range []map[string]*drain.Durations{t.whole, t.answer} {
		for route := range work {
			if !names[route] {
				delete(work, route)
			}
		}
	}
}
