// Package intaketest defines the limits on the requests that reach an endpoint which advertises a
// rate limit. Simulations, node tests and the soak test share them.
//
// # Usage
//
//	if got := intaketest.MaxInSpan(times, advertised.Add(intaketest.GracePeriod)); got > intaketest.Allowed(perSecond) {
//		t.Errorf(...)
//	}
package intaketest

import "time"

// From GracePeriod after it first advertised a rate limit, an endpoint may get in any Span at most
// Excess times the requests that the limit allows, plus Slack. This counts only requests of nodes
// that received an answer with the limit at least NodeReactionTime earlier.
const (
	GracePeriod      = 3 * time.Second
	Span             = 4 * time.Second
	NodeReactionTime = 500 * time.Millisecond
	Excess           = 1.5
	Slack            = 5
)

// Allowed returns how many requests an endpoint may get in any Span throughout which it advertises
// the same rate.
func Allowed(perSecond float64) int { return AllowedFor(perSecond * Span.Seconds()) }

// AllowedFor returns how many requests an endpoint may get in a span for which its advertised rate
// adds up to limit requests.
func AllowedFor(limit float64) int { return int(Excess*limit) + Slack }

// MaxInSpan returns the largest number of the given sorted times within any Span that ends at from
// or later.
func MaxInSpan(times []time.Time, from time.Time) int { return maxWithin(times, Span, from) }

// MaxIn returns the largest number of the given sorted times within any span of the given length.
func MaxIn(times []time.Time, span time.Duration) int { return maxWithin(times, span, time.Time{}) }

func maxWithin(times []time.Time, span time.Duration, from time.Time) int {
	highest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > span {
			first++
		}
		if !at.Before(from) {
			highest = max(highest, i-first+1)
		}
	}
	return highest
}

// After returns the sorted times that are not before from.
func After(times []time.Time, from time.Time) []time.Time {
	for i, at := range times {
		if !at.Before(from) {
			return times[i:]
		}
	}
	return nil
}
