package ratelimit

import (
	"math"
	"time"
)

// Average is an exponentially decaying average of a rate per second. All calls for one average
// must pass the same span, its time constant.
type Average struct {
	rate float64   // as of last
	last time.Time // of the last event
}

// Add counts n events at now.
func (a *Average) Add(now time.Time, n float64, span time.Duration) {
	a.rate = a.RateAt(now, span) + n/span.Seconds()
	a.last = now
}

// RateAt returns the average rate per second as of now.
func (a *Average) RateAt(now time.Time, span time.Duration) float64 {
	if a.last.IsZero() {
		return 0
	}
	elapsed := max(0, now.Sub(a.last).Seconds())
	return a.rate * math.Exp(-elapsed/span.Seconds())
}
