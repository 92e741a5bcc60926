package node

import (
	"sync"
	"time"

	"gradetiller.example/internal/core/attempt"
)

// lockedBudget makes a window budget safe for concurrent use.
type lockedBudget struct {
	mu     sync.Mutex
	budget *attempt.WindowBudget
}

// AddRequests implements stagepool.RetryBudget.
func (b *lockedBudget) AddRequests(now time.Time, service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.AddRequests(now, service, n)
}

// TryAcquire implements stagepool.RetryBudget.
func (b *lockedBudget) TryAcquire(now time.Time, service string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryAcquire(now, service, n)
}
