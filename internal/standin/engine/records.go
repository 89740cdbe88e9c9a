package engine

import (
	"net/http"
	"slices"
	"time"

	"zinniapin/target"
)

// OrderOutcome tells how an order ended.
type OrderOutcome string

// Outcomes of orders.
const (
	OrderOpen     OrderOutcome = ""         // in progress
	OrderApplied  OrderOutcome = "applied"  // took effect
	OrderRepeated OrderOutcome = "repeated" // not carried out again: the same id had been applied before
	OrderStale    OrderOutcome = "stale"    // refused because its fencing number is too low
	OrderLost     OrderOutcome = "lost"     // ended by a crash before it took effect
)

// OrderRecord is an order as the engine received it.
type OrderRecord struct {
	Order    target.Order
	Boot     uint64
	Received time.Time
	Ended    time.Time // zero while in progress
	Outcome  OrderOutcome
	// Overlaps is set when another order was in progress when this one arrived.
	Overlaps bool
}

// HTTPRecord is a request with a body that the engine received over HTTP.
type HTTPRecord struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Records are what the engine received since it was created, over all boots.
type Records struct {
	Orders   []OrderRecord
	Requests []target.GenerateRequest
	HTTP     []HTTPRecord
	// Cut is the number of attempts that a change or a crash interrupted.
	Cut int
	// CutByChange lists the attempts that a change interrupted.
	CutByChange []CutRecord
}

// CutRecord is an attempt that a change interrupted.
type CutRecord struct {
	Attempt string
	At      time.Time
}

// Records returns a copy of the records.
func (e *Engine) Records() Records {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Records{
		Orders:   slices.Clone(e.records.Orders),
		Requests: slices.Clone(e.records.Requests),
		HTTP:     slices.Clone(e.records.HTTP),
		Cut:      e.records.Cut,

		CutByChange: slices.Clone(e.records.CutByChange),
	}
}

// Conflicts returns the orders that conflict with an earlier one of the same boot: an
// order that arrived while a different one was in progress, or one that was accepted
// although another author had sent a higher fencing number before. Orders refused as stale
// do not count.
func (r *Records) Conflicts() []OrderRecord {
	var found []OrderRecord
	for i, o := range r.Orders {
		if o.Outcome == OrderStale {
			continue
		}
		if slices.ContainsFunc(r.Orders[:i], func(before OrderRecord) bool { return conflict(before, o) }) {
			found = append(found, o)
		}
	}
	return found
}

// conflict tells whether an order conflicts with an earlier one, before.
func conflict(before, o OrderRecord) bool {
	if before.Outcome == OrderStale || before.Order.ID == o.Order.ID || before.Boot != o.Boot {
		return false
	}
	if before.Ended.IsZero() || before.Ended.After(o.Received) {
		return true
	}
	return before.Order.Author != o.Order.Author && before.Order.Fence > o.Order.Fence
}

// addRequest records an admitted request. The caller holds the engine's lock.
func (r *Records) addRequest(request target.GenerateRequest) {
	if len(r.Requests) < maxRecords {
		r.Requests = append(r.Requests, request)
	}
}

// addOrder records an order and returns its index. The caller holds the engine's lock.
func (r *Records) addOrder(o target.Order, boot uint64) int {
	overlaps := slices.ContainsFunc(r.Orders, func(before OrderRecord) bool {
		return before.Outcome == OrderOpen && before.Boot == boot
	})
	r.Orders = append(r.Orders, OrderRecord{Order: o, Boot: boot, Received: time.Now(), Overlaps: overlaps})
	return len(r.Orders) - 1
}

// endOrder records the outcome of an order. The caller holds the engine's lock.
func (r *Records) endOrder(index int, outcome OrderOutcome) {
	r.Orders[index].Ended = time.Now()
	r.Orders[index].Outcome = outcome
}

// recordCut records an interrupted attempt. A change interrupted it, unless the engine has
// crashed since the attempt began.
func (e *Engine) recordCut(attempt string, boot uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.Cut++
	if !e.down && e.boot == boot && len(e.records.CutByChange) < maxRecords {
		e.records.CutByChange = append(e.records.CutByChange, CutRecord{attempt, time.Now()})
	}
}

// recordHTTP records a request that was received over HTTP.
func (e *Engine) recordHTTP(r HTTPRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.records.HTTP) < maxRecords {
		e.records.HTTP = append(e.records.HTTP, r)
	}
}
