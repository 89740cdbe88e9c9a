package admission

import (
	"math"
	"time"
)

// bucket is a token bucket. The level may fall below zero when a cost is known only
// afterwards; requests are then refused until the bucket has refilled.
type bucket struct {
	level float64   // requests or tokens left, as of last
	last  time.Time // when level was last updated
}

// refill adds what has accrued since the last call at the given rate per second, up to size.
// The first call fills the bucket.
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

// timeUntil returns how long the level takes to reach want, at most maxRetryAfter.
func (b *bucket) timeUntil(want, rate float64) time.Duration {
	if b.level >= want {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := (want - b.level) / rate
	return min(maxRetryAfter, time.Duration(wait*float64(time.Second)))
}

// average is an exponentially decaying average of a rate per second. All calls for one average
// must pass the same span, its time constant.
type average struct {
	rate float64   // as of last
	last time.Time // of the last event
}

// add counts n events at now.
func (a *average) add(now time.Time, n float64, span time.Duration) {
	a.rate = a.rateAt(now, span) + n/span.Seconds()
	a.last = now
}

// rateAt returns the average rate per second as of now.
func (a *average) rateAt(now time.Time, span time.Duration) float64 {
	if a.last.IsZero() {
		return 0
	}
	elapsed := max(0, now.Sub(a.last).Seconds())
	return a.rate * math.Exp(-elapsed/span.Seconds())
}
