package place

import "time"

const (
	// initialPerToken is the time per generated token that is assumed before any was measured.
	initialPerToken = 20 * time.Millisecond
	minPerToken     = time.Millisecond
	maxPerToken     = time.Second
)

// OutputPace learns how long engines take to generate a token, from responses whose length is known.
// The zero value has the initial estimate.
type OutputPace struct {
	perToken time.Duration
}

// Predict returns the expected time to generate some tokens.
func (o *OutputPace) Predict(tokens int) time.Duration {
	if o.perToken == 0 {
		o.perToken = initialPerToken
	}
	// The product of a large count would overflow; no prediction is used beyond maxReservation.
	return time.Duration(min(max(tokens, 0), int(maxReservation/minPerToken))) * o.perToken
}

// Observe records how long an engine took to generate some tokens. As in PrefillModel, one response
// counts little: a client that reads slowly stretches its own.
func (o *OutputPace) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	expected := o.Predict(1)
	perToken := min(max(took/time.Duration(tokens), time.Duration(float64(expected)/maxDeviation)), time.Duration(maxDeviation*float64(expected)))
	o.perToken += time.Duration(observationWeight * float64(perToken-o.perToken))
	o.perToken = min(max(o.perToken, minPerToken), maxPerToken)
}
