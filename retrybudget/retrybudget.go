// Package retrybudget bounds how often requests are sent to a second target.
// All hosts share one bound: a share of the requests of a window and a fixed
// slack. Each host keeps to its part, so that they need not agree.
package retrybudget

import "time"

// Bounds are the bounds that all hosts share.
type Bounds struct {
	Ratio  float64       // repeats for each request
	Slack  float64       // repeats beyond the ratio, of all hosts
	Window time.Duration // any span of this length counts
}

const (
	// margin is the part of the bound that is used; the rest covers requests
	// that are counted on two sides of a window's edge.
	margin = 0.8
	// slots is the number of parts that a window is counted in.
	slots = 20
)

// Budget is one host's part for one service. It is not safe for concurrent
// use.
type Budget struct {
	bounds   Bounds
	start    time.Time
	at       int64 // number of the newest slot
	requests [slots + 1]int
	repeats  [slots + 1]int
}

// New returns a budget of a process that starts now. The slack is not used in
// the first window: the process before it may have spent it.
func New(b Bounds, now time.Time) *Budget {
	return &Budget{bounds: b, start: now}
}

// advance empties the slots that have left the window.
func (b *Budget) advance(now time.Time) {
	at := int64(now.Sub(b.start) / (b.bounds.Window / slots))
	for i := b.at + 1; i <= at && i <= b.at+slots+1; i++ {
		b.requests[i%(slots+1)], b.repeats[i%(slots+1)] = 0, 0
	}
	b.at = max(b.at, at)
}

// CountRequest counts a request.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.at%(slots+1)]++
}

// Spend takes one repeat when the part of this host, one of so many, allows it.
func (b *Budget) Spend(now time.Time, hosts int) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := b.bounds.Ratio * float64(requests)
	if now.Sub(b.start) >= b.bounds.Window {
		allowed += b.bounds.Slack / float64(max(hosts, 1))
	}
	if float64(repeats+1) > allowed*margin {
		return false
	}
	b.repeats[b.at%(slots+1)]++
	return true
}

// ForceSpend counts a repeat that could not be avoided.
func (b *Budget) ForceSpend(now time.Time) {
	b.advance(now)
	b.repeats[b.at%(slots+1)]++
}
