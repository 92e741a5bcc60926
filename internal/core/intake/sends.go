package intake

import "time"

const (
	// historyWindow is how far back sends are counted. Requests sent just before an endpoint
	// advertised a limit count too, since it is still processing them.
	historyWindow = 5 * time.Second
	// bucketWidth is the resolution of the counts.
	bucketWidth = 250 * time.Millisecond
	bucketCount = int(historyWindow / bucketWidth)
)

// Sends records the requests that one node has recently sent to one endpoint. The zero value is
// empty. It is not safe for concurrent use.
type Sends struct {
	last time.Time
	// next is when the next request is due if requests are evenly spaced.
	next time.Time
	// counts holds the number of sends per bucket of bucketWidth since first, the time of the first
	// send. newest is the latest bucket.
	first  time.Time
	newest int64
	counts [bucketCount]uint16
}

// Add records a request that is sent now at the given pace.
func (s *Sends) Add(now time.Time, p Pace) {
	s.last = now
	s.next = later(s.next, now)
	if r, bounded := p.rate(now); bounded {
		s.next = s.next.Add(interval(r))
	}
	if s.first.IsZero() {
		s.first = now
	}
	s.advance(now)
	s.counts[s.newest%int64(bucketCount)]++
}

// Last returns the time of the latest request, zero if there was none.
func (s *Sends) Last() time.Time { return s.last }

// advance clears the buckets that are older than historyWindow.
func (s *Sends) advance(now time.Time) {
	bucket := max(int64(now.Sub(s.first)/bucketWidth), s.newest)
	for k := s.newest + 1; k <= bucket && k <= s.newest+int64(bucketCount); k++ {
		s.counts[k%int64(bucketCount)] = 0
	}
	s.newest = bucket
}

// nextBelow returns the first time at which fewer than limit requests lie within historyWindow.
func (s *Sends) nextBelow(now time.Time, limit int) time.Time {
	if s.first.IsZero() {
		return now
	}
	s.advance(now)
	sum := 0
	for k := s.newest; k > s.newest-int64(bucketCount) && k >= 0; k-- {
		sum += int(s.counts[k%int64(bucketCount)])
		if sum >= limit {
			return s.first.Add(time.Duration(k+int64(bucketCount)) * bucketWidth)
		}
	}
	return now
}

// nextSpaced returns when the next request may be sent so that requests keep a gap on average, with
// bursts of the given size.
func (s *Sends) nextSpaced(gap time.Duration, burst float64) time.Time {
	early := s.next.Add(-time.Duration((burst - 1) * float64(gap)))
	if spaced := s.last.Add(gap); spaced.Before(early) {
		// The rate has risen since.
		return spaced
	}
	return early
}
