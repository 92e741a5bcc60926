package limit

import "time"

// concurrencyRetry is what a caller is told when all its places are taken:
// the end of a running request can't be foreseen here, so it is a short fixed
// time.
const concurrencyRetry = 50 * time.Millisecond

// Settings are the limits in force for one account on this node.
type Settings struct {
	// Rate is in requests a second; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may come at once.
	Burst float64
	// Concurrency is the number of requests in flight; 0 means no limit.
	Concurrency int
}

// Account is the state of one account: a token bucket and a count of requests
// in flight. It is not safe for concurrent use.
type Account struct {
	settings Settings
	tokens   float64
	filled   time.Time
	inFlight int
}

// NewAccount returns an account with a full bucket.
func NewAccount(now time.Time, s Settings) *Account {
	return &Account{settings: s, tokens: s.Burst, filled: now}
}

// Update puts new limits in force and keeps the requests in flight.
func (a *Account) Update(now time.Time, s Settings) {
	a.fill(now)
	a.settings = s
	a.tokens = min(a.tokens, s.Burst)
}

// Admit takes one place. When it reports false, the duration says how long to
// wait before asking again.
func (a *Account) Admit(now time.Time) (time.Duration, bool) {
	if a.settings.Concurrency > 0 && a.inFlight >= a.settings.Concurrency {
		return concurrencyRetry, false
	}
	if a.settings.Rate > 0 {
		a.fill(now)
		if a.tokens < 1 {
			missing := (1 - a.tokens) / a.settings.Rate
			return time.Duration(missing * float64(time.Second)), false
		}
		a.tokens--
	}
	a.inFlight++
	return 0, true
}

// Release gives one place back.
func (a *Account) Release() {
	if a.inFlight > 0 {
		a.inFlight--
	}
}

// InFlight returns the number of requests in flight.
func (a *Account) InFlight() int { return a.inFlight }

func (a *Account) fill(now time.Time) {
	if gap := now.Sub(a.filled); gap > 0 {
		a.tokens = min(a.settings.Burst, a.tokens+gap.Seconds()*a.settings.Rate)
		a.filled = now
	}
}
