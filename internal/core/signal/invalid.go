package signal

import (
	"slices"
	"time"
)

// Name is the name of a kind of signal, as used in metrics and logs.
type Name string

// The kinds of signals.
const (
	NameLimit    Name = "limit"
	NameDraining Name = "draining"
	NameBackoff  Name = "backoff"
	NameCold     Name = "cold"
	NameLoad     Name = "load"
	NameSlowdown Name = "slowdown"
	NameBrittle  Name = "brittle"
)

// InvalidError reports a signal that could not be parsed.
type InvalidError struct {
	Signal Name
	cause  error
}

// NewInvalidError returns an error for a signal of the given kind.
func NewInvalidError(kind Name, cause error) *InvalidError {
	return &InvalidError{Signal: kind, cause: cause}
}

// Error implements the error interface.
func (e *InvalidError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.cause }

const (
	// invalidLogInterval is the time for which an endpoint whose invalid signal was logged is not
	// logged again.
	invalidLogInterval = time.Minute
	// maxInvalidLines bounds the lines of all endpoints together in invalidLogInterval. Without
	// it, a header that all endpoints send in a new form filled the log with thousands of lines
	// in 20 s.
	maxInvalidLines = 20
)

// InvalidLog decides which invalid signals are logged. It is not safe for concurrent use.
type InvalidLog struct {
	// lines are those logged in the last invalidLogInterval, the oldest first.
	lines []invalidLine
	// skipped is the number of invalid signals that were not logged since the last line.
	skipped int
}

type invalidLine struct {
	endpoint string
	at       time.Time
}

// Observe reports whether an invalid signal of an endpoint must be logged now. If so, it also returns
// the number of those that were not logged since the line before.
func (l *InvalidLog) Observe(now time.Time, endpoint string) (skipped int, ok bool) {
	l.lines = slices.DeleteFunc(l.lines, func(x invalidLine) bool { return now.Sub(x.at) >= invalidLogInterval })
	if len(l.lines) >= maxInvalidLines || slices.ContainsFunc(l.lines, func(x invalidLine) bool { return x.endpoint == endpoint }) {
		l.skipped++
		return 0, false
	}
	l.lines = append(l.lines, invalidLine{endpoint, now})
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
