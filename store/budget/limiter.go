package budget

import (
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
// ones, so that no number of lower calls delays a claim. It does no I/O and
// is not safe for concurrent use.
type Limiter struct {
	rate  float64 // tokens a second
	burst float64
	level float64
	last  time.Time
}

// NewLimiter returns a full limiter of a rate in calls a second. The burst is
// at least 1.
func NewLimiter(now time.Time, rate float64, burst int) *Limiter {
	size := float64(max(burst, 1))
	return &Limiter{rate: rate, burst: size, level: size, last: now}
}

// Take takes a call's token. When there is none, it returns false and how
// long to wait before trying again.
func (l *Limiter) Take(now time.Time, p store.Purpose) (wait time.Duration, ok bool) {
	l.fill(now)
	need := floors[index(p)]*(l.burst-1) + 1
	if l.level >= need {
		l.level--
		return 0, true
	}
	seconds := (need - l.level) / l.rate
	// The nanosecond covers the loss of rounding down.
	return time.Duration(seconds*float64(time.Second)) + time.Nanosecond, false
}

// fill adds the tokens of the time that has passed.
func (l *Limiter) fill(now time.Time) {
	passed := now.Sub(l.last).Seconds()
	if passed <= 0 {
		return
	}
	l.level = min(l.level+passed*l.rate, l.burst)
	l.last = now
}
