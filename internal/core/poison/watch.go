package poison

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
)

const (
	// replacedWithin is how long after a run broke off another life of its endpoint
	// tells that the one before ended under the run. Endpoints that end are back after
	// some seconds.
	replacedWithin = 15 * time.Second
	// noticedWithin is how long a busy node may take to notice that a run broke off. What
	// broke off longer before its endpoint was found ended did so for another reason.
	noticedWithin = time.Second
	// mostWatched bounds the endpoints that are watched, and mostBreaks the breaks of
	// each; the oldest ones are forgotten.
	mostWatched = 512
	mostBreaks  = 64
	// usualHeartbeat is taken for that of endpoints where the platform does not tell it.
	usualHeartbeat = 1200 * time.Millisecond
	// lapseBeats is after how many heartbeats the entry of an ended endpoint has surely
	// gone: three of silence, and what the list lags.
	lapseBeats = 6
)

// Finding is what became known of the runs that broke off at an endpoint.
type Finding struct {
	Endpoint catalog.Endpoint
	Requests []ID
	// Ended is true when the endpoint ended under them, and false when it was taken
	// to have ended and lives on.
	Ended bool
	// Listed tells that it was found by the list of endpoints.
	Listed bool
}

// Watch tells whether endpoints at which runs broke off have ended. An endpoint has ended
// when nothing listens at its address any more, or when another life of it is listed soon
// after; it lives on when it is still listed, and takes connections, after its entry would
// have gone. It is not safe for concurrent use.
type Watch struct {
	lapse   time.Duration
	watched map[string]*watched
}

// watched is an endpoint at which runs broke off.
type watched struct {
	endpoint catalog.Endpoint
	breaks   []broken
	// ended is true when its end was found, asks when it is being asked whether it
	// lives on.
	ended bool
	asks  bool
}

// broken is a run that broke off.
type broken struct {
	at      time.Time
	request ID
	length  Length
}

// Length tells how long a run had lasted when it broke off.
type Length int

const (
	// Lasting runs had begun at the endpoint.
	Lasting Length = iota
	// Brief runs may have been sent when the endpoint had ended already, to something
	// before it that takes its connections and breaks them off.
	Brief
)

// briefRun is how long a run lasts at most that may not have begun: some times what a
// connection takes to be made and broken off on a busy instance (1 to 5 ms).
const briefRun = 25 * time.Millisecond

// LengthOf returns the length of a run that took some time.
func LengthOf(took time.Duration) Length {
	if took < briefRun {
		return Brief
	}
	return Lasting
}

// NewWatch returns a watch over endpoints that confirm their entries at an interval, or at
// the usual one if that is 0.
func NewWatch(heartbeat time.Duration) *Watch {
	if heartbeat <= 0 {
		heartbeat = usualHeartbeat
	}
	return &Watch{lapse: lapseBeats * heartbeat, watched: make(map[string]*watched)}
}

// Watching reports whether anything is to be found out.
func (w *Watch) Watching() bool { return len(w.watched) > 0 }

// Broke takes in that runs broke off at an endpoint that is not leaving. It reports
// whether the endpoint is to be asked now whether it takes connections; the answer goes
// to Probed.
func (w *Watch) Broke(now time.Time, e catalog.Endpoint, l Length, requests ...ID) bool {
	known, ok := w.watched[e.ID]
	if !ok {
		w.makeRoom()
		known = &watched{endpoint: e}
		w.watched[e.ID] = known
	}
	for _, id := range requests {
		known.breaks = append(known.breaks, broken{at: now, request: id, length: l})
	}
	if over := len(known.breaks) - mostBreaks; over > 0 {
		known.breaks = slices.Clone(known.breaks[over:])
	}
	if known.asks {
		return false
	}
	known.asks = true
	return true
}

// makeRoom forgets the endpoint whose last break is longest ago, if there are too many.
func (w *Watch) makeRoom() {
	if len(w.watched) < mostWatched {
		return
	}
	oldest := ""
	for id, known := range w.watched {
		if oldest == "" || known.last().Before(w.watched[oldest].last()) {
			oldest = id
		}
	}
	delete(w.watched, oldest)
}

