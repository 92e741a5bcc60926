// Package decisionlog keeps the latest decisions of a process in a bounded ring, so
// that it can explain what it did.
//
// # Usage
//
//	r := decisionlog.NewRing(4096)
//	r.Add(decisionlog.Event{At: now, Subjects: []string{"req-7"}, Text: "..."})
//	lines := r.About("req-7")
package decisionlog

import (
	"fmt"
	"slices"
	"time"
)

// Event is one decision.
type Event struct {
	At time.Time
	// Subjects are the names under which the decision is found: a request id,
	// an endpoint, a lease, a version.
	Subjects [3]string
	Name     string
	Text     string
}

// String returns the event as one line.
func (e Event) String() string {
	return fmt.Sprintf("%s %s %s", e.At.UTC().Format("2006-01-02T15:04:05.000Z"), e.Name, e.Text)
}

// Ring holds the latest events. It is not safe for concurrent use.
type Ring struct {
	events []Event
	next   int
}

// NewRing returns a ring for n events.
func NewRing(n int) *Ring { return &Ring{events: make([]Event, 0, n)} }

// Add puts an event in, in place of the oldest when the ring is full.
func (r *Ring) Add(e Event) {
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// BySubject returns the events that name the subject, oldest first.
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
