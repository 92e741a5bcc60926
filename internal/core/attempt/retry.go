package attempt

// minCredit is the initial credit, which allows a pool with little traffic to retry at all.
const minCredit = 3

// RetryBudget bounds retries and hedges to a share of the first calls, so that
// they can't overload a slow pool.
type RetryBudget struct {
	share     float64
	credit    float64
	maxCredit float64
}

// NewRetryBudget returns a budget of the given share, for example 0.1, that
// accumulates at most the credit of 10/share first calls on top of the initial
// credit. A negative share means no bound, which is the naive baseline.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, credit: minCredit, maxCredit: minCredit + 10}
}

// AddRequest counts a first call.
func (b *RetryBudget) AddRequest() { b.credit = min(b.credit+b.share, b.maxCredit) }

// TryAcquire takes one retry from the budget, and reports false if it is exhausted.
func (b *RetryBudget) TryAcquire() bool {
	if b.share < 0 {
		return true
	}
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
