package poison_test

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/poison"
)

// endpoint is a worker in its present life.
type endpoint struct {
	worker  string
	address string
	born    time.Time
	ended   time.Time // zero while it lives
	backAt  time.Time
}

// refuses reports whether a node's connection to an address is refused.
func (w *world) refuses(n *node, e catalog.Endpoint) bool {
	if c, ok := n.cuts[e.Address]; ok && w.now.Before(c.until) {
		return c.refuses
	}
	if w.script.number("proxies") > 0 {
		// What stands before the endpoints takes all connections.
		return false
	}
	return slices.ContainsFunc(w.endpoints, func(o *endpoint) bool { return o.address == e.Address && !o.ended.IsZero() })
}

func (e *endpoint) life() catalog.Endpoint {
	return catalog.Endpoint{ID: catalog.IncarnationID(e.worker, e.born.UnixMilli()), Service: "model", Address: e.address, Slots: 64}
}

// list is the store's list: entries go three heartbeats after their endpoints ended.
func (w *world) list() []catalog.Endpoint {
	var list []catalog.Endpoint
	for _, e := range w.endpoints {
		if e.ended.IsZero() || w.now.Sub(e.ended) < 3*heartbeat {
			list = append(list, e.life())
		}
	}
	return list
}

func (w *world) restartEndpoints() {
	for _, e := range w.endpoints {
		if !e.ended.IsZero() && !w.now.Before(e.backAt) {
			e.born, e.ended = w.now, time.Time{}
		}
	}
}

// crash ends an endpoint. What ran there breaks off.
func (w *world) crash(e *endpoint) {
	e.ended = w.now
	e.backAt = w.now.Add(w.script.length("back"))
	w.breakRuns(func(r *run) bool { return r.endpoint == e })
}

// breakRuns breaks some runs off.
func (w *world) breakRuns(which func(*run) bool) {
	var kept []*run
	for _, r := range w.runs {
		if !which(r) {
			kept = append(kept, r)
			continue
		}
		w.broken++
		if w.works(r.node) {
			w.learn(r.node, r.node.guard.Broke(w.now, r.life, poison.Lasting, r.id()))
		}
		w.comeBack(r)
	}
	w.runs = kept
}
