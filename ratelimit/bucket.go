// Package ratelimit holds the token bucket behind the rate limits of packages admission and quota. It reads no
// clock; a Bucket is not safe for concurrent use.
package ratelimit

import (
	"math"
	"time"
)

// Bucket is a token bucket. The level may fall below zero when a cost is known only afterwards, or when more than
// a full bucket is granted at once. The zero Bucket is full from its first Refill on.
type Bucket struct {
	Level float64   // units left, as of the last Refill
	last  time.Time // when Level was last updated
}

// Empty returns a bucket that is empty at now.
func Empty(now time.Time) Bucket { return Bucket{last: now} }

// Refill adds what has accrued since the last call at the given rate per second, up to size.
func (b *Bucket) Refill(now time.Time, rate, size float64) {
	if b.last.IsZero() {
		b.Level = size
		b.last = now
		return
	}
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 {
		b.Level += elapsed * rate
		b.last = now
	}
	b.Level = math.Min(b.Level, size)
}

// TimeUntil returns how long the level takes to reach want at the given rate per second, at most most.
func (b *Bucket) TimeUntil(want, rate float64, most time.Duration) time.Duration {
	if b.Level >= want {
		return 0
	}
	if rate <= 0 {
		return most
	}
	seconds := math.Min((want-b.Level)/rate, most.Seconds()) // a longer time could overflow time.Duration
	return time.Duration(seconds * float64(time.Second))
}
