package place

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPrefillModelConverges simulates engines with 0.5, 1 and 4 times the initial throughput and
// calls of which every 40th hangs. It guards against predictions that are off by more than 25%.
func TestPrefillModelConverges(t *testing.T) {
	for _, rate := range []float64{initialTokensPerMS / 2, initialTokensPerMS, 4 * initialTokensPerMS} {
		const base = 20 * time.Millisecond
		r := NewPrefillModel()
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 400 {
			tokens := 100 + random.IntN(12_000)
			ttft := base + time.Duration(float64(tokens)/rate*float64(time.Millisecond))
			ttft = time.Duration(float64(ttft) * (0.8 + 0.4*random.Float64()))
			if i%40 == 0 {
				ttft = 20 * time.Second
			}
			r.Observe(tokens, ttft)
		}
		want := base + time.Duration(8000/rate*float64(time.Millisecond))
		if got := r.Predict(8000); got < want*3/4 || got > want*5/4 {
			t.Errorf("%.0f tokens/ms: 8000 tokens predicted to take %v, want about %v", rate, got, want)
		}
	}
}

// TestPrefillModelStaysWithinBounds guards against estimates beyond their bounds when all
// observations are outliers.
func TestPrefillModelStaysWithinBounds(t *testing.T) {
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
