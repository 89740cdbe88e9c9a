package gateway

import "sync"

// Bounds of retries.
const (
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 5
	// retryFraction is the part of a retry that each request earns.
	retryFraction = 0.2
	// retryReserve is the number of retries that may be saved up.
	retryReserve = 20.0
)

// retryBudget bounds retries to a fraction of the requests, so that retries
// do not multiply an overload.
type retryBudget struct {
	mu    sync.Mutex
	saved float64
}

// newRetryBudget returns a budget with its full reserve.
func newRetryBudget() *retryBudget {
	return &retryBudget{saved: retryReserve}
}

// earn counts a request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(retryReserve, b.saved+retryFraction)
}

// spend takes one retry, and returns false when none is left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
