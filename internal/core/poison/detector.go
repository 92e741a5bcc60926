package poison

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/catalog"
)

const (
	// replacementWindow is how long after a run broke the appearance of another incarnation of its
	// endpoint shows that the endpoint crashed under the run. Crashed endpoints are back
	// after some seconds.
	replacementWindow = 15 * time.Second
	// noticeDelay is how long a busy node may take to notice that a run broke. Runs that
	// broke earlier than this before their endpoint was found crashed broke for another
	// reason.
	noticeDelay = time.Second
	// maxWatched bounds the watched endpoints, and maxBreaks the broken runs kept for each.
	// The oldest ones are evicted.
	maxWatched = 512
	maxBreaks  = 64
	// defaultHeartbeat is the heartbeat interval of endpoints if the platform specifies
	// none.
	defaultHeartbeat = 1200 * time.Millisecond
	// minRestart is how long after its crash an endpoint may serve again, at the earliest. It may be listed
	// as before while the list can't be read.
	minRestart = time.Second
	// lapseHeartbeats is the number of heartbeats after which the entry of a crashed
	// endpoint has certainly lapsed: three of silence, and the delay of the list.
	lapseHeartbeats = 6
)

// Finding is a conclusion about the runs that broke at an endpoint.
type Finding struct {
	Endpoint catalog.Endpoint
	Requests []Request
	// Crashed is true if the endpoint crashed under the runs, and false if it was reported
	// as crashed and is alive.
	Crashed bool
	// FromList is true if the list of endpoints shows the crash.
	FromList bool
	// At is when the last of the runs broke, or zero if there are none.
	At time.Time
}

// Detector determines whether endpoints at which runs broke have crashed. An endpoint has
// crashed if nothing listens at its address any more, or if another incarnation of it is listed
// soon after. It is alive if it is still listed, and accepts connections, after its entry
// would have lapsed. Detector is not safe for concurrent use.
type Detector struct {
	lapse   time.Duration
	watched map[string]*watched
	// unframed is the number of runs whose answers may have been complete.
	unframed int
}

// watched is an endpoint at which runs broke.
type watched struct {
	endpoint catalog.Endpoint
	breaks   []brokenRun
	// crashed is true if the endpoint was found to have crashed, probing while it is being
	// probed.
	crashed bool
	probing bool
}

// brokenRun is a run that broke.
type brokenRun struct {
	at      time.Time
	request Request
	length  RunLength
	// survived is true if the endpoint accepted a connection after the run had broken. It may still
	// have crashed, if a proxy accepted it.
	survived bool
	// unframed is true if the answer had neither a length nor chunks and ended with its connection, so
	// that it may have been complete.
	unframed bool
}

// RunLength classifies the time that a run had lasted when it broke.
type RunLength int

const (
	// LongRun is a run that had begun at the endpoint.
	LongRun RunLength = iota
	// ShortRun is a run that may have been sent after the endpoint had crashed, to a proxy
	// in front of it that accepts its connections and closes them.
	ShortRun
)

// maxShortRun bounds the duration of a run that may not have begun: several times what it
// takes to open a connection and have it closed on a busy instance (1 to 5 ms).
const maxShortRun = 25 * time.Millisecond

// RunLengthOf returns the length class of a run.
func RunLengthOf(took time.Duration) RunLength {
	if took < maxShortRun {
		return ShortRun
	}
	return LongRun
}

// NewDetector returns a detector for endpoints that confirm their entries at the given
// heartbeat interval, or at the default one if it is 0.
func NewDetector(heartbeat time.Duration) *Detector {
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	return &Detector{lapse: lapseHeartbeats * heartbeat, watched: make(map[string]*watched)}
}

// Active reports whether any endpoint is being watched.
func (d *Detector) Active() bool { return len(d.watched) > 0 }

// RecordBrokenRuns records that runs broke at an endpoint that is not draining. It reports
// whether the endpoint's connections must be probed now; the result goes to RecordProbe.
func (d *Detector) RecordBrokenRuns(now time.Time, e catalog.Endpoint, l RunLength, requests ...Request) bool {
	known := d.watch(e)
	for _, r := range requests {
		known.breaks = append(known.breaks, brokenRun{at: now, request: r, length: l})
	}
	return d.trim(known)
}

