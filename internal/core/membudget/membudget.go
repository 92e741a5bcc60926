// Package membudget bounds the bytes that a process holds on behalf of its clients, so that slow ones
// can't exhaust the memory of its instance.
//
// What is not accepted yet is refused once the budget is used up (TryReserve). What has to be held in
// any case, such as the answer of a request that ran, is only counted (Reserve). When most of the
// budget is used, only small new work is admitted (Admits): a few large bodies would otherwise take
// what is left, and the answers that are still to come would exceed the budget.
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

import "sync/atomic"

// Kind is what bytes are held for.
type Kind int

const (
	// Requests are the bodies of clients' requests.
	Requests Kind = iota
	// Responses are the bodies of endpoints' responses, except for streams.
	Responses
	// Events are the events of endpoints' streams that have not been forwarded, complete or not.
	Events
	// Relays are the buffers of connections that are relayed for other nodes.
	Relays
	numKinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Requests, Responses, Events, Relays} }

// String returns the name of the kind as used in metrics and logs.
func (k Kind) String() string {
	return [...]string{"request", "response", "event", "relay"}[k]
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
	// observed is the part of size that is not reserved in the budget.
	observed int64
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

// Observe counts n further bytes by their kind without reserving them in the budget.
func (r *Reservation) Observe(n int64) {
	r.observed += n
	r.count(n)
}

// Release returns all bytes of the reservation, which can then be used again.
func (r *Reservation) Release() {
	r.budget.Release(r.size - r.observed)
	r.observed = 0
	r.count(-r.size)
}

// Size returns the number of bytes that are reserved.
func (r *Reservation) Size() int64 { return r.size }

func (r *Reservation) count(n int64) {
	r.size += n
	if r.budget != nil {
		r.budget.byKind[r.kind].Add(n)
	}
}
