package naive

import "time"

// Bucket is a token bucket that replays all earlier admissions.
type Bucket struct {
	Rate, Burst float64
	Start       time.Time

	admitted []time.Time
}

// Admit reports whether a request is admitted at now, and counts it if so.
func (b *Bucket) Admit(now time.Time) bool {
	if b.tokens(now) < 1 {
		return false
	}
	b.admitted = append(b.admitted, now)
	return true
}

func (b *Bucket) tokens(now time.Time) float64 {
	tokens, last := b.Burst, b.Start
	for _, t := range b.admitted {
		tokens = min(b.Burst, tokens+t.Sub(last).Seconds()*b.Rate) - 1
		last = t
	}
	return min(b.Burst, tokens+now.Sub(last).Seconds()*b.Rate)
}
