package budget

import (
	"math"
	"time"

	"zinniapin/store"
)

// reserveShares is the share of the burst that calls of a purpose leave to calls of
// higher priority.
var reserveShares = [...]float64{
	store.PurposeClaim:         0,
	store.PurposeConfiguration: 0.1,
	store.PurposeOrder:         0.2,
	store.PurposeUsage:         0.35,
	store.PurposeStatus:        0.5,
}

// purposeIndex returns the index of a purpose in reserveShares; an unknown purpose has
// the lowest priority.
func purposeIndex(p store.Purpose) int {
	if p < 0 || int(p) >= len(reserveShares) {
		return len(reserveShares) - 1
	}
	return int(p)
}

// Limiter is a token bucket in which each purpose leaves a reserve to those of higher
// priority, so that calls of lower priority never delay a claim. It measures tokens in
// whole nanoseconds of refill time, so that rounding never makes the returned wait too
// short. It does no I/O and is not safe for concurrent use.
type Limiter struct {
	callCost time.Duration // refill time of one call
	capacity time.Duration // refill time of the whole burst
	level    time.Duration
	last     time.Time
}

// NewLimiter returns a limiter with a full bucket. The rate is in calls per second; a
// burst below 1 counts as 1.
func NewLimiter(now time.Time, rate float64, burst int) *Limiter {
	cost := time.Duration(math.Ceil(float64(time.Second) / rate))
	full := cost * time.Duration(max(burst, 1))
	return &Limiter{callCost: cost, capacity: full, level: full, last: now}
}

// Take takes the token for one call. If there is none for the purpose, it returns false
// and how long to wait before the next try.
func (l *Limiter) Take(now time.Time, p store.Purpose) (wait time.Duration, ok bool) {
	l.refill(now)
	reserve := time.Duration(reserveShares[purposeIndex(p)] * float64(l.capacity-l.callCost))
	need := reserve + l.callCost
	if l.level < need {
		return need - l.level, false
	}
	l.level -= l.callCost
	return 0, true
}

// refill adds the tokens for the time since the last call.
func (l *Limiter) refill(now time.Time) {
	passed := now.Sub(l.last)
	if passed <= 0 {
		return
	}
	l.level = min(l.level+min(passed, l.capacity), l.capacity)
	l.last = now
}
