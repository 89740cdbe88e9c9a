package gateway

import "sync"

// Limits on retries.
const (
	// maxAttempts is the largest number of attempts for one request.
	maxAttempts = 5
	// retryFraction is the number of retries that each request adds to the budget.
	retryFraction = 0.2
	// retryReserve is the largest number of retries that the budget accumulates.
	retryReserve = 20.0
)

// retryBudget limits retries to a fraction of the requests, so that retries do not amplify
// an overload.
type retryBudget struct {
	mu        sync.Mutex
	available float64
}

// newRetryBudget returns a budget with a full reserve.
func newRetryBudget() *retryBudget {
	return &retryBudget{available: retryReserve}
}

// countRequest adds the retry fraction of one request to the budget.
func (b *retryBudget) countRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(retryReserve, b.available+retryFraction)
}

// spend takes one retry from the budget, or returns false if less than one is available.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
