package limit

import "time"

// concurrencyRetryAfter is the wait returned when the concurrency limit is reached. It
// is a short fixed time, since the end of a running request can't be predicted here.
const concurrencyRetryAfter = 50 * time.Millisecond

// Settings are the limits of one account on this node.
type Settings struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is the size of the token bucket.
	Burst float64
	// Concurrency is the maximum number of requests in flight; 0 means no limit.
	Concurrency int
}

// Account is the state of one account: a token bucket and a count of requests
// in flight. It is not safe for concurrent use.
type Account struct {
	settings Settings
	tokens   float64
	lastFill time.Time
	inFlight int
}

// NewAccount returns an account with a full bucket.
func NewAccount(now time.Time, s Settings) *Account {
	return &Account{settings: s, tokens: s.Burst, lastFill: now}
}

// Update applies new limits and keeps the count of requests in flight.
func (a *Account) Update(now time.Time, s Settings) {
	a.fill(now)
	a.settings = s
	a.tokens = min(a.tokens, s.Burst)
}

// Admit admits one request, which must be ended with Release. If it reports false,
// the request is refused and the duration is the time to wait before a retry.
func (a *Account) Admit(now time.Time) (time.Duration, bool) {
	if a.settings.Concurrency > 0 && a.inFlight >= a.settings.Concurrency {
		return concurrencyRetryAfter, false
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

// Release ends an admitted request.
func (a *Account) Release() {
	if a.inFlight > 0 {
		a.inFlight--
	}
}

// InFlight returns the number of requests in flight.
func (a *Account) InFlight() int { return a.inFlight }

func (a *Account) fill(now time.Time) {
	if gap := now.Sub(a.lastFill); gap > 0 {
		a.tokens = min(a.settings.Burst, a.tokens+gap.Seconds()*a.settings.Rate)
		a.lastFill = now
	}
}
