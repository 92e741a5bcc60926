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
	slowFactor        = 2.0
	slowProbeInterval = 2 * time.Second
	// minSuspension and longestAside bound how long a failed endpoint rests.
	minSuspension = 300 * time.Millisecond
	maxSuspension = 3 * time.Second
	// declinedSuspension is the rest after a call that the endpoint did not run.
	declinedSuspension = 40 * time.Millisecond
	// foreignDecay is the part of an endpoint's room by which the belief in what
	// others hold there shrinks with each call that found room for all. 0.05 and
	// 0.3 were measured too (docs/DECISIONS.md).
	foreignDecay = 0.15
	// usableRoomShare of the configured room is used; sizes are approximate.
	usableRoomShare = 0.97
)

// endpoint is one endpoint of a stage service.
type endpoint struct {
	spec    catalog.Endpoint
	service *service
	calls   map[CallID]*call
	results map[*result]struct{}
	used    int64
	// speed is the measured time of calls over the expected one.
	speed          float64
	measured       time.Time
	failures       int
	suspendedUntil time.Time
	// foreign is the room that results of another leader were found to take.
	// They live until foreignTo at most; each of them may end at any time until
	// then, so the belief shrinks evenly.
	foreign      int64
	foreignAt    time.Time
	foreignUntil time.Time
	// contendedUntil is until when others are taken to send it calls too.
	contendedUntil time.Time
	leaving        bool
	// backoffUntil is until when nothing is sent, since the endpoint asked for that.
	backoffUntil time.Time
	off          mechanism.Off
	// pace is that of all requests to it, sends what was sent of late. unfreed are results
	// that take unfreedBytes of room until they are given up with the next turn that is
	// theirs, which freeTurn tells.
	pace             intake.Pace
	sends            intake.Sends
	pendingFrees     []string
	pendingFreeBytes int64
	nextTurnFrees    bool
}

func (w *endpoint) usableRoom() int64 {
	return int64(usableRoomShare * float64(w.service.conf.Room))
}

// freeRoom is how many bytes of results the endpoint can take.
func (w *endpoint) freeRoom(now time.Time) int64 {
	return max(w.usableRoom()-w.used-w.pendingFreeBytes-w.foreignRoom(now), 0)
}

// foreignRoom is how many bytes of results others are believed to hold.
func (w *endpoint) foreignRoom(now time.Time) int64 {
	if !now.Before(w.foreignUntil) {
		return 0
	}
	left := w.foreignUntil.Sub(now).Seconds() / w.foreignUntil.Sub(w.foreignAt).Seconds()
	return int64(left * float64(w.foreign))
}

// observeFull notes that a result of some bytes found no room: what is taken there and
// not held by this pool is another's. Smaller results may still find room.
func (w *endpoint) observeFull(now time.Time, bytes int64) {
	if w.off.Has(mechanism.ForeignRoom) {
		return
	}
	if !now.Before(w.foreignUntil) {
		w.foreignUntil = now.Add(w.service.conf.ResultLife)
	}
	w.foreignAt = now
	w.foreign = max(w.usableRoom()-w.used-max(bytes-1, 0), 0)
}

// observeRoom notes that a call found room for all its results.
func (w *endpoint) observeRoom(now time.Time) {
	if !now.Before(w.foreignUntil) {
		return
	}
	w.foreign = max(w.foreignRoom(now)-int64(foreignDecay*float64(w.usableRoom())), 0)
	w.foreignAt = now
}

func (w *endpoint) available(now time.Time) bool {
	return !w.leaving && !w.inBackoff(now) && len(w.calls) < w.service.conf.Slots && !now.Before(w.suspendedUntil) && !w.nextTurnFrees && w.pace.Due(now, &w.sends)
}

// fastEnough reports whether the endpoint is fast enough, or due for a trial.
func (w *endpoint) fastEnough(now time.Time, best float64) bool {
	return w.speed <= slowFactor*best || now.Sub(w.measured) > slowProbeInterval
}

func (w *endpoint) recordLatency(now time.Time, actual, expected time.Duration) {
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

// suspend sets the endpoint aside after a failure, longer each time.
func (w *endpoint) suspend(now time.Time) {
	w.failures++
	d := minSuspension << min(w.failures-1, 4)
	w.suspendedUntil = now.Add(min(d, maxSuspension))
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
	w.service.observeHeld(now.Sub(r.begun), r.bytes)
	return true
}

// dropExpired forgets results whose life is over.
func (w *endpoint) dropExpired(now time.Time) {
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
	// occupancyWeight is the weight of the newest result in a service's occupancy.
	occupancyWeight = 0.005
	// initialHoldCalls is how long the first results are taken to be held, in full calls.
	initialHoldCalls = 2.5
	// minRoomShare of what full batches make is counted on however little room
	// there is: beliefs in what others hold may be wrong.
	minRoomShare = 0.1
)

// initOccupancy takes a size of results in of which nothing is known yet.
func (s *service) initOccupancy(bytes int64) {
	if s.occupancy == 0 {
		s.occupancy = initialHoldCalls * s.callDuration(s.conf.Batch).Seconds() * float64(bytes)
	}
}

// observeHeld learns from a result that is given up.
func (s *service) observeHeld(took time.Duration, bytes int64) {
	s.occupancy += occupancyWeight * (took.Seconds()*float64(bytes) - s.occupancy)
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
	home          string
	since         time.Time
	homeWaitUntil time.Time
	waitsForHome  bool
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
	task   *task
	stage  int
	piece  int
	bytes  int64
	wanted bool
}

// callDuration is the time that a call of n pieces takes at an average endpoint.
func (s *service) callDuration(n int) time.Duration {
	return s.conf.CallTime + time.Duration(n)*s.conf.ItemTime
}

// fastestSpeed is the speed of the fastest endpoint that can be used.
func (s *service) fastestSpeed() float64 {
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

// pieceRate is how many pieces a second the service makes: in full batches, but no more
// than find room for as long as results are held.
func (s *service) pieceRate(now time.Time) float64 {
	sum := 0.0
	for _, w := range s.endpoints {
		if w.leaving || now.Before(w.suspendedUntil) || w.inBackoff(now) {
			continue
		}
		calls := w.callRate(now, 1/(w.speed*s.callDuration(s.conf.Batch).Seconds()))
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
	if s.occupancy < 1 || s.conf.Room <= 0 || w.off.Has(mechanism.RoomRate) {
		return unbounded
	}
	return max(float64(w.usableRoom()-w.foreignRoom(now))/s.occupancy, minRoomShare*unbounded)
}

// untilFree is the time until the first endpoint can take a call.
func (s *service) untilFree(now time.Time) time.Duration {
	first := time.Duration(-1)
	for _, w := range s.endpoints {
		if w.leaving {
			continue
		}
		wait := max(w.suspendedUntil.Sub(now), w.backoffUntil.Sub(now), w.pace.Next(now, &w.sends).Sub(now), 0)
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
