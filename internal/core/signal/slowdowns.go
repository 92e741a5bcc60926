package signal

import (
	"maps"
	"math"
	"time"
)

// slowdownTTL is how long a stated slowdown counts. Endpoints change it many times per second.
const slowdownTTL = 2 * time.Second

// Slowdowns holds the slowdown that each endpoint stated last. It is not safe for concurrent use.
type Slowdowns struct {
	stated map[string]statedSlowdown
}

type statedSlowdown struct {
	factor float64
	at     time.Time
}

// NewSlowdowns returns an empty set.
func NewSlowdowns() *Slowdowns { return &Slowdowns{stated: make(map[string]statedSlowdown)} }

// Observe records a slowdown that an endpoint stated.
func (s *Slowdowns) Observe(now time.Time, endpoint string, factor float64) {
	if _, known := s.stated[endpoint]; known || len(s.stated) < maxEndpoints {
		s.stated[endpoint] = statedSlowdown{factor, now}
	}
}

// Mean returns the mean of the figures that endpoints stated within the last 2 s, or 0 if there are
// none.
func (s *Slowdowns) Mean(now time.Time) float64 {
	sum, count := 0.0, 0
	for _, x := range s.stated {
		if now.Sub(x.at) < slowdownTTL {
			sum += x.factor
			count++
		}
	}
	return sum / math.Max(float64(count), 1)
}

// Expire removes figures that no longer count.
func (s *Slowdowns) Expire(now time.Time) {
	maps.DeleteFunc(s.stated, func(_ string, x statedSlowdown) bool { return now.Sub(x.at) >= slowdownTTL })
}
