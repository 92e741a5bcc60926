package place

import "time"

// The start values of a Reading, as measured at the first deployment, and the
// bounds of what is learned.
const (
	initialTokensPerMS = 45.0 // tokens a millisecond
	minTokensPerMS     = 2.0
	maxTokensPerMS     = 1000.0
	initialBase        = 50 * time.Millisecond
	maxBase            = 500 * time.Millisecond
)

const (
	// observationWeight is the weight of the newest call; half of what is known is
	// from the last 14 calls.
	observationWeight = 0.05
	// shortPromptTokens is up to how many tokens a call tells about the base, and
	// longPrompt from how many on it tells about the rate.
	shortPromptTokens = 500
	longPromptTokens  = 2000
	// maxDeviation bounds how far one call moves what is known: an engine that
	// hangs says nothing about the others.
	maxDeviation = 3.0
)

// PrefillModel is how long model engines take to the first event of an answer: a base
// and a time a token, learned from the calls that began to answer.
type PrefillModel struct {
	base        time.Duration
	tokensPerMS float64 // tokens a millisecond
}

// NewPrefillModel returns the start values.
func NewPrefillModel() *PrefillModel {
	return &PrefillModel{base: initialBase, tokensPerMS: initialTokensPerMS}
}

// Predict predicts the time to the first event of a prompt when an engine has some
// tokens to read until its end.
func (r *PrefillModel) Predict(tokens int) time.Duration {
	return r.base + time.Duration(float64(tokens)/r.tokensPerMS*float64(time.Millisecond))
}

// Observe takes the time in that a call took to its first event, and the tokens
// that the engine had to read until then.
func (r *PrefillModel) Observe(tokens int, took time.Duration) {
	expected := r.Predict(tokens)
	took = min(max(took, time.Duration(float64(expected)/maxDeviation)), time.Duration(maxDeviation*float64(expected)))
	switch {
	case tokens <= shortPromptTokens:
		r.base += time.Duration(observationWeight * float64(took-expected))
		r.base = min(max(r.base, time.Millisecond), maxBase)
	case tokens >= longPromptTokens && took > r.base:
		rate := float64(tokens) / (float64(took-r.base) / float64(time.Millisecond))
		rate = min(rate, maxDeviation*r.tokensPerMS)
		r.tokensPerMS = min(max(r.tokensPerMS+observationWeight*(rate-r.tokensPerMS), minTokensPerMS), maxTokensPerMS)
	}
}
