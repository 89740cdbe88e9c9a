package engine

import (
	"net/http"
	"slices"
	"time"

	"zinniapin/target"
)

// OrderOutcome is what became of an order.
type OrderOutcome string

// Outcomes of orders.
const (
	OrderOpen     OrderOutcome = ""         // under way
	OrderApplied  OrderOutcome = "applied"  // took effect
	OrderRepeated OrderOutcome = "repeated" // had taken effect before
	OrderStale    OrderOutcome = "stale"    // refused for its fencing number
	OrderLost     OrderOutcome = "lost"     // ended by a crash
)

// OrderRecord is an order as the engine received it.
type OrderRecord struct {
	Order    target.Order
	Boot     uint64
	Received time.Time
	Ended    time.Time // zero while under way
	Outcome  OrderOutcome
	// Overlaps is set when another order was under way on arrival.
	Overlaps bool
}

// HTTPRecord is a request as it came over HTTP.
type HTTPRecord struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Records are what an engine saw since it was made, over all boots.
type Records struct {
	Orders   []OrderRecord
	Requests []target.GenerateRequest
	HTTP     []HTTPRecord
	// Cut is the number of requests that a change or a crash ended.
	Cut int
	// CutByChange are the attempts that a change ended.
	CutByChange []CutRecord
}

// CutRecord is an attempt that a change ended.
type CutRecord struct {
	Attempt string
	At      time.Time
}

// Records returns a copy of what the engine saw.
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

// Conflicts returns the orders that conflict with an earlier one: different
// orders under way at once, or one of a lower fencing number than another
// author's before it that was not refused.
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

// conflict tells whether an order conflicts with one before it.
func conflict(before, o OrderRecord) bool {
	if before.Outcome == OrderStale || before.Order.ID == o.Order.ID || before.Boot != o.Boot {
		return false
	}
	if before.Ended.IsZero() || before.Ended.After(o.Received) {
		return true
	}
	return before.Order.Author != o.Order.Author && before.Order.Fence > o.Order.Fence
}

// add records a request that was taken in. The engine's lock is held.
func (r *Records) add(request target.GenerateRequest) {
	if len(r.Requests) < maxRecords {
		r.Requests = append(r.Requests, request)
	}
}

// arrive records an order and returns its index. The engine's lock is held.
func (r *Records) arrive(o target.Order, boot uint64) int {
	overlaps := slices.ContainsFunc(r.Orders, func(before OrderRecord) bool {
		return before.Outcome == OrderOpen && before.Boot == boot
	})
	r.Orders = append(r.Orders, OrderRecord{Order: o, Boot: boot, Received: time.Now(), Overlaps: overlaps})
	return len(r.Orders) - 1
}

// end records an order's outcome. The engine's lock is held.
func (r *Records) end(index int, outcome OrderOutcome) {
	r.Orders[index].Ended = time.Now()
	r.Orders[index].Outcome = outcome
}

// countCut counts an attempt that was cut, by a change unless the engine has
// crashed since the attempt began.
func (e *Engine) countCut(attempt string, boot uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.Cut++
	if !e.down && e.boot == boot && len(e.records.CutByChange) < maxRecords {
		e.records.CutByChange = append(e.records.CutByChange, CutRecord{attempt, time.Now()})
	}
}

// recordHTTP records a request that came over HTTP.
func (e *Engine) recordHTTP(r HTTPRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.records.HTTP) < maxRecords {
		e.records.HTTP = append(e.records.HTTP, r)
	}
}
