package budget

import (
	"math/rand/v2"
	"time"

	"zinniapin/invariant"
)

// State is the state of a breaker.
type State int

// States of a breaker.
const (
	Closed   State = iota // calls pass
	Open                  // calls are refused
	HalfOpen              // one call at a time passes as a probe
)

// Backoff bounds of a breaker.
const (
	// failureLimit is the number of consecutive failures that open the breaker.
	failureLimit = 5
	// firstBackoff and maxBackoff are the first and the longest backoff; the breaker
	// stays open for between half of the backoff and all of it.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// Breaker is a circuit breaker for calls of the object API: after failureLimit failures
// it refuses calls, and after a jittered backoff lets one call at a time pass as a
// probe. It does no I/O and is not safe for concurrent use.
type Breaker struct {
	state         State
	failures      int
	backoff       time.Duration
	openUntil     time.Time
	probeInFlight bool
	random        *rand.Rand
}

// NewBreaker returns a closed breaker. The seed determines the jitter, so that breakers
// with different seeds stay open for different times.
func NewBreaker(seed uint64) *Breaker {
	return &Breaker{random: rand.New(rand.NewPCG(seed, ^seed))}
}

// State returns the breaker's state.
func (b *Breaker) State() State {
	return b.state
}

// Allow reports whether a call may be made. A call that cannot serve as a probe, such as
// a watch, is allowed only while the breaker is closed. Every allowed call must be
// followed by Success, Failure or ReleaseProbe.
func (b *Breaker) Allow(now time.Time, canProbe bool) bool {
	if b.state == Closed {
		return true
	}
	if !canProbe || b.probeInFlight || now.Before(b.openUntil) {
		return false
	}
	b.state = HalfOpen
	b.probeInFlight = true
	return true
}

// OpenUntil returns the time before which an open breaker allows no call.
func (b *Breaker) OpenUntil() time.Time {
	return b.openUntil
}

// Success records that the object API answered, and closes the breaker.
func (b *Breaker) Success() {
	b.state = Closed
	b.failures = 0
	b.backoff = 0
	b.probeInFlight = false
}

// ReleaseProbe records that a probe ended without a result, so that another call may
// probe.
func (b *Breaker) ReleaseProbe() {
	b.probeInFlight = false
}

// Failure records that the object API refused a call or did not answer it. A call that
// was made before the breaker opened does not lengthen the backoff.
func (b *Breaker) Failure(now time.Time, probe bool) {
	switch {
	case probe:
		b.probeInFlight = false
		b.open(now)
	case b.state == Closed:
		b.failures++
		if b.failures >= failureLimit {
			b.open(now)
		}
	}
}

// open doubles the backoff and opens the breaker for a random time between half of it
// and all of it.
func (b *Breaker) open(now time.Time) {
	b.state = Open
	b.backoff = min(max(2*b.backoff, firstBackoff), maxBackoff)
	half := b.backoff / 2
	b.openUntil = now.Add(half + time.Duration(b.random.Int64N(int64(half)+1)))
	invariant.Check(b.openUntil.After(now), "breaker_backoff", "the breaker opened without a backoff")
}
