package poison_test

import (
	"fmt"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/poison"
)

// run is a request that runs at an endpoint.
type run struct {
	node     *node
	client   *client
	deadly   *deadly
	endpoint *endpoint
	life     catalog.Endpoint
	begun    time.Time
	ends     time.Time
	lost     bool
}

// client sends one request, and comes back a few times when it fails.
type client struct {
	id    poison.ID
	tries int
	next  time.Time
	// done is true while it runs, and when nothing more comes.
	done bool
}

// deadly is a request that crashes what runs it and comes again for ever.
type deadly struct {
	id    poison.ID
	next  time.Time
	third time.Time
	ends  int
	late  int
	sent  int
	// refused is when a node refused it first, all when the last one did.
	refused, all time.Time
}

func identity(body string) poison.ID { return poison.Identify(poison.Content{Body: []byte(body)}) }

func (r *run) id() poison.ID {
	if r.deadly != nil {
		return r.deadly.id
	}
	return r.client.id
}

// comeBack has the client of a failed run try again later.
func (w *world) comeBack(r *run) {
	if r.client == nil {
		return
	}
	r.client.tries--
	r.client.done = r.client.tries <= 0
	r.client.next = w.now.Add(time.Duration(100+w.rand.IntN(900)) * time.Millisecond)
}

// endRuns ends the runs whose time has come, and crashes the endpoints of deadly ones.
func (w *world) endRuns() {
	var kept []*run
	var crashed []*endpoint
	for _, r := range w.runs {
		switch {
		case r.deadly != nil && w.now.Sub(r.begun) >= crashesAfter:
			crashed = append(crashed, r.endpoint)
			w.count(r.deadly)
			kept = append(kept, r)
		case r.client == nil || w.now.Before(r.ends):
			kept = append(kept, r)
		case r.lost:
			// Its answer was lost on the way.
			if w.works(r.node) {
				w.learn(r.node, r.node.guard.RecordBrokenRuns(w.now, r.life, poison.LongRun, r.client.id))
			}
			w.comeBack(r)
		default:
			w.served++
			if w.works(r.node) {
				w.learn(r.node, r.node.guard.RecordSuccess(w.now, r.client.id))
			}
		}
	}
	w.runs = kept
	for _, e := range crashed {
		if e.ended.IsZero() {
			w.crash(e)
		}
	}
}

func (w *world) count(p *deadly) {
	p.ends++
	if p.ends == 3 {
		p.third = w.now
	}
}

// send has clients send what is due.
func (w *world) send() {
	for _, p := range w.poisons {
		if w.now.Before(p.next) {
			continue
		}
		p.next = w.now.Add(w.script.length("again"))
		w.start(w.anyNode(), &run{deadly: p})
	}
	perStep := float64(w.script.number("requests")) * step.Seconds()
	for ; perStep > 0; perStep-- {
		if w.rand.Float64() < perStep {
			w.next++
			c := &client{id: w.drawRequest(), tries: w.script.number("tries"), next: w.now}
			w.clients = append(w.clients, c)
		}
	}
	var kept []*client
	for _, c := range w.clients {
		if c.done {
			continue
		}
		kept = append(kept, c)
		if !w.now.Before(c.next) {
			c.next = w.now.Add(time.Hour)
			w.start(w.anyNode(), &run{client: c})
		}
	}
	w.clients = kept
}

// drawRequest returns a request of its own, or now and then the one that many clients send.
func (w *world) drawRequest() poison.ID {
	if share := w.script.number("popular"); share > 0 && w.next%share == 0 {
		return identity("popular")
	}
	return identity(fmt.Sprint(w.next))
}

// start has a node send a request to an endpoint, unless it refuses it.
func (w *world) start(n *node, r *run) {
	r.node = n
	if !w.works(n) || len(n.list) == 0 {
		w.comeBack(r)
		return
	}
	if _, refused := n.guard.Refused(w.now, r.id()); refused {
		w.comeBack(r)
		return
	}
	r.life = n.list[w.rand.IntN(len(n.list))]
	for _, e := range w.endpoints {
		if e.address == r.life.Address && e.life().ID == r.life.ID {
			r.endpoint = e
		}
	}
	if r.endpoint != nil && !r.endpoint.ended.IsZero() && w.script.number("proxies") > 0 {
		// What stands before the endpoint takes the connection and breaks it off.
		w.learn(n, n.guard.RecordBrokenRuns(w.now, r.life, poison.ShortRun, r.id()))
		w.comeBack(r)
		return
	}
	if c, ok := n.cuts[r.life.Address]; r.endpoint == nil || !r.endpoint.ended.IsZero() || ok && w.now.Before(c.until) {
		w.comeBack(r)
		return
	}
	r.begun = w.now
	r.ends = w.now.Add(time.Duration(300+w.rand.IntN(1700)) * time.Millisecond)
	r.lost = w.rand.Float64() < w.script.share("lost")
	if p := r.deadly; p != nil {
		p.sent++
		if p.ends >= 3 && w.now.Sub(p.third) >= w.script.length("contact") && w.inTouch(n) {
			p.late++
		}
	}
	w.runs = append(w.runs, r)
}
