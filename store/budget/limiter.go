package budget

import (
	"math"
	"time"

	"zinniapin/store"
)

// floors is the part of the burst that calls of a purpose leave to higher
// ones.
var floors = [...]float64{
	store.PurposeClaim:         0,
	store.PurposeConfiguration: 0.1,
	store.PurposeOrder:         0.2,
	store.PurposeUsage:         0.35,
	store.PurposeStatus:        0.5,
}

// index returns the index of a purpose; an unknown one has the lowest
// priority.
func index(p store.Purpose) int {
	if p < 0 || int(p) >= len(floors) {
		return len(floors) - 1
	}
	return int(p)
}

// Limiter is a token bucket in which each purpose leaves a reserve to higher
// ones, so that no number of lower calls delays a claim. It counts in whole
// nanoseconds, so that the wait it tells is always long enough. It does no
// I/O and is not safe for concurrent use.
type Limiter struct {
	cost  time.Duration // of one call
	full  time.Duration // what the bucket holds at most
	level time.Duration
	last  time.Time
}

// NewLimiter returns a full limiter of a rate in calls a second. The burst is
// at least 1.
func NewLimiter(now time.Time, rate float64, burst int) *Limiter {
	cost := time.Duration(math.Ceil(float64(time.Second) / rate))
	full := cost * time.Duration(max(burst, 1))
	return &Limiter{cost: cost, full: full, level: full, last: now}
}

// Take takes a call's token. When there is none, it returns false and how
// long to wait before trying again.
func (l *Limiter) Take(now time.Time, p store.Purpose) (wait time.Duration, ok bool) {
	l.fill(now)
	reserve := time.Duration(floors[index(p)] * float64(l.full-l.cost))
	need := reserve + l.cost
	if l.level < need {
		return need - l.level, false
	}
	l.level -= l.cost
	return 0, true
}

// fill adds what the time that has passed is worth.
func (l *Limiter) fill(now time.Time) {
	passed := now.Sub(l.last)
	if passed <= 0 {
		return
	}
	l.level = min(l.level+min(passed, l.full), l.full)
	l.last = now
}
