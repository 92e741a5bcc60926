package stagepool

import (
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/mechanism"
)

const (
	// speedWeight is the weight of the newest call in an endpoint's speed.
	speedWeight = 0.4
	// slowFactor is how much slower than the fastest an endpoint is when it
	// gets pieces only now and then.
	slowFactor = 2.0
	slowProbe  = 2 * time.Second
	// firstAside and longestAside bound how long a failed endpoint rests.
	firstAside   = 300 * time.Millisecond
	longestAside = 3 * time.Second
	// declinedRest is the rest after a call that the endpoint did not run.
	declinedRest = 40 * time.Millisecond
	// foreignStep is the part of an endpoint's room by which the belief in what
	// others hold there shrinks with each call that found room for all. 0.05 and
	// 0.3 were measured too (docs/DECISIONS.md).
	foreignStep = 0.15
	// roomShare of the configured room is used; sizes are approximate.
	roomShare = 0.97
)

// endpoint is one endpoint of a stage service.
type endpoint struct {
	spec    catalog.Endpoint
	service *service
	calls   map[CallID]*call
	results map[*result]struct{}
	used    int64
	// speed is the measured time of calls over the expected one.
	speed    float64
	measured time.Time
	failures int
	asideTo  time.Time
	// foreign is the room that results of another leader were found to take.
	// They live until foreignTo at most; each of them may end at any time until
	// then, so the belief shrinks evenly.
	foreign   int64
	foreignAt time.Time
	foreignTo time.Time
	// contended is until when others are taken to send it calls too.
	contended time.Time
	leaving   bool
	// backoff is until when nothing is sent, since the endpoint asked for that.
	backoff time.Time
	off     mechanism.Disabled
	// pace is that of all requests to it, sends what was sent of late. unfreed are results
	// that take unfreedBytes of room until they are given up with the next turn that is
	// theirs, which freeTurn tells.
	pace         intake.Pace
	sends        intake.Sends
	unfreed      []string
	unfreedBytes int64
	freeTurn     bool
}

func (w *endpoint) limit() int64 {
	return int64(roomShare * float64(w.service.conf.ResultCapacity))
}

// room is how many bytes of results the endpoint can take.
func (w *endpoint) room(now time.Time) int64 {
	return max(w.limit()-w.used-w.unfreedBytes-w.foreignRoom(now), 0)
}

// foreignRoom is how many bytes of results others are believed to hold.
func (w *endpoint) foreignRoom(now time.Time) int64 {
	if !now.Before(w.foreignTo) {
		return 0
	}
	left := w.foreignTo.Sub(now).Seconds() / w.foreignTo.Sub(w.foreignAt).Seconds()
	return int64(left * float64(w.foreign))
}

// full notes that a result of some bytes found no room: what is taken there and
// not held by this pool is another's. Smaller results may still find room.
func (w *endpoint) full(now time.Time, bytes int64) {
	if w.off.Has(mechanism.ForeignRoom) {
		return
	}
	if !now.Before(w.foreignTo) {
		w.foreignTo = now.Add(w.service.conf.ResultTTL)
	}
	w.foreignAt = now
	w.foreign = max(w.limit()-w.used-max(bytes-1, 0), 0)
}

// foundRoom notes that a call found room for all its results.
func (w *endpoint) foundRoom(now time.Time) {
	if !now.Before(w.foreignTo) {
		return
	}
	w.foreign = max(w.foreignRoom(now)-int64(foreignStep*float64(w.limit())), 0)
	w.foreignAt = now
}

func (w *endpoint) idle(now time.Time) bool {
	return !w.leaving && !w.inBackoff(now) && len(w.calls) < w.service.conf.Slots && !now.Before(w.asideTo) && !w.freeTurn && w.pace.Due(now, &w.sends)
}

// usable reports whether the endpoint is fast enough, or due for a trial.
func (w *endpoint) usable(now time.Time, best float64) bool {
	return w.speed <= slowFactor*best || now.Sub(w.measured) > slowProbe
}

func (w *endpoint) took(now time.Time, actual, expected time.Duration) {
	ratio := float64(actual) / float64(max(expected, time.Millisecond))
	w.measured = now
	if w.off.Has(mechanism.Speeds) {
		return
	}
	if slowFactor*ratio < w.speed {
		// A call can be late by chance, but not early: the endpoint has recovered.
		w.speed = ratio
		return
	}
	w.speed += speedWeight * (ratio - w.speed)
}

// rest sets the endpoint aside after a failure, longer each time.
func (w *endpoint) rest(now time.Time) {
	w.failures++
	d := firstAside << min(w.failures-1, 4)
	w.asideTo = now.Add(min(d, longestAside))
}

func (w *endpoint) add(r *result) {
	w.results[r] = struct{}{}
	w.used += r.bytes
}