func (k *watched) last() time.Time { return k.breaks[len(k.breaks)-1].at }

// finding is what was found of the runs that broke off after a moment.
func (k *watched) finding(after time.Time, ended bool) Finding {
	return Finding{Endpoint: k.endpoint, Requests: k.requests(after), Ended: ended}
}

// requests lists the requests whose runs broke off after a moment, each once.
func (k *watched) requests(after time.Time) []ID {
	var list []ID
	for _, b := range k.breaks {
		if b.at.After(after) && !slices.Contains(list, b.request) {
			list = append(list, b.request)
		}
	}
	return list
}

// Probed takes in whether an endpoint refused a connection. One that took it, or did not
// answer at all, may still have ended: something before it may take connections in its
// place.
func (w *Watch) Probed(now time.Time, id string, refuses bool) []Finding {
	known, ok := w.watched[id]
	if !ok {
		return nil
	}
	known.asks = false
	again := known.ended && now.Sub(known.last()) >= w.lapse
	switch {
	case again && refuses:
		// Its entry is kept although it has ended.
		delete(w.watched, id)
	case again:
		delete(w.watched, id)
		return []Finding{known.finding(time.Time{}, false)}
	case refuses:
		known.ended = true
		return []Finding{known.finding(now.Add(-noticedWithin), true)}
	}
	return nil
}

// Listed takes in a list of endpoints that was current at a moment. It returns what was
// found, and the endpoints that are to be asked whether they take connections.
func (w *Watch) Listed(now, current time.Time, list []catalog.Endpoint) (found []Finding, ask []catalog.Endpoint) {
	if len(w.watched) == 0 {
		return nil, nil
	}
	l := newLives(list)
	for id, known := range w.watched {
		e, listed := l.byID[id]
		switch {
		case listed && e.Draining:
			// It ends as planned.
			delete(w.watched, id)
		case listed:
			if w.stays(known, current) {
				ask = append(ask, known.endpoint)
			}
		case known.ended:
			delete(w.watched, id)
		case l.replaced(known.endpoint):
			delete(w.watched, id)
			// By the list alone, runs that may never have begun are no suspects.
			known.breaks = slices.DeleteFunc(known.breaks, func(b broken) bool { return b.length == Brief })
			f := known.finding(time.Time{}, true)
			f.Listed = true
			found = append(found, f)
		case now.Sub(known.last()) > replacedWithin:
			delete(w.watched, id)
		}
	}
	return found, ask
}

// stays takes in that an endpoint is listed in its present life, and reports whether it is
// to be asked if it lives on. Breaks that are long past did not end it.
func (w *Watch) stays(known *watched, current time.Time) bool {
	past := func(b broken) bool { return current.Sub(b.at) >= w.lapse }
	if known.ended {
		ask := !known.asks && past(known.breaks[len(known.breaks)-1])
		known.asks = known.asks || ask
		return ask
	}
	if known.asks {
		return false
	}
	known.breaks = slices.DeleteFunc(known.breaks, past)
	if len(known.breaks) == 0 {
		delete(w.watched, known.endpoint.ID)
	}
	return false
}

// lives are the endpoints of a list.
type lives struct {
	byID     map[string]catalog.Endpoint
	byWorker map[string]bool
	byPlace  map[string]bool
}

func newLives(list []catalog.Endpoint) lives {
	l := lives{byID: make(map[string]catalog.Endpoint, len(list)), byWorker: make(map[string]bool, len(list)), byPlace: make(map[string]bool, len(list))}
	for _, e := range list {
		l.byID[e.ID] = e
		l.byWorker[catalog.WorkerName(e.ID)] = true
		l.byPlace[e.Service+" "+e.Address] = true
	}
	return l
}

// replaced reports whether another life of an endpoint is listed: under the name that the
// worker has in all its lives, or at its address.
func (l *lives) replaced(e catalog.Endpoint) bool {
	return l.byWorker[catalog.WorkerName(e.ID)] || l.byPlace[e.Service+" "+e.Address]
}
