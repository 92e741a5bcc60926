package attempt

import "time"

// numBuckets is the number of buckets of a sliding window.
const numBuckets = 10

// WindowBudget bounds the retries within a sliding window to a share of the
// first calls in it plus a fixed allowance, separately for each service. It is
// not safe for concurrent use.
type WindowBudget struct {
	share     float64
	allowance float64
	bucket    time.Duration
	services  map[string]*window
	// origin is the first time passed in. Buckets are numbered from it by the
	// monotonic clock, so that changes of the wall clock have no effect.
	origin time.Time
}

type window struct {
	newest   int64
	requests [numBuckets]int
	retries  [numBuckets]int
}

// NewWindowBudget returns a budget over a window of the given length. The
// allowance is this node's part of the retries that all nodes may make beyond
// the share.
func NewWindowBudget(share, allowance float64, length time.Duration) *WindowBudget {
	return &WindowBudget{
		share:     share,
		allowance: allowance,
		bucket:    max(length/numBuckets, time.Millisecond),
		services:  make(map[string]*window),
	}
}

// SetAllowance changes the allowance, for example when the number of nodes
// changes.
func (b *WindowBudget) SetAllowance(allowance float64) { b.allowance = allowance }

func (b *WindowBudget) current(now time.Time, service string) (*window, int) {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	if b.origin.IsZero() {
		b.origin = now
	}
	index := int64(now.Sub(b.origin) / b.bucket)
	for gap := min(index-w.newest, numBuckets); gap > 0; gap-- {
		slot := (index - gap + 1) % numBuckets
		w.requests[slot] = 0
		w.retries[slot] = 0
	}
	w.newest = max(w.newest, index)
	return w, int(w.newest % numBuckets)
}

// AddRequests counts first calls to a service.
func (b *WindowBudget) AddRequests(now time.Time, service string, n int) {
	w, slot := b.current(now, service)
	w.requests[slot] += n
}

// TryAcquire counts n retries, and reports false if the budget does not allow them.
func (b *WindowBudget) TryAcquire(now time.Time, service string, n int) bool {
	w, slot := b.current(now, service)
	requests, retries := 0, 0
	for i := range numBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+n) > b.share*float64(requests)+b.allowance {
		return false
	}
	w.retries[slot] += n
	return true
}

// Counts holds the requests and the retries of a service within the window, by part of the window,
// the newest first.
type Counts struct{ Requests, Retries []int }

// Snapshot returns the counts of each service, for the node that takes over this one's work.
func (b *WindowBudget) Snapshot(now time.Time) map[string]Counts {
	all := make(map[string]Counts, len(b.services))
	for service := range b.services {
		w, newest := b.current(now, service)
		c := Counts{Requests: make([]int, numBuckets), Retries: make([]int, numBuckets)}
		for age := range numBuckets {
			slot := (newest - age + numBuckets) % numBuckets
			c.Requests[age], c.Retries[age] = w.requests[slot], w.retries[slot]
		}
		all[service] = c
	}
	return all
}

// Merge adds the counts of another node's budget with a window of the same length. Further parts than
// the window has are ignored, as are negative counts.
func (b *WindowBudget) Merge(now time.Time, service string, c Counts) {
	w, newest := b.current(now, service)
	for age := range numBuckets {
		slot := (newest - age + numBuckets) % numBuckets
		if age < len(c.Requests) {
			w.requests[slot] += max(c.Requests[age], 0)
		}
		if age < len(c.Retries) {
			w.retries[slot] += max(c.Retries[age], 0)
		}
	}
}