// RecordUnframedEnd records that the answer of a run, which had neither a length nor chunks, ended with its
// connection at an endpoint that is not draining. The run was served if the endpoint answers soon after. It reports
// whether the endpoint's connections must be probed now.
func (d *Detector) RecordUnframedEnd(now time.Time, e catalog.Endpoint, r Request) bool {
	known := d.watch(e)
	known.breaks = append(known.breaks, brokenRun{at: now, request: r, unframed: true})
	d.unframed++
	return d.trim(known)
}

// watch returns the state of an endpoint, which it creates if there is none.
func (d *Detector) watch(e catalog.Endpoint) *watched {
	known, ok := d.watched[e.ID]
	if !ok {
		d.evictOldest()
		known = &watched{endpoint: e}
		d.watched[e.ID] = known
	}
	return known
}

// trim drops the oldest broken runs beyond maxBreaks, and reports whether the endpoint is not being probed
// yet.
func (d *Detector) trim(known *watched) bool {
	over := len(known.breaks) - maxBreaks
	d.drop(known, func(brokenRun) bool { over--; return over >= 0 })
	started := !known.probing
	known.probing = true
	return started
}

// drop drops the selected broken runs of an endpoint and returns the requests of those whose answers may
// have been complete.
func (d *Detector) drop(known *watched, selected func(brokenRun) bool) []Request {
	var list []Request
	known.breaks = slices.DeleteFunc(known.breaks, func(b brokenRun) bool {
		if !selected(b) {
			return false
		}
		if b.unframed {
			d.unframed--
			list = append(list, b.request)
		}
		return true
	})
	return list
}

// settle records that the unframed answers of an endpoint that crashed prove nothing any more.
func (d *Detector) settle(known *watched) {
	for i := range known.breaks {
		if known.breaks[i].unframed {
			known.breaks[i].unframed = false
			d.unframed--
		}
	}
}

// remove stops watching an endpoint.
func (d *Detector) remove(known *watched) {
	d.drop(known, anyRun)
	delete(d.watched, known.endpoint.ID)
}

// AwaitsAnswers reports whether an answer of an endpoint may show that unframed answers were complete.
func (d *Detector) AwaitsAnswers() bool { return d.unframed > 0 }

// RecordAnswer records that an endpoint answered a request that was sent at the given time. It returns the
// requests that were served before: the endpoint survived the ends of their unframed answers, unless it may
// have restarted since.
func (d *Detector) RecordAnswer(now time.Time, id string, sent time.Time) []Request {
	known, ok := d.watched[id]
	if !ok || known.crashed {
		return nil
	}
	served := d.drop(known, func(b brokenRun) bool { return b.unframed && b.at.Before(sent) && now.Sub(b.at) <= minRestart })
	if len(known.breaks) == 0 {
		d.remove(known)
	}
	return served
}

// evictOldest drops the endpoint whose last broken run is the oldest, if the limit is
// reached.
func (d *Detector) evictOldest() {
	if len(d.watched) < maxWatched {
		return
	}
	oldest := ""
	for id, known := range d.watched {
		if oldest == "" || known.lastBreak().Before(d.watched[oldest].lastBreak()) {
			oldest = id
		}
	}
	d.remove(d.watched[oldest])
}

func (k *watched) lastBreak() time.Time { return k.breaks[len(k.breaks)-1].at }

// finding returns a conclusion about the selected runs that broke.
func (k *watched) finding(crashed bool, selected func(brokenRun) bool) Finding {
	f := Finding{Endpoint: k.endpoint, Crashed: crashed}
	for _, b := range k.breaks {
		if !selected(b) {
			continue
		}
		f.At = b.at
		if !slices.ContainsFunc(f.Requests, b.request.equal) {
			f.Requests = append(f.Requests, b.request)
		}
	}
	return f
}

func anyRun(brokenRun) bool { return true }

