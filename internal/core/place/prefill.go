package place

import "time"

// The initial estimates of a PrefillModel and the bounds of its estimates.
const (
	initialTokensPerMS = 45.0
	minTokensPerMS     = 2.0
	maxTokensPerMS     = 1000.0
	initialBase        = 50 * time.Millisecond
	maxBase            = 500 * time.Millisecond
)

const (
	// observationWeight is the weight of the newest call: the last 14 calls
	// contribute half of an estimate.
	observationWeight = 0.05
	// Calls with at most shortPromptTokens update the base latency, calls with at
	// least longPromptTokens update the throughput.
	shortPromptTokens = 500
	longPromptTokens  = 2000
	// maxDeviation limits the factor by which an observation may differ from its
	// prediction, so that one hanging engine does not distort the estimates for
	// the others.
	maxDeviation = 3.0
)

// PrefillModel predicts the time to first token of model engines from a base latency and a prefill
// throughput, both learned from calls whose answer has begun.
type PrefillModel struct {
	base        time.Duration
	tokensPerMS float64
}

// NewPrefillModel returns a model with the initial estimates.
func NewPrefillModel() *PrefillModel {
	return &PrefillModel{base: initialBase, tokensPerMS: initialTokensPerMS}
}

// Predict returns the expected time to first token of a prompt when the engine has the
// given number of tokens to prefill up to the end of that prompt.
func (m *PrefillModel) Predict(tokens int) time.Duration {
	return m.base + time.Duration(float64(tokens)/m.tokensPerMS*float64(time.Millisecond))
}

// Tokens returns the number of tokens that an engine prefills in the given time.
func (m *PrefillModel) Tokens(d time.Duration) float64 {
	return m.tokensPerMS * float64(d) / float64(time.Millisecond)
}

// Observe updates the model with the time to first token of a call and the number of
// tokens that the engine had to prefill before it.
func (m *PrefillModel) Observe(tokens int, ttft time.Duration) {
	expected := m.Predict(tokens)
	ttft = min(max(ttft, time.Duration(float64(expected)/maxDeviation)), time.Duration(maxDeviation*float64(expected)))
	switch {
	case tokens <= shortPromptTokens:
		m.base += time.Duration(observationWeight * float64(ttft-expected))
		m.base = min(max(m.base, time.Millisecond), maxBase)
	case tokens >= longPromptTokens && ttft > m.base:
		rate := float64(tokens) / (float64(ttft-m.base) / float64(time.Millisecond))
		rate = min(rate, maxDeviation*m.tokensPerMS)
		m.tokensPerMS = min(max(m.tokensPerMS+observationWeight*(rate-m.tokensPerMS), minTokensPerMS), maxTokensPerMS)
	}
}
