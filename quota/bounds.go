package quota

import (
	"math"
	"time"
)

const (
	maxGrantTTL  = 300 * time.Millisecond
	maxTolerance = 0.06
	// longestRetryAfter is told for requests that the limit never allows.
	longestRetryAfter = 60 * time.Second
)

// terms are what follows from the limit of an organisation and the bounds.
type terms struct {
	ttl       time.Duration // how long a grant is valid; grantTTL on the page
	tolerance float64       // share of hosts that may be gone without an effect on the limit
	debt      float64       // units by which the level of a bucket may fall below zero
}

// termsOf divides what the bounds leave beside rate and burst: half of the slack for debts, half of the rest for the
// age of grants, a third for the tolerance.
func termsOf(l Limit, b Bounds) terms {
	windowAndBurst := b.Window.Seconds() + l.Burst/l.Rate
	spare := b.Overage*windowAndBurst + b.Slack/(2*l.Rate) // seconds of the rate
	t := terms{
		ttl:  time.Duration(math.Min(maxGrantTTL.Seconds(), spare/4) * float64(time.Second)),
		debt: b.Slack / 4,
	}
	// The tolerance applies to the burst too, since a bucket holds burst x share.
	if windowAndBurst > 0 {
		t.tolerance = math.Min(maxTolerance, spare/(3*windowAndBurst))
	}
	return t
}

// time returns the instant as a time of the standard library, for packages that count in these.
func (i Instant) time() time.Time { return time.Unix(0, int64(i)) }

// add returns the instant after a duration.
func (i Instant) add(d time.Duration) Instant { return i + Instant(d) }

// since returns the time from another instant to this one.
func (i Instant) since(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// windowSlots is the number of slots of a counter; it counts up to a slot less than the window.
const windowSlots = 16

// counter counts units within the last window.
type counter struct {
	slots  [windowSlots]int64
	newest int64
}

// advance clears the slots that have left the window.
func (c *counter) advance(now Instant, window time.Duration) {
	slot := int64(now) / max(1, int64(window)/windowSlots)
	for n := max(c.newest+1, slot-windowSlots+1); n <= slot; n++ {
		c.slots[n%windowSlots] = 0
	}
	c.newest = max(c.newest, slot)
}

// add counts units at now.
func (c *counter) add(now Instant, window time.Duration, units int64) {
	c.advance(now, window)
	c.slots[c.newest%windowSlots] += units
}

// sum returns the units within the last window.
func (c *counter) sum(now Instant, window time.Duration) int64 {
	c.advance(now, window)
	var sum int64
	for _, n := range c.slots {
		sum += n
	}
	return sum
}
