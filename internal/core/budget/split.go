package budget

import "time"

// Split divides the time left among stages in proportion to their expected times. It
// reports false if the sum of the expected times exceeds the time left; the shares
// are then scaled down, so that the first stage can't use up the time of the later
// ones. Stages without an estimate get equal shares of the time that the others
// leave.
func Split(left time.Duration, expected []time.Duration) ([]time.Duration, bool) {
	shares := make([]time.Duration, len(expected))
	if left <= 0 || len(expected) == 0 {
		return shares, false
	}
	var sum time.Duration
	unknown := 0
	for _, d := range expected {
		sum += d
		if d == 0 {
			unknown++
		}
	}
	if unknown == len(expected) {
		for i := range shares {
			shares[i] = left / time.Duration(len(expected))
		}
		return shares, true
	}
	filler := defaultEstimate(left, sum, unknown)
	whole := sum + filler*time.Duration(unknown)
	for i, d := range expected {
		if d == 0 {
			d = filler
		}
		shares[i] = time.Duration(float64(left) * float64(d) / float64(whole))
	}
	return shares, sum <= left
}

func defaultEstimate(left, sum time.Duration, unknown int) time.Duration {
	if unknown == 0 {
		return 0
	}
	if rest := left - sum; rest > 0 {
		return rest / time.Duration(unknown+1)
	}
	return time.Millisecond
}
