package place

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestReadingFollowsTheEngines has engines read at half, the same and four times
// the rate of the start value, with calls that hang now and then: the prediction
// comes within a quarter of the truth.
func TestReadingFollowsTheEngines(t *testing.T) {
	for _, rate := range []float64{initialTokensPerMS / 2, initialTokensPerMS, 4 * initialTokensPerMS} {
		const base = 20 * time.Millisecond
		r := NewPrefillModel()
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 400 {
			tokens := 100 + random.IntN(12_000)
			took := base + time.Duration(float64(tokens)/rate*float64(time.Millisecond))
			took = time.Duration(float64(took) * (0.8 + 0.4*random.Float64()))
			if i%40 == 0 {
				took = 20 * time.Second
			}
			r.Observe(tokens, took)
		}
		want := base + time.Duration(8000/rate*float64(time.Millisecond))
		if got := r.Predict(8000); got < want*3/4 || got > want*5/4 {
			t.Errorf("%.0f tokens a ms: 8000 tokens predicted to take %v, want about %v", rate, got, want)
		}
	}
}

// TestReadingStaysWithinItsBounds feeds nothing but outliers.
func TestReadingStaysWithinItsBounds(t *testing.T) {
	r := NewPrefillModel()
	for range 1000 {
		r.Observe(5000, time.Hour)
		r.Observe(1, time.Hour)
	}
	if r.tokensPerMS < minTokensPerMS || r.base > maxBase {
		t.Errorf("rate %v, base %v", r.tokensPerMS, r.base)
	}
	for range 1000 {
		r.Observe(5000, 0)
		r.Observe(1, 0)
	}
	if r.tokensPerMS > maxTokensPerMS || r.base < 0 {
		t.Errorf("rate %v, base %v", r.tokensPerMS, r.base)
	}
}
