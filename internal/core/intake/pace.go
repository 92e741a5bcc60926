package intake

import (
	"math"
	"time"
)

const (
	// turnLife is how long a node may wait for a request when its turn has come. Turns that
	// kept for ever would all be used in one moment: 295 nodes that had nothing to send for a
	// while would send an endpoint that takes one request a second 295 at once.
	turnLife = 1500 * time.Millisecond
	// burstTime is the time whose requests may be sent at once.
	burstTime = 250 * time.Millisecond
	// farOff stands for the gap of a part that is nothing.
	farOff = time.Hour
)

// Pace is at which times one node may send requests to one endpoint. The zero value is that
// of an endpoint that takes any number.
type Pace struct {
	bound Bound
	part  Share
}

// NewPace returns the pace of a part of a bound.
func NewPace(b Bound, p Share) Pace { return Pace{bound: b, part: p} }

// rate is how many requests a second this node may send, and whether that is bounded.
func (p Pace) rate(now time.Time) (perSecond float64, bounded bool) {
	r := p.bound.At(now)
	if !r.Bounded() {
		return 0, false
	}
	return p.part.of(r.PerSecond(), now), true
}

// Bounded reports whether anything bounds what the endpoint takes now.
func (p Pace) Bounded(now time.Time) bool { return p.bound.At(now).Bounded() }

// PerSecond returns how many requests a second this node may send, or false if any number.
func (p Pace) PerSecond(now time.Time) (perSecond float64, bounded bool) { return p.rate(now) }

func gapOf(perSecond float64) time.Duration {
	if perSecond*farOff.Seconds() < 1 {
		return farOff
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// burst is how many requests may be sent at once.
func burst(perSecond float64) float64 { return 1 + perSecond*burstTime.Seconds() }

// byTurns reports whether the part is so small that the node has to keep to its turns: saved
// up by all nodes, it would be more than the endpoint takes.
func (p Pace) byTurns(gap time.Duration) bool { return p.part.nodes > 1 && gap > turnLife }

// Due reports whether a request may go out now.
func (p Pace) Due(now time.Time, s *Sends) bool {
	r, bounded := p.rate(now)
	return !bounded || !p.nextAt(now, r, s).After(now)
}

// Advertised reports whether the endpoint names a rate, or has until lately.
func (p Pace) Advertised() bool { return p.bound.named.named || p.bound.from > 0 }

// HasTurn reports whether the node has a turn now that ends unused soon, at an endpoint that has
// named a rate. The turns of a cold one may pass: it is slow, and others serve better.
func (p Pace) HasTurn(now time.Time, s *Sends) bool {
	if !p.bound.eased(now).Bounded() || now.Before(p.bound.coldUntil) {
		return false
	}
	r, _ := p.rate(now)
	return p.byTurns(gapOf(r)) && !p.nextAt(now, r, s).After(now)
}

// Next is when the next request may go out, as far as it is known now.
func (p Pace) Next(now time.Time, s *Sends) time.Time {
	r, bounded := p.rate(now)
	if !bounded {
		return now
	}
	return p.nextAt(now, r, s)
}

// AllowedUntil is how many requests may go out until a moment, or false when that is not bounded.
func (p Pace) AllowedUntil(now, by time.Time, s *Sends) (int, bool) {
	r, bounded := p.rate(now)
	if !bounded {
		return 0, false
	}
	next := p.nextAt(now, r, s)
	if next.After(by) {
		return 0, true
	}
	return 1 + int(by.Sub(next)/gapOf(r)), true
}

// nextAt is when the next request may go out at a rate.
func (p Pace) nextAt(now time.Time, perSecond float64, s *Sends) time.Time {
	gap := gapOf(perSecond)
	drained := s.below(now, max(int(perSecond*sendsSpan.Seconds()+burst(perSecond)), 1))
	if p.byTurns(gap) {
		return later(drained, p.turnAt(now, gap, s))
	}
	return later(drained, s.spaced(gap, burst(perSecond)))
}

// turnAt is now if the node has a turn that it has not used, else when its next one comes.
// Turns go by the time of day, which all nodes nearly agree on. They move when the rate, the
// number of nodes or a clock changes, so one that comes too soon after the last is passed
// over.
func (p Pace) turnAt(now time.Time, gap time.Duration, s *Sends) time.Time {
	seconds := gap.Seconds()
	offset := seconds * float64(p.part.turn) / float64(p.part.nodes)
	into := math.Mod(float64(now.UnixNano())/float64(time.Second)-offset, seconds)
	began := now.Add(-time.Duration(into * float64(time.Second)))
	spaced := min(gap, s.next.Sub(s.last))
	soon := now.Sub(s.last) < max(spaced/2, spaced-turnLife)
	if s.last.Before(began) && !soon && now.Sub(began) < turnLife {
		return now
	}
	return began.Add(gap)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
