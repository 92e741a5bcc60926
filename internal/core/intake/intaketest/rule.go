// Package intaketest holds what tests ask of the requests that reach an endpoint which names how
// many a second it takes: the operators' rule, in one place for the simulated worlds, the nodes
// of a test and the soak.
//
// # Usage
//
//	if got := intaketest.Most(times, named.Add(intaketest.Contact)); got > intaketest.Allowed(perSecond) {
//		t.Errorf(...)
//	}
package intaketest

import "time"

// From GracePeriod after it first named a rate an endpoint may get, in any Span, Excess times what
// that allows, and Slack requests more, of nodes that have passed on an answer which bore its
// word NodeReactionTime before.
const (
	GracePeriod      = 3 * time.Second
	Span             = 4 * time.Second
	NodeReactionTime = 500 * time.Millisecond
	Excess           = 1.5
	Slack            = 5
)

// Allowed is how many requests an endpoint may get in any Span that names the same rate
// throughout.
func Allowed(perSecond float64) int { return AllowedFor(perSecond * Span.Seconds()) }

// AllowedFor is how many it may get in a span in which it took a number by what it named.
func AllowedFor(named float64) int { return int(Excess*named) + Slack }

// MaxInSpan is the most of some moments, in their order, that lie in any Span which ends at a moment
// or later.
func MaxInSpan(times []time.Time, from time.Time) int { return mostIn(times, Span, from) }

// MaxIn is the most of some moments, in their order, that lie in any span of a length.
func MaxIn(times []time.Time, span time.Duration) int { return mostIn(times, span, time.Time{}) }

func mostIn(times []time.Time, span time.Duration, from time.Time) int {
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

// After returns the moments, of some in their order, from one on.
func After(times []time.Time, from time.Time) []time.Time {
	for i, at := range times {
		if !at.Before(from) {
			return times[i:]
		}
	}
	return nil
}
