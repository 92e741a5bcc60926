package booking

import (
	"math"
	"time"
)

const (
	// An account may hold accountFactor times its part of the recent requests as its part of the
	// open bookings, and always minPerAccount bookings.
	accountFactor = 2
	minPerAccount = 3
	// accountMemory is the time constant with which requests are forgotten.
	accountMemory = 20 * time.Second
	// maxAccounts bounds the accounts that are told apart. Further ones share one entry.
	maxAccounts  = 256
	otherAccount = ""
)

// accounts limits the bookings of each account.
type accounts struct {
	open     map[string]int
	requests map[string]decaying
	all      decaying
}

func newAccounts() accounts {
	return accounts{open: make(map[string]int), requests: make(map[string]decaying)}
}

func (a *accounts) observe(now time.Time, account string) {
	n, known := a.requests[account]
	if !known && len(a.requests) >= maxAccounts {
		account = otherAccount
		n = a.requests[account]
	}
	n.add(now)
	a.requests[account] = n
	a.all.add(now)
}

// allow reports whether an account may hold one more booking, given the number of all open ones.
func (a *accounts) allow(now time.Time, account string, open int) bool {
	held := a.open[account] + 1
	if held <= minPerAccount {
		return true
	}
	n, known := a.requests[account]
	if !known {
		n = a.requests[otherAccount]
	}
	part := n.at(now) / max(a.all.at(now), 1)
	return float64(held) <= accountFactor*part*float64(open+1)
}

// decaying is a count of which events are forgotten with accountMemory.
type decaying struct {
	count float64
	since time.Time
}

func (d *decaying) at(now time.Time) float64 {
	return d.count * math.Exp(-now.Sub(d.since).Seconds()/accountMemory.Seconds())
}

func (d *decaying) add(now time.Time) { d.count, d.since = d.at(now)+1, now }
