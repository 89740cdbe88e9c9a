package admission

import (
	"math"
	"time"
)

// bucket is a token bucket. Its level may fall below zero when a cost is only
// known afterwards; it then refuses until the debt is refilled.
type bucket struct {
	level float64
	last  time.Time
}

// refill brings the level up to now at a rate per second, up to size.
func (b *bucket) refill(now time.Time, rate, size float64) {
	if b.last.IsZero() {
		b.level = size
		b.last = now
		return
	}
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
		b.last = now
	}
	b.level = math.Min(b.level, size)
}

// until returns how long the level takes to reach want.
func (b *bucket) until(want, rate float64) time.Duration {
	if b.level >= want {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := (want - b.level) / rate
	return min(maxRetryAfter, time.Duration(wait*float64(time.Second)))
}

// average is a moving average of a rate per second, with exponential decay
// over a span that is the same in each call.
type average struct {
	rate float64
	last time.Time
}

// add counts n at now.
func (a *average) add(now time.Time, n float64, span time.Duration) {
	a.rate = a.at(now, span) + n/span.Seconds()
	a.last = now
}

// at returns the rate per second at now.
func (a *average) at(now time.Time, span time.Duration) float64 {
	if a.last.IsZero() {
		return 0
	}
	elapsed := max(0, now.Sub(a.last).Seconds())
	return a.rate * math.Exp(-elapsed/span.Seconds())
}
