package rollout

import "math"

const (
	// confidence is the natural logarithm of the odds against a difference by chance at which a
	// version is bad. The test is repeated many times in a rollout.
	confidence = 14.0
	// finalConfidence applies when the rollout is about to shift or to be completed: that is tested
	// rarely, and
	// a bad version can't be reverted afterwards.
	finalConfidence = 5.0
	// toleratedRate is added to the failure rate of the old version, so that a rate which differs
	// by little does not count.
	toleratedRate = 0.01
	// excessConfidence applies once the new version has maxExcess more bad answers than the old
	// version would have given: a version that is bad in few of its answers must be found before
	// its 50th.
	excessConfidence = 5.0
	maxExcess        = 25
	// An answer is slow if it takes more than 2 or 4 times the median of the old version, which
	// is as many latency buckets above it.
	slowBuckets     = 2
	verySlowBuckets = 4
	// minReference is the number of answers of the old version that a comparison needs.
	minReference = 10
)

// worse reports whether the answers of the new version are worse than those of the old one.
func worse(older, newer Counts, confidence float64) bool {
	if significant(int(older.Answers), int(older.Failures), int(newer.Answers), int(newer.Failures), confidence) {
		return true
	}
	median := older.medianBucket()
	for _, above := range []int{slowBuckets, verySlowBuckets} {
		limit := min(median+above, bucketCount-1)
		if significant(older.timed(), older.slowerThan(limit), newer.timed(), newer.slowerThan(limit), confidence) {
			return true
		}
	}
	return false
}

// significant reports whether newBad of newAll answers is more than the rate of oldBad in oldAll
// explains.
func significant(oldAll, oldBad, newAll, newBad int, confidence float64) bool {
	if newAll == 0 || oldAll < minReference {
		return false
	}
	rate := (float64(oldBad) + 1) / (float64(oldAll) + 2)
	if surprise(newAll, newBad, rate+toleratedRate) > confidence {
		return true
	}
	return float64(newBad)-rate*float64(newAll) >= maxExcess && surprise(newAll, newBad, rate) > excessConfidence
}

// surprise returns the Chernoff bound on the negative logarithm of the probability that at least
// bad of all independent answers are bad at the given rate.
func surprise(all, bad int, rate float64) float64 {
	observed := float64(bad) / float64(all)
	if rate >= 1 || observed <= rate {
		return 0
	}
	divergence := observed * math.Log(observed/rate)
	if observed < 1 {
		divergence += (1 - observed) * math.Log((1-observed)/(1-rate))
	}
	return float64(all) * divergence
}
