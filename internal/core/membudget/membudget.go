// Package membudget bounds the bytes that a process holds on behalf of its clients, so that slow ones
// can't exhaust the memory of its instance.
//
// What is not accepted yet is refused once the budget is used up (TryReserve). When most of the budget
// is used, only small new work is admitted (Admits): a few large bodies would otherwise take what is
// left. What another process sends is reserved before it is read (Reservation.Extend): small amounts
// always, large ones while the budget admits them. The caller must be able to go on without holding
// more, since nothing waits for room: holders that each wait for another's would never end.
// All that is held is therefore at most the budget and, for each holder, what counts as small.
//
// A Reservation holds the bytes of one holder, such as a request, and tells the budget of which kind they are, so
// that a process that runs short of memory can say what takes it (HeldOf).
//
// # Usage
//
//	budget := membudget.New(64 << 20)
//	body := budget.Reservation(membudget.Requests)
//	defer body.Release()
//	if !budget.Admits(size) || !body.TryGrow(size) {
//		// refuse
//	}
package membudget

import (
	"math"
	"sync/atomic"
)

// Kind is what bytes are held for.
type Kind int

const (
	// Requests are the bodies of clients' requests.
	Requests Kind = iota
	// Responses are the bodies of endpoints' responses, except for streams.
	Responses
	// Events are the events of endpoints' streams that have not been forwarded, complete or not.
	Events
	// Headers are the headers of endpoints' responses.
	Headers
	// Calls are the bodies of responses to the system's own calls to endpoints.
	Calls
	// Relays are the buffers of connections that are relayed for other nodes.
	Relays
	numKinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Requests, Responses, Events, Headers, Calls, Relays} }

// String returns the name of the kind as used in metrics and logs.
func (k Kind) String() string {
	return [...]string{"request", "response", "event", "header", "call", "relay"}[k]
}

// Budget is a number of bytes. A nil Budget has no bound. It is safe for concurrent use.
type Budget struct {
	limit  int64
	held   atomic.Int64
	byKind [numKinds]atomic.Int64
}

// New returns a budget of limit bytes, or without a bound if limit is not positive.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

const (
	// reducedShare is the share of the budget above which only small work is admitted.
	reducedShare = 0.75
	// smallBytes is the size up to which work is small: hundreds of such requests fit into the rest
	// of the budget of an instance with 136 MB.
	smallBytes = 32 << 10
)

// Admits reports whether new work that takes some bytes may begin. It reserves nothing.
func (b *Budget) Admits(size int64) bool {
	return b == nil || size <= smallBytes || float64(b.held.Load()) <= reducedShare*float64(b.limit)
}

// TryReserve reserves some bytes, and reports whether the budget had room for them.
func (b *Budget) TryReserve(size int64) bool {
	if b == nil {
		return true
	}
	if b.held.Add(size) > b.limit {
		b.held.Add(-size)
		return false
	}
	return true
}

// Reserve reserves some bytes even if the budget has no room for them.
func (b *Budget) Reserve(size int64) {
	if b != nil {
		b.held.Add(size)
	}
}

// Release returns reserved bytes.
func (b *Budget) Release(size int64) { b.Reserve(-size) }

// Held returns the number of bytes reserved.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// HeldOf returns the number of bytes of a kind that reservations hold.
func (b *Budget) HeldOf(k Kind) int64 {
	if b == nil {
		return 0
	}
	return b.byKind[k].Load()
}

// Reservation is the bytes that one holder has reserved, all of one kind. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	kind   Kind
	size   int64
}

// Reservation returns an empty reservation. Its bytes stay reserved until Release or Shrink.
func (b *Budget) Reservation(k Kind) *Reservation { return &Reservation{budget: b, kind: k} }

// TryGrow reserves n further bytes, and reports whether the budget had room for them.
func (r *Reservation) TryGrow(n int64) bool {
	if !r.budget.TryReserve(n) {
		return false
	}
	r.count(n)
	return true
}

// Grow reserves n further bytes even if the budget has no room for them.
func (r *Reservation) Grow(n int64) {
	r.budget.Reserve(n)
	r.count(n)
}

// Extend reserves n further bytes of something that is being received, and reports whether they may be held. A
// reservation that stays small always may, so that nothing small is given up for what is large; others may while
// the budget admits work of their size. A negative n, or one that overflows the size, may not.
func (r *Reservation) Extend(n int64) bool {
	if n < 0 || n > math.MaxInt64-r.size {
		return false
	}
	if r.size+n <= smallBytes {
		r.Grow(n)
		return true
	}
	return r.budget.Admits(r.size+n) && r.TryGrow(n)
}

// Shrink returns n bytes of the reservation.
func (r *Reservation) Shrink(n int64) {
	r.budget.Release(n)
	r.count(-n)
}

// Release returns all bytes of the reservation, which can then be used again.
func (r *Reservation) Release() { r.Shrink(r.size) }

// Size returns the number of bytes that are reserved.
func (r *Reservation) Size() int64 { return r.size }

func (r *Reservation) count(n int64) {
	r.size += n
	if r.budget != nil {
		r.budget.byKind[r.kind].Add(n)
	}
}
