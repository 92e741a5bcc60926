// Package drain decides which work a process that has been asked to stop still
// takes. Work that the process knows it can't finish is refused while that is
// a promise: nothing of it has run.
//
// The package does no input or output.
//
// # Usage
//
//	w := drain.Until(ends)
//	if !w.Fits(now, left) { refuse() }
package drain

import "time"

// Window is the time that a process has left for its work. In the zero Window
// no stop is under way.
type Window struct{ ends time.Time }

// Until returns the window of a process that ends at a time.
func Until(ends time.Time) Window { return Window{ends: ends} }

// Fits reports whether work that takes a time is done before the window ends.
// In the zero Window everything fits.
func (w Window) Fits(now time.Time, takes time.Duration) bool {
	return w.ends.IsZero() || !now.Add(takes).After(w.ends)
}