// RecordProbe records whether an endpoint refused a connection. An endpoint that accepted
// it, or did not answer at all, may still have crashed, since a proxy may accept
// connections in its place.
func (d *Detector) RecordProbe(now time.Time, id string, refuses bool) []Finding {
	known, ok := d.watched[id]
	if !ok {
		return nil
	}
	known.probing = false
	again := known.crashed && now.Sub(known.lastBreak()) >= d.lapse
	switch {
	case again && refuses:
		// Its entry is retained although it has crashed.
		d.remove(known)
	case again:
		f := known.finding(false, anyRun)
		d.remove(known)
		return []Finding{f}
	case refuses:
		known.crashed = true
		d.settle(known)
		recent := func(b brokenRun) bool { return !b.survived && now.Sub(b.at) < noticeDelay }
		return []Finding{known.finding(true, recent)}
	}
	return nil
}

// RecordAccepted records that an endpoint accepted a connection. If it refuses one later, it did not
// crash under the runs that had broken until now.
func (d *Detector) RecordAccepted(id string) {
	if known, ok := d.watched[id]; ok {
		for i := range known.breaks {
			known.breaks[i].survived = true
		}
	}
}

// UpdateEndpoints applies a list of endpoints that was current at the given time. It
// returns the conclusions, the endpoints whose connections must be probed, and the requests whose unframed
// answers were complete.
func (d *Detector) UpdateEndpoints(now, current time.Time, list catalog.Endpoints) (findings []Finding, probe []catalog.Endpoint, served []Request) {
	if len(d.watched) == 0 {
		return nil, nil, nil
	}
	l := lazyIndex{list: list}
	for id, known := range d.watched {
		e, listed := list.Get(id)
		switch {
		case listed && e.Draining:
			// The endpoint drains as planned.
			d.remove(known)
		case listed:
			mustProbe, complete := d.stillListed(known, current)
			if mustProbe {
				probe = append(probe, known.endpoint)
			}
			served = append(served, complete...)
		case known.crashed:
			d.remove(known)
		case l.replaced(known.endpoint):
			// The list does not show whether short runs had begun, so these are no
			// suspects.
			f := known.finding(true, func(b brokenRun) bool { return b.length != ShortRun })
			f.FromList = true
			findings = append(findings, f)
			d.remove(known)
		case now.Sub(known.lastBreak()) > replacementWindow:
			d.remove(known)
		}
	}
	return findings, probe, served
}

// stillListed handles an endpoint that is listed in the same incarnation, and reports whether it
// must be probed. Runs that broke longer ago than the lapse period did not crash it, so those of them whose
// answers may have been complete were served.
func (d *Detector) stillListed(known *watched, current time.Time) (probe bool, served []Request) {
	past := func(b brokenRun) bool { return current.Sub(b.at) >= d.lapse }
	if known.crashed {
		probe := !known.probing && past(known.breaks[len(known.breaks)-1])
		known.probing = known.probing || probe
		return probe, nil
	}
	if known.probing {
		return false, nil
	}
	served = d.drop(known, past)
	if len(known.breaks) == 0 {
		d.remove(known)
	}
	return false, served
}

// lazyIndex indexes the endpoints of a list by worker and by address when it is first needed, which
// is when a watched endpoint is missing from the list.
type lazyIndex struct {
	list             catalog.Endpoints
	byWorker         map[string]bool
	byServiceAddress map[string]bool
}

func (l *lazyIndex) build() {
	if l.byWorker != nil {
		return
	}
	l.byWorker, l.byServiceAddress = make(map[string]bool, l.list.Len()), make(map[string]bool, l.list.Len())
	for e := range l.list.All() {
		l.byWorker[catalog.WorkerName(e.ID)] = true
		l.byServiceAddress[e.Service+" "+e.Address] = true
	}
}

// replaced reports whether another incarnation of an endpoint is listed, either under the worker
// name that all its incarnations share or at its address.
func (l *lazyIndex) replaced(e catalog.Endpoint) bool {
	l.build()
	return l.byWorker[catalog.WorkerName(e.ID)] || l.byServiceAddress[e.Service+" "+e.Address]
}
