package attempt

import "time"

const (
	// secondFactor is the multiple of the usual latency after which an attempt has taken far too
	// long.
	secondFactor = 3
	// secondObjectiveDivisor sets the part of the objective that must have passed as well. Earlier,
	// the first attempt may still end well within the objective.
	secondObjectiveDivisor = 3
)

// Waiting describes a request that waits for the answer of an attempt.
type Waiting struct {
	Repeatable bool
	// Attempts is the number of endpoints that the request was sent to, including the one it waits
	// for, and MaxAttempts the limit.
	Attempts    int
	MaxAttempts int
	// Usual is the usual latency of an answer, or 0 if it is unknown.
	Usual time.Duration
	// Objective is the latency objective of the request, or 0 if it has none.
	Objective time.Duration
}

// SecondAfter returns how long the request waits before a second attempt may be made at another
// endpoint, or false if none may be made.
func (w Waiting) SecondAfter() (time.Duration, bool) {
	after := max(secondFactor*w.Usual, w.Objective/secondObjectiveDivisor)
	return after, w.Repeatable && w.Usual > 0 && w.Attempts < w.MaxAttempts && after < w.Objective
}

// Helps reports whether a second attempt that is predicted to take the given time would be answered
// within the objective. One that would be late only adds work: without this condition, second attempts
// lowered the share of requests served in time from 0.943 to 0.937 at four times the usual rate.
func (w Waiting) Helps(waited, predicted time.Duration) bool {
	return waited+predicted <= w.Objective
}