func (w *endpoint) drop(now time.Time, r *result) bool {
	if _, ok := w.results[r]; !ok {
		return false
	}
	delete(w.results, r)
	w.used -= r.bytes
	w.service.held(now.Sub(r.begun), r.bytes)
	return true
}

// expire forgets results whose life is over.
func (w *endpoint) expire(now time.Time) {
	for r := range w.results {
		if !r.expires.IsZero() && now.After(r.expires) {
			w.drop(now, r)
		}
	}
}

// service is one stage service.
type service struct {
	name      string
	conf      catalog.Batching
	endpoints []*endpoint
	queue     []*entry
	// backlog counts the pieces that are in no call, by priority, those of
	// stages that are not ready included.
	backlog map[int]int
	// calls and pieces count what was sent.
	calls  uint64
	pieces uint64
	// occupancy is the room that a result takes until it is given up, in bytes
	// times seconds from the start of its call; it is learned.
	occupancy float64
}

const (
	// heldWeight is the weight of the newest result in a service's occupancy.
	heldWeight = 0.005
	// firstHold is how long the first results are taken to be held, in full calls.
	firstHold = 2.5
	// leastRoomShare of what full batches make is counted on however little room
	// there is: beliefs in what others hold may be wrong.
	leastRoomShare = 0.1
)

// expect takes a size of results in of which nothing is known yet.
func (s *service) expect(bytes int64) {
	if s.occupancy == 0 {
		s.occupancy = firstHold * s.expected(s.conf.Batch).Seconds() * float64(bytes)
	}
}

// held learns from a result that is given up.
func (s *service) held(took time.Duration, bytes int64) {
	s.occupancy += heldWeight * (took.Seconds()*float64(bytes) - s.occupancy)
}

// entry is a stage of a task that waits for calls.
type entry struct {
	task  *task
	stage int
	// due orders the queue.
	due  time.Time
	late bool
	// home is the domain where its big transfers stay inside, or "". The
	// stage waits for an endpoint there while stays is true, which is until
	// patience at the latest.
	home     string
	since    time.Time
	patience time.Time
	stays    bool
}

// call is one call at work.
type call struct {
	id       CallID
	endpoint *endpoint
	items    []itemRef
	sent     time.Time
	expected time.Duration
	reserved int64
	overdue  bool // its pieces were queued again
}

type itemRef struct {
	task  *task
	stage int
	piece int
	bytes int64
	live  bool
}

// expected is the time that a call of n pieces takes at an average endpoint.
func (s *service) expected(n int) time.Duration {
	return s.conf.CallTime + time.Duration(n)*s.conf.ItemTime
}

// best is the speed of the fastest endpoint that can be used.
func (s *service) best() float64 {
	best := 0.0
	for _, w := range s.endpoints {
		if w.leaving {
			continue
		}
		if best == 0 || w.speed < best {
			best = w.speed
		}
	}
	if best == 0 {
		return 1
	}
	return best
}

// rate is how many pieces a second the service makes: in full batches, but no more
// than find room for as long as results are held.
func (s *service) rate(now time.Time) float64 {
	sum := 0.0
	for _, w := range s.endpoints {
		if w.leaving || now.Before(w.asideTo) || w.inBackoff(now) {
			continue
		}
		calls := w.callRate(now, 1/(w.speed*s.expected(s.conf.Batch).Seconds()))
		made := calls * float64(s.conf.Batch)
		sum += min(made, s.roomRate(now, w, made))
	}
	return sum
}

// roomRate is how many pieces a second an endpoint has room for, or a given rate
// where room is not known to bound it. A leader that takes over endpoints whose room is
// mostly taken lets in two thirds of the tasks, of which 39 in 100 are late; counting on
// full batches 69 in 100 were (TestRoomBoundsAdmission).
func (s *service) roomRate(now time.Time, w *endpoint, unbounded float64) float64 {
	if s.occupancy < 1 || s.conf.ResultCapacity <= 0 || w.off.Has(mechanism.RoomRate) {
		return unbounded
	}
	return max(float64(w.limit()-w.foreignRoom(now))/s.occupancy, leastRoomShare*unbounded)
}

// free is the time until the first endpoint can take a call.
func (s *service) free(now time.Time) time.Duration {
	first := time.Duration(-1)
	for _, w := range s.endpoints {
		if w.leaving {
			continue
		}
		wait := max(w.asideTo.Sub(now), w.backoff.Sub(now), w.pace.Next(now, &w.sends).Sub(now), 0)
		if len(w.calls) >= s.conf.Slots {
			for _, c := range w.calls {
				left := time.Duration(w.speed*float64(c.expected)) - now.Sub(c.sent)
				wait = max(wait, left, 20*time.Millisecond)
			}
		}
		if first < 0 || wait < first {
			first = wait
		}
	}
	return max(first, 0)
}
