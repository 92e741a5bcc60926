// Package decisionlog keeps the latest decisions of a process in a ring buffer, for
// the explain command.
//
// # Usage
//
//	r := decisionlog.NewRing(4096)
//	r.Add(decisionlog.Event{At: now, Subjects: [3]string{"req-7"}, Text: "..."})
//	lines := r.BySubject("req-7")
package decisionlog

import (
	"fmt"
	"slices"
	"time"
)

// Event is a recorded decision.
type Event struct {
	At time.Time
	// Subjects are the names that the decision can be looked up by, such as a
	// request id, an endpoint, a lease or a version.
	Subjects [3]string
	Name     string
	Text     string
}

// String returns the event as one line.
func (e Event) String() string {
	return fmt.Sprintf("%s %s %s", e.At.UTC().Format("2006-01-02T15:04:05.000Z"), e.Name, e.Text)
}

// Ring is a ring buffer of events. It is not safe for concurrent use.
type Ring struct {
	events []Event
	next   int
}

// NewRing returns a ring with room for n events.
func NewRing(n int) *Ring { return &Ring{events: make([]Event, 0, n)} }

// Add adds an event, replacing the oldest one if the ring is full.
func (r *Ring) Add(e Event) {
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// BySubject returns the events that have the subject, oldest first.
func (r *Ring) BySubject(subject string) []Event {
	var found []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if slices.Contains(e.Subjects[:], subject) {
			found = append(found, e)
		}
	}
	return found
}
