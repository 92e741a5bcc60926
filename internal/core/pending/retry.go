package pending

import "time"

const (
	// MinRetryAfter and MaxRetryAfter bound the retry delays announced for requests that are refused
	// because of rate limits.
	MinRetryAfter = 300 * time.Millisecond
	MaxRetryAfter = 3 * time.Second
	// maxJitter bounds the jitter added to the end of a backoff in retry delays, so that clients
	// don't all retry at the same time.
	maxJitter = time.Second
	// jitterDivisor is the part of a backoff's remaining time, 1/jitterDivisor, up to which jitter is
	// added.
	jitterDivisor = 4
)

// Shortage reports whether the rate limits of a service's endpoints, which allow a number of calls by
// the time of interest, admit one more in addition to the reserved ones. Otherwise it returns a retry
// delay by the rate at which they admit calls. Without this check, stages would run and occupy
// capacity for requests that no endpoint accepts afterwards.
func Shortage(reserved, allowed int, perSecond float64) (retryAfter time.Duration, ok bool) {
	missing := reserved + 1 - allowed
	if missing <= 0 {
		return 0, true
	}
	seconds := float64(missing) / max(perSecond, 1/MaxRetryAfter.Seconds())
	return clamp(time.Duration(seconds * float64(time.Second))), false
}

// RetryAfter returns the retry delay of a request for which no endpoint was found, given the time until
// a rate limit admits the next call, if known. Other nodes may be admitted before this one, so the
// delay is at most MaxRetryAfter.
func RetryAfter(timeToNextSend time.Duration, known bool) time.Duration {
	if !known {
		return MinRetryAfter
	}
	return clamp(timeToNextSend)
}

// AfterBackoff returns the retry delay of a request for a service whose endpoints are all in backoff,
// the first of them for the given time. random returns a random duration in [0, n).
func AfterBackoff(left time.Duration, random func(n time.Duration) time.Duration) time.Duration {
	return max(left+random(1+min(left/jitterDivisor, maxJitter)), MinRetryAfter)
}

func clamp(d time.Duration) time.Duration { return min(max(d, MinRetryAfter), MaxRetryAfter) }
