package attempt

import "time"

// buckets is the number of parts of a window.
const buckets = 10

// WindowBudget bounds the repeats within a sliding window to a share of the
// first calls in it plus a fixed allowance, for each service apart. It is not
// safe for concurrent use.
type WindowBudget struct {
	share     float64
	allowance float64
	bucket    time.Duration
	services  map[string]*window
	// origin is the first time seen. Buckets count from it, so that they
	// follow the steady clock and not a time of day that may be set.
	origin time.Time
}

type window struct {
	newest int64
	fresh  [buckets]int
	again  [buckets]int
}

// NewWindowBudget returns a budget over a window; the allowance is this
// node's part of what all nodes may repeat beyond the share.
func NewWindowBudget(share, allowance float64, length time.Duration) *WindowBudget {
	return &WindowBudget{
		share:     share,
		allowance: allowance,
		bucket:    max(length/buckets, time.Millisecond),
		services:  make(map[string]*window),
	}
}

// SetAllowance changes the allowance, as when the number of nodes changed.
func (b *WindowBudget) SetAllowance(allowance float64) { b.allowance = allowance }

func (b *WindowBudget) at(now time.Time, service string) (*window, int) {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	if b.origin.IsZero() {
		b.origin = now
	}
	index := int64(now.Sub(b.origin) / b.bucket)
	for gap := min(index-w.newest, buckets); gap > 0; gap-- {
		slot := (index - gap + 1) % buckets
		w.fresh[slot] = 0
		w.again[slot] = 0
	}
	w.newest = max(w.newest, index)
	return w, int(w.newest % buckets)
}

// AddRequests counts first calls to a service.
func (b *WindowBudget) AddRequests(now time.Time, service string, n int) {
	w, slot := b.at(now, service)
	w.fresh[slot] += n
}

// TryAcquire counts repeats, and reports false when the budget does not allow them.
func (b *WindowBudget) TryAcquire(now time.Time, service string, n int) bool {
	w, slot := b.at(now, service)
	fresh, again := 0, 0
	for i := range buckets {
		fresh += w.fresh[i]
		again += w.again[i]
	}
	if float64(again+n) > b.share*float64(fresh)+b.allowance {
		return false
	}
	w.again[slot] += n
	return true
}
