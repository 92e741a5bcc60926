package place

import (
	"math"
	"time"
)

const (
	// slowdownHalfLife is the time in which the difference between a stated slowdown and the
	// endpoint's average loses half of its weight: half of the 0.6 s for which an endpoint keeps
	// one value, that is, the mean remaining time of a value.
	slowdownHalfLife = 300 * time.Millisecond
	// slowdownMaxAge is how long a stated slowdown remains valid.
	slowdownMaxAge = 2 * time.Second
	// slowdownWeight is the weight of the newest figure in an endpoint's average: the last 35
	// contribute half of it. With 0.05, the average of 0.15 of figures at 2.5 varied by 8%.
	slowdownWeight = 0.02
)

// slowdown is how many times as long as usual work takes at an endpoint. The zero value is that of an
// endpoint that never stated it.
type slowdown struct {
	stated float64
	at     time.Time
	// mean is the average of the stated figures.
	mean float64
}

// observe records a figure that the endpoint stated.
func (s *slowdown) observe(now time.Time, stated float64) {
	if s.mean == 0 {
		// 1 is what endpoints state as usual. Starting at the first figure instead would make
		// that figure permanent until there are many others.
		s.mean = 1
	}
	s.stated, s.at = stated, now
	s.mean += slowdownWeight * (stated - s.mean)
}

// known reports whether the endpoint has stated a figure that is still valid.
func (s *slowdown) known(now time.Time) bool {
	return s.stated != 0 && now.Sub(s.at) < slowdownMaxAge
}

// factor returns the factor by which work takes longer now than usual, or 1 if that is unknown.
func (s *slowdown) factor(now time.Time, halfLife time.Duration) float64 {
	if !s.known(now) {
		return 1
	}
	weight := math.Exp2(-float64(now.Sub(s.at)) / float64(halfLife))
	return s.mean + weight*(s.stated-s.mean)
}

// delay returns by how much longer than usual work takes that starts now and usually takes the given
// time. Work that lasts longer than a stated slowdown sees more of the average.
func (s *slowdown) delay(now time.Time, work, halfLife time.Duration) time.Duration {
	if !s.known(now) {
		return 0
	}
	fade := float64(halfLife) / math.Ln2
	lasting := (s.mean - 1) * float64(work)
	passing := (s.factor(now, halfLife) - s.mean) * fade * (1 - math.Exp(-float64(work)/fade))
	return time.Duration(lasting + passing)
}

// usual returns the latency that a call would have had at the usual speed, given the slowdown that its
// answer stated, or 0 if it stated none.
func usual(latency time.Duration, stated float64) time.Duration {
	if stated == 0 {
		return latency
	}
	return time.Duration(float64(latency) / stated)
}
