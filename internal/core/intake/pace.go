package intake

import (
	"math"
	"time"
)

const (
	// A time slot may be used for its lifetime after it begins. Slots that never expired could all be
	// used at the same moment: 295 nodes that had nothing to send for a while would send 295 requests
	// at once to an endpoint that accepts one per second. A cold endpoint is bounded in each second,
	// so that fewer open slots are safe there than under an advertised limit.
	coldSlotLifetime = 1500 * time.Millisecond
	// Under an advertised limit, the slots that are open at once may add half of what the limit
	// allows in 4 s, and a few requests more.
	minSlotLifetime = 2300 * time.Millisecond
	maxSlotLifetime = 2400 * time.Millisecond
	slotSlack       = 1.0 // requests
	// maxSlotlessInterval is the longest interval between requests that is kept without time slots.
	maxSlotlessInterval = 1500 * time.Millisecond
	// maxSkippedSlots bounds the search for the next time slot that is used.
	maxSkippedSlots = 64
	// burstWindow is the period whose requests may be sent at once.
	burstWindow = 250 * time.Millisecond
	// maxInterval is the interval that stands for a rate of zero.
	maxInterval = time.Hour
)

// Pace determines when one node may send requests to one endpoint. The zero value sets no limit.
type Pace struct {
	bound Bound
	share Share
}

// NewPace returns the pace of a share of a bound.
func NewPace(b Bound, p Share) Pace { return Pace{bound: b, share: p} }

// rate returns how many requests per second this node may send, and whether that is limited.
func (p Pace) rate(now time.Time) (perSecond float64, bounded bool) {
	r := p.bound.At(now)
	if !r.Bounded() {
		return 0, false
	}
	return p.share.rate(r.PerSecond(), now), true
}

// Bounded reports whether the endpoint's intake is limited now.
func (p Pace) Bounded(now time.Time) bool { return p.bound.At(now).Bounded() }

// PerSecond returns how many requests per second this node may send, or false if there is no limit.
func (p Pace) PerSecond(now time.Time) (perSecond float64, bounded bool) { return p.rate(now) }

// interval returns the time between requests at a rate.
func interval(perSecond float64) time.Duration {
	if perSecond*maxInterval.Seconds() < 1 {
		return maxInterval
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// burst returns how many requests may be sent at once.
func burst(perSecond float64) float64 { return 1 + perSecond*burstWindow.Seconds() }

// slotInterval returns the time between the node's time slots, of which it may use only a part.
func (p Pace) slotInterval(perSecond float64) time.Duration {
	return interval(perSecond / p.share.usedPart())
}

// slotLifetime returns how long a time slot may be used.
func (p Pace) slotLifetime(now time.Time) time.Duration {
	if now.Before(p.bound.coldUntil) {
		return coldSlotLifetime
	}
	slack := slotSlack / max(p.bound.At(now).PerSecond(), probePerSecond)
	return min(minSlotLifetime+time.Duration(slack*float64(time.Second)), maxSlotLifetime)
}

// usesTimeSlots reports whether the interval is so long that the node has to keep to its time
// slots. If all nodes saved up requests, together they would exceed what the endpoint accepts.
func (p Pace) usesTimeSlots(gap time.Duration) bool {
	return p.share.nodes > 1 && gap > maxSlotlessInterval
}

// Due reports whether a request may be sent now.
func (p Pace) Due(now time.Time, s *Sends) bool {
	r, bounded := p.rate(now)
	return !bounded || !p.nextSend(now, r, s).After(now)
}

// Advertised reports whether the endpoint advertises a rate limit, or the rate is still rising
// after one.
func (p Pace) Advertised() bool { return p.bound.limit.bounded || p.bound.rampFrom > 0 }

// TimeSlotEnd returns when the time slot that the node now has at an endpoint which advertises a
// rate limit expires, or false if it has none. Time slots at cold endpoints don't count and may go
// unused: a cold endpoint is slow, and others serve better.
func (p Pace) TimeSlotEnd(now time.Time, s *Sends) (time.Time, bool) {
	if !p.bound.rampedLimit(now).Bounded() || now.Before(p.bound.coldUntil) {
		return time.Time{}, false
	}
	r, _ := p.rate(now)
	gap := p.slotInterval(r)
	if !p.usesTimeSlots(gap) || p.nextSend(now, r, s).After(now) {
		return time.Time{}, false
	}
	_, began := p.timeSlot(now, gap)
	return began.Add(p.slotLifetime(now)), true
}

// Next returns when the next request may be sent, as far as is known now.
func (p Pace) Next(now time.Time, s *Sends) time.Time {
	r, bounded := p.rate(now)
	if !bounded {
		return now
	}
	return p.nextSend(now, r, s)
}

// AllowedUntil returns how many requests may be sent until the given time, or false if there is no
// limit.
func (p Pace) AllowedUntil(now, by time.Time, s *Sends) (int, bool) {
	r, bounded := p.rate(now)
	if !bounded {
		return 0, false
	}
	next := p.nextSend(now, r, s)
	if next.After(by) {
		return 0, true
	}
	return 1 + int(by.Sub(next)/interval(r)), true
}

// nextSend returns when the next request may be sent at the given rate.
func (p Pace) nextSend(now time.Time, perSecond float64, s *Sends) time.Time {
	drained := s.nextBelow(now, max(int(perSecond*historyWindow.Seconds()+burst(perSecond)), 1))
	if gap := p.slotInterval(perSecond); p.usesTimeSlots(gap) {
		return later(drained, p.nextTimeSlot(now, gap, s))
	}
	return later(drained, s.nextSpaced(interval(perSecond), burst(perSecond)))
}

// timeSlot returns the number since the Unix epoch and the start of the node's newest time slot.
// Time slots are derived from the time of day, on which all nodes nearly agree.
func (p Pace) timeSlot(now time.Time, gap time.Duration) (number int64, began time.Time) {
	seconds := gap.Seconds()
	offset := seconds * float64(p.share.timeSlot) / float64(p.share.nodes)
	sinceEpoch := float64(now.UnixNano())/float64(time.Second) - offset
	n := math.Floor(sinceEpoch / seconds)
	return int64(n), now.Add(-time.Duration((sinceEpoch - n*seconds) * float64(time.Second)))
}

// nextTimeSlot returns now if the node has an unused time slot, otherwise the start of its next one.
// Time slots move when the rate, the number of nodes or a clock changes, so a slot that comes too
// soon after the last send is skipped.
func (p Pace) nextTimeSlot(now time.Time, gap time.Duration, s *Sends) time.Time {
	number, began := p.timeSlot(now, gap)
	spaced := min(gap, s.next.Sub(s.last))
	lifetime := p.slotLifetime(now)
	soon := now.Sub(s.last) < max(spaced/2, spaced-lifetime)
	if s.last.Before(began) && !soon && now.Sub(began) < lifetime && p.share.usesSlot(number) {
		return now
	}
	next := number + 1
	for next < number+maxSkippedSlots && !p.share.usesSlot(next) {
		next++
	}
	return began.Add(time.Duration(next-number) * gap)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
