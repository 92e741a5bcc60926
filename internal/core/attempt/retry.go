package attempt

// budgetFloor lets a pool with little traffic retry at all.
const budgetFloor = 3

// RetryBudget allows repeats (retries and hedges) as a share of fresh calls,
// so that a slow pool is never flooded by them.
type RetryBudget struct {
	share  float64
	credit float64
	most   float64
}

// NewRetryBudget returns a budget of the given share, for example 0.1, that
// saves up at most the credit of 1/share×10 fresh calls. A negative share
// means no bound, which is the naive baseline.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, credit: budgetFloor, most: budgetFloor + 10}
}

// AddRequest counts a first call.
func (b *RetryBudget) AddRequest() { b.credit = min(b.credit+b.share, b.most) }

// TryAcquire takes one repeat, and reports false when the budget is spent.
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
