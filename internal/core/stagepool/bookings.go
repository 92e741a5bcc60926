package stagepool

import (
	"time"

	"gradetiller.example/internal/core/booking"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/poison"
)

// WithBookings makes the pool keep capacity for rejected tasks whose clients return, as long as
// admission by schedule is on. The book must not be used by another pool.
func WithBookings(b *booking.Book) Option {
	return func(p *Pool) {
		p.book, p.bookedStages = b, make(map[poison.ID][]*bookedStage)
	}
}

// bookedStage is a stage of a booking. It is counted in the profile of its service once it is due within
// the length of a profile. Clamped to the last slot, it would be due too early.
type bookedStage struct {
	service  *service
	work     booking.Work
	priority int
	// at is when the client is to return.
	at              time.Time
	readySlot, slot int64
	counted         bool
}

// followBookings counts bookings from the first submission on, when the services are known.
func (p *Pool) followBookings(now time.Time) {
	if !p.followsBook {
		p.followsBook = true
		p.book.OnChange(now, p.bookingChanged)
	}
}

// bookingChanged counts the work of a booking that is made, or no longer counts it when it ends.
func (p *Pool) bookingChanged(now time.Time, b booking.Booking, open bool) {
	for _, st := range p.bookedStages[b.Content] {
		st.uncount()
	}
	delete(p.bookedStages, b.Content)
	if !open {
		return
	}
	for _, w := range b.Work {
		if s, ok := p.services[w.Service]; ok {
			st := &bookedStage{service: s, work: w, priority: b.Priority, at: b.At}
			st.count(now)
			p.bookedStages[b.Content] = append(p.bookedStages[b.Content], st)
		}
	}
}

// updateBooked counts the booked stages that have come within the length of a profile, and those whose
// client is late as if it came now. With their first due time, which is close or over, the work of late
// clients of low priority would keep out all tasks of higher priority.
func (p *Pool) updateBooked(now time.Time) {
	if slotOf(now) == p.bookedUpdated {
		return
	}
	p.bookedUpdated = slotOf(now)
	for _, stages := range p.bookedStages {
		for _, st := range stages {
			if !st.counted || now.After(st.at) {
				st.uncount()
				st.count(now)
			}
		}
	}
}

// count adds the stage to the profile if it is due within its length.
func (st *bookedStage) count(now time.Time) {
	arrival := st.at
	if now.After(arrival) {
		arrival = now
	}
	st.readySlot, st.slot = slotOf(arrival.Add(st.work.Ready)), slotOf(arrival.Add(st.work.Start))
	f := &st.service.booked
	f.advance(now)
	if st.slot < f.base+profileSlots {
		st.counted = true
		f.add(st.priority, st.slot, st.work.Pieces)
		f.addArrivals(st.readySlot, st.work.Pieces)
	}
}

// uncount removes the stage from the profile.
func (st *bookedStage) uncount() {
	if st.counted {
		st.counted = false
		st.service.booked.add(st.priority, st.slot, -st.work.Pieces)
		st.service.booked.addArrivals(st.readySlot, -st.work.Pieces)
	}
}

// books reports whether rejected tasks are booked.
func (p *Pool) books() bool {
	return p.book != nil && p.scheduled && !p.off.Has(mechanism.Bookings)
}

// redeem reports whether a task that is submitted uses a booking. It records any other task as an
// arrival.
func (p *Pool) redeem(now time.Time, t *Task) bool {
	if !p.books() {
		return false
	}
	p.followBookings(now)
	p.updateBooked(now)
	if _, ok := p.book.Redeem(now, t.Content); ok {
		return true
	}
	p.book.Observe(now, p.bookingRequest(now, t))
	return false
}

// bookReturn completes the rejection of a task: the task is booked if it can be, and its client is told
// to return at that time, or at the time of the booking that the task holds already.
func (p *Pool) bookReturn(now time.Time, t *Task, v Admission) Admission {
	if !p.books() || t.Patience <= 0 {
		return v
	}
	if b, ok := p.book.Offer(now, p.bookingRequest(now, t), bookingRoom{p.Room(now), t.Priority}); ok {
		v.RetryAfter, v.Reserved = b.At.Sub(now), true
	} else if b, ok := p.book.Open(t.Content); ok {
		v.RetryAfter = min(max(b.At.Sub(now), 0), t.Patience)
	}
	return v
}

// bookingRequest describes a task to the book. A return has the same time until its soft deadline as
// the first attempt, since its objective counts from its arrival, but less time until its deadline.
func (p *Pool) bookingRequest(now time.Time, t *Task) booking.Request {
	r := booking.Request{Content: t.Content, Route: t.Route, Account: t.Account, Priority: t.Priority, Patience: t.Patience}
	returned := *t
	returned.Deadline = t.Deadline.Add(-t.Patience)
	for _, w := range p.Room(now).Work(now, returned) {
		r.Work = append(r.Work, booking.Work{Service: w.Service, Pieces: w.Pieces, Ready: w.Ready.Sub(now), Start: w.Due.Sub(now)})
	}
	return r
}

// bookingRoom is a pool's room as seen by tasks of one priority.
type bookingRoom struct {
	room     *Room
	priority int
}

func (r bookingRoom) Free(service string, by time.Time) int {
	return r.room.free(service, r.priority, stagePlan{ready: r.room.now, latest: by})
}

func (r bookingRoom) Rate(service string) float64 {
	if s := r.room.service(service); s != nil {
		return s.rate
	}
	return 0
}
