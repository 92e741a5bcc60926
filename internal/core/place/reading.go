package place

import "time"

// The start values of a Reading, as measured at the first deployment, and the
// bounds of what is learned.
const (
	startRate   = 45.0 // tokens a millisecond
	slowestRate = 2.0
	fastestRate = 1000.0
	startBase   = 50 * time.Millisecond
	longestBase = 500 * time.Millisecond
)

const (
	// readingWeight is the weight of the newest call; half of what is known is
	// from the last 14 calls.
	readingWeight = 0.05
	// shortPrompt is up to how many tokens a call tells about the base, and
	// longPrompt from how many on it tells about the rate.
	shortPrompt = 500
	longPrompt  = 2000
	// farOff bounds how far one call moves what is known: an engine that
	// hangs says nothing about the others.
	farOff = 3.0
)

// PrefillModel is how long model engines take to the first event of an answer: a base
// and a time a token, learned from the calls that began to answer.
type PrefillModel struct {
	base time.Duration
	rate float64 // tokens a millisecond
}

// NewPrefillModel returns the start values.
func NewPrefillModel() *PrefillModel { return &PrefillModel{base: startBase, rate: startRate} }

// Predict predicts the time to the first event of a prompt when an engine has some
// tokens to read until its end.
func (r *PrefillModel) Predict(tokens int) time.Duration {
	return r.base + time.Duration(float64(tokens)/r.rate*float64(time.Millisecond))
}

// Observe takes the time in that a call took to its first event, and the tokens
// that the engine had to read until then.
func (r *PrefillModel) Observe(tokens int, took time.Duration) {
	expected := r.Predict(tokens)
	took = min(max(took, time.Duration(float64(expected)/farOff)), time.Duration(farOff*float64(expected)))
	switch {
	case tokens <= shortPrompt:
		r.base += time.Duration(readingWeight * float64(took-expected))
		r.base = min(max(r.base, time.Millisecond), longestBase)
	case tokens >= longPrompt && took > r.base:
		rate := float64(tokens) / (float64(took-r.base) / float64(time.Millisecond))
		rate = min(rate, farOff*r.rate)
		r.rate = min(max(r.rate+readingWeight*(rate-r.rate), slowestRate), fastestRate)
	}
}
