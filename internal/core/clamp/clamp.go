// Package clamp converts numbers that other processes state to types in which they could overflow. A number beyond
// what the type holds, or beyond what can be calculated with, becomes the nearest that can.
//
// # Usage
//
//	deadline := now.Add(clamp.Milliseconds(message.Deadline))
//	timeout := clamp.Duration(route.TimeoutSeconds, time.Second)
package clamp

import (
	"math"
	"time"
)

// MaxDuration bounds the durations that this package returns, on both sides of zero. Nothing waits that long, and sums
// and small multiples of it don't overflow.
const MaxDuration = 365 * 24 * time.Hour

// Milliseconds returns a number of milliseconds as a duration.
func Milliseconds(n int64) time.Duration {
	limit := MaxDuration.Milliseconds()
	return time.Duration(min(max(n, -limit), limit)) * time.Millisecond
}

// Duration returns a number of units as a duration, or 0 if it is not a number.
func Duration(number float64, unit time.Duration) time.Duration {
	if math.IsNaN(number) {
		return 0
	}
	limit := float64(MaxDuration) / float64(unit)
	return time.Duration(min(max(number, -limit), limit) * float64(unit))
}

// Int returns a number, rounded towards zero and within the given bounds. What is not a number becomes the lower bound.
func Int(number float64, lowest, highest int64) int64 {
	if math.IsNaN(number) || number <= float64(lowest) {
		return lowest
	}
	if number >= float64(highest) {
		return highest
	}
	return int64(number)
}
