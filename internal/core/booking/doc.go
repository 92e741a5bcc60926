// Package booking keeps capacity for clients that return after a rejection.
//
// A rejected client returns once, after the time that Retry-After names, but it waits no longer than
// its patience. Under overload an early return meets the same load peak and is rejected again. A Book
// therefore looks for a time at which a return can be served, keeps the capacity for it, and recognizes
// the return by the content ID of the request.
//
// Time is divided into slots of 0.25 s. A return is booked in the earliest slot in which the expected
// new requests leave room for it. With WithOverloadShare, and if there is none within the client's
// patience, it is booked in the latest slot in which bookings take no more than that share of each
// service; what they take is then refused to new requests. In both cases the work must fit into the
// schedule of the admitted and booked work, which Room reports.
//
// Expected requests are forecast by route: the rate of the last second, decaying to the average of the
// last 20 s.
//
// The package does no I/O and reads no clock. A Book is not safe for concurrent use.
//
// # Usage
//
//	book := booking.New()
//	book.Observe(now, request) // each request that is not redeemed
//	if b, ok := book.Redeem(now, request.Content); ok {
//		// admit the request without regard to shares
//	}
//	if b, ok := book.Offer(now, request, room); ok {
//		// reject it with b.At.Sub(now) as Retry-After
//	}
//	for r := range book.Reserved(now) {
//		// count r as work of the schedule
//	}
//	book.Expire(now)
package booking
