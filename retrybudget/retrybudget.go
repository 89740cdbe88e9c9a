// Package retrybudget limits how often requests are retried at a second target. The bound
// applies to all hosts together: in any window, a fraction of the requests plus a fixed
// number. Each host enforces its part on its own, without coordination.
package retrybudget

import "time"

// Bounds is the bound on retries that all hosts share.
type Bounds struct {
	Ratio  float64       // retries per request
	Slack  float64       // retries beyond Ratio, of all hosts together
	Window time.Duration // the bound holds for any period of this length
}

const (
	// usableFraction is the fraction of the bound that is used. The rest covers requests that
	// are counted on both sides of the boundary of a window.
	usableFraction = 0.8
	// slotsPerWindow is the number of time slots in which the requests of a window are
	// counted.
	slotsPerWindow = 20
)

// Budget is one host's part of the bound for one service. It is not safe for concurrent use.
type Budget struct {
	bounds     Bounds
	start      time.Time
	newestSlot int64                   // number of the newest slot since start
	requests   [slotsPerWindow + 1]int // by slot number modulo the length; a window and the incomplete newest slot
	retries    [slotsPerWindow + 1]int // likewise
}

// New returns the budget of a process that starts now. It uses no slack in the first window,
// since the process that ran before on this host may have used it up.
func New(b Bounds, now time.Time) *Budget {
	return &Budget{bounds: b, start: now}
}

// advance clears the slots that have left the window.
func (b *Budget) advance(now time.Time) {
	at := int64(now.Sub(b.start) / (b.bounds.Window / slotsPerWindow))
	for i := b.newestSlot + 1; i <= at && i <= b.newestSlot+slotsPerWindow+1; i++ {
		b.requests[i%(slotsPerWindow+1)], b.retries[i%(slotsPerWindow+1)] = 0, 0
	}
	b.newestSlot = max(b.newestSlot, at)
}

// CountRequest counts a request, which raises the number of retries allowed.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.newestSlot%(slotsPerWindow+1)]++
}

// Spend counts a retry and returns true if the part of this host, one of the given number of
// hosts, allows it.
func (b *Budget) Spend(now time.Time, hosts int) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := b.bounds.Ratio * float64(requests)
	if now.Sub(b.start) >= b.bounds.Window {
		allowed += b.bounds.Slack / float64(max(hosts, 1))
	}
	if float64(retries+1) > allowed*usableFraction {
		return false
	}
	b.retries[b.newestSlot%(slotsPerWindow+1)]++
	return true
}

// ForceSpend counts a retry that is made whether or not the budget allows it.
func (b *Budget) ForceSpend(now time.Time) {
	b.advance(now)
	b.retries[b.newestSlot%(slotsPerWindow+1)]++
}
