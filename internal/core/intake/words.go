package intake

import "time"

// Words is what the endpoints were last heard to say of themselves. It is not safe for
// concurrent use.
type Words struct {
	byEndpoint map[string]heard
}

// heard is what an endpoint said at a moment.
type heard struct {
	rate Rate
	at   time.Time
}

// NewWords returns an empty set.
func NewWords() *Words { return &Words{byEndpoint: make(map[string]heard)} }

// Len returns the number of endpoints that name a rate.
func (w *Words) Len() int { return len(w.byEndpoint) }

// Rate returns what an endpoint was last heard to take.
func (w *Words) Rate(endpoint string) Rate { return w.byEndpoint[endpoint].rate }

// Hear takes in what an endpoint says, and returns the rate that it named before, and
// whether that changed.
func (w *Words) Hear(now time.Time, endpoint string, rate Rate) (before Rate, changed bool) {
	before = w.byEndpoint[endpoint].rate
	if rate.Bounded() {
		w.byEndpoint[endpoint] = heard{rate: rate, at: now}
	} else {
		delete(w.byEndpoint, endpoint)
	}
	return before, before != rate
}

// Forget drops what is known of endpoints that are gone.
func (w *Words) Forget(gone func(endpoint string) bool) {
	for endpoint := range w.byEndpoint {
		if gone(endpoint) {
			delete(w.byEndpoint, endpoint)
		}
	}
}
