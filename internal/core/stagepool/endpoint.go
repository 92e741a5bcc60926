package stagepool

import (
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/mechanism"
)

const (
	// speedWeight is the weight of the latest call in an endpoint's speed.
	speedWeight = 0.4
	// slowFactor is how much slower than the fastest one an endpoint may be before it gets only an
	// occasional probe, once per slowProbeInterval.
	slowFactor        = 2.0
	slowProbeInterval = 2 * time.Second
	// minSuspension and maxSuspension bound how long an endpoint is suspended after a failure.
	minSuspension = 300 * time.Millisecond
	maxSuspension = 3 * time.Second
	// declinedSuspension is how long an endpoint is suspended after it declined a call.
	declinedSuspension = 40 * time.Millisecond
	// foreignDecay is the fraction of an endpoint's room by which the estimate of foreign results
	// there is lowered by each call that found room for all its results.
	foreignDecay = 0.15
	// usableRoomShare is the fraction of the configured room that is used, since result sizes are
	// approximate.
	usableRoomShare = 0.97
)

// endpoint is one endpoint of a stage service.
type endpoint struct {
	spec      catalog.Endpoint
	service   *service
	calls     map[CallID]*call
	results   map[*result]struct{}
	usedBytes int64
	// speed is the ratio of measured to expected call durations; lower is faster.
	speed          float64
	measuredAt     time.Time
	failures       int
	suspendedUntil time.Time
	// foreignBytes is the estimated room that another leader's results take. They live until
	// foreignUntil at most and may end at any time before, so the estimate decays linearly.
	foreignBytes int64
	foreignSince time.Time
	foreignUntil time.Time
	// contendedUntil is the time until which other leaders are assumed to send calls too.
	contendedUntil time.Time
	// leaving is true if the endpoint gets no more calls: it is draining, no longer listed, or was
	// replaced by another one at its address.
	leaving bool
	// backoffUntil is the end of the backoff that the endpoint asked for.
	backoffUntil time.Time
	off          mechanism.Disabled
	// pace limits all requests to the endpoint, and sends records those sent recently. pendingFrees
	// are results to be freed, which occupy pendingFreeBytes until then; nextSendFrees is true if
	// the next request that the pace permits is reserved for freeing them.
	pace             intake.Pace
	sends            intake.Sends
	pendingFrees     []string
	pendingFreeBytes int64
	nextSendFrees    bool
}

func (w *endpoint) usableRoom() int64 {
	return int64(usableRoomShare * float64(w.service.conf.ResultCapacity))
}

// freeRoom returns how many bytes of results the endpoint can still hold.
func (w *endpoint) freeRoom(now time.Time) int64 {
	return max(w.usableRoom()-w.usedBytes-w.pendingFreeBytes-w.foreignRoom(now), 0)
}

// foreignRoom returns the estimated size of results that other leaders hold at the endpoint.
func (w *endpoint) foreignRoom(now time.Time) int64 {
	if !now.Before(w.foreignUntil) {
		return 0
	}
	left := w.foreignUntil.Sub(now).Seconds() / w.foreignUntil.Sub(w.foreignSince).Seconds()
	return int64(left * float64(w.foreignBytes))
}

// observeFull records that a result of the given size found no room: whatever this pool doesn't
// hold there belongs to another leader. Smaller results may still fit.
func (w *endpoint) observeFull(now time.Time, bytes int64) {
	if w.off.Has(mechanism.ForeignRoom) {
		return
	}
	if !now.Before(w.foreignUntil) {
		w.foreignUntil = now.Add(w.service.conf.ResultTTL)
	}
	w.foreignSince = now
	w.foreignBytes = max(w.usableRoom()-w.usedBytes-max(bytes-1, 0), 0)
}

// observeRoom records that a call found room for all its results.
func (w *endpoint) observeRoom(now time.Time) {
	if !now.Before(w.foreignUntil) {
		return
	}
	w.foreignBytes = max(w.foreignRoom(now)-int64(foreignDecay*float64(w.usableRoom())), 0)
	w.foreignSince = now
}

func (w *endpoint) available(now time.Time) bool {
	return !w.leaving && !w.inBackoff(now) && len(w.calls) < w.service.conf.Slots && !now.Before(w.suspendedUntil) && !w.nextSendFrees && w.pace.Due(now, &w.sends)
}

// fastEnough reports whether the endpoint is not much slower than the fastest one, or is due for a
// probe.
func (w *endpoint) fastEnough(now time.Time, best float64) bool {
	return w.speed <= slowFactor*best || now.Sub(w.measuredAt) > slowProbeInterval
}

func (w *endpoint) recordLatency(now time.Time, actual, expected time.Duration) {
	ratio := float64(actual) / float64(max(expected, time.Millisecond))
	w.measuredAt = now
	if w.off.Has(mechanism.Speeds) {
		return
	}
	if slowFactor*ratio < w.speed {
		// A call may be slow by chance, but not fast: the endpoint has recovered.
		w.speed = ratio
		return
	}
	w.speed += speedWeight * (ratio - w.speed)
}

// suspend excludes the endpoint for a while after a failure, longer with each consecutive one.
func (w *endpoint) suspend(now time.Time) {
	w.failures++
	d := minSuspension << min(w.failures-1, 4)
	w.suspendedUntil = now.Add(min(d, maxSuspension))
}

func (w *endpoint) add(r *result) {
	w.results[r] = struct{}{}
	w.usedBytes += r.bytes
}

func (w *endpoint) drop(now time.Time, r *result) bool {
	if _, ok := w.results[r]; !ok {
		return false
	}
	delete(w.results, r)
	w.usedBytes -= r.bytes
	w.service.observeHeld(now.Sub(r.callSentAt), r.bytes)
	return true
}

// dropExpired removes results whose lifetime is over.
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
	// backlog counts the unassigned pieces by priority, including those of stages that are not
	// ready yet. profile holds the same pieces by the time at which they must start.
	backlog map[int]int
	profile profile
	// booked holds the pieces of booked returns.
	booked profile
	// starts is what the service can start, planned for the given version, which changes with each call
	// that starts or ends and with the endpoints.
	starts  *starts
	version uint64
	// calls and pieces count what was sent.
	calls  uint64
	pieces uint64
	// occupancy is the learned average of result size times lifetime, in byte-seconds from the
	// start of a result's call until it is freed.
	occupancy float64
}

const (
	// occupancyWeight is the weight of the latest result in a service's occupancy.
	occupancyWeight = 0.005
	// initialHoldCalls is the initial assumption of how long results are held, in durations of a
	// full call.
	initialHoldCalls = 2.5
	// minRoomShare is the fraction of the rate of full batches that is assumed even when room seems
	// short, since the estimate of foreign results may be wrong.
	minRoomShare = 0.1
)

// initOccupancy sets the initial occupancy for results of the given size.
func (s *service) initOccupancy(bytes int64) {
	if s.occupancy == 0 {
		s.occupancy = initialHoldCalls * s.callDuration(s.conf.Batch).Seconds() * float64(bytes)
	}
}

// observeHeld updates the occupancy with a result that was freed.
func (s *service) observeHeld(took time.Duration, bytes int64) {
	s.occupancy += occupancyWeight * (took.Seconds()*float64(bytes) - s.occupancy)
}

// entry is a queued stage of a task.
type entry struct {
	task  *task
	stage int
	// due determines the position in the queue.
	due  time.Time
	late bool
	// home is the failure domain within which the stage's large transfers stay, or "". The stage
	// waits for an endpoint there while waitsForHome is true, at the latest until homeWaitUntil.
	home          string
	since         time.Time
	homeWaitUntil time.Time
	waitsForHome  bool
}

// call is a call in progress.
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

// callDuration returns the expected duration of a call of n pieces at an endpoint of speed 1.
func (s *service) callDuration(n int) time.Duration {
	return s.conf.CallTime + time.Duration(n)*s.conf.ItemTime
}

// fastestSpeed returns the speed of the fastest endpoint that is not leaving.
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

// pieceRate returns how many pieces per second the service processes in full batches, limited by
// the room for their results.
func (s *service) pieceRate(now time.Time) float64 {
	sum := 0.0
	for _, w := range s.endpoints {
		sum += s.endpointRate(now, w)
	}
	return sum
}

// endpointRate returns the part of pieceRate of one endpoint.
func (s *service) endpointRate(now time.Time, w *endpoint) float64 {
	if w.leaving || now.Before(w.suspendedUntil) || w.inBackoff(now) {
		return 0
	}
	calls := w.callRate(now, 1/(w.speed*s.callDuration(s.conf.Batch).Seconds()))
	made := calls * float64(s.conf.Batch)
	return min(made, s.roomRate(now, w, made))
}

// roomRate returns how many pieces per second an endpoint has room for, or the given rate if room
// is not known to be the limit. With this bound, a leader that takes over endpoints with little
// room left admits two thirds of the tasks, of which 39% are late; 69% were late when full batches
// were assumed (TestRoomBoundsAdmission).
func (s *service) roomRate(now time.Time, w *endpoint, unbounded float64) float64 {
	if s.occupancy < 1 || s.conf.ResultCapacity <= 0 || w.off.Has(mechanism.RoomRate) {
		return unbounded
	}
	return max(float64(w.usableRoom()-w.foreignRoom(now))/s.occupancy, minRoomShare*unbounded)
}

// untilFree returns the time until the first endpoint can accept a call.
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
