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
	HalfOpen              // one call at a time tries the object API
)

// Backoff bounds of a breaker.
const (
	// failureLimit is the number of failures in a row that opens it.
	failureLimit = 5
	// firstBackoff and maxBackoff bound how long it stays open.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// Breaker stops calls to an object API that fails, and lets single calls try
// it at jittered times. It does no I/O and is not safe for concurrent use.
type Breaker struct {
	state    State
	failures int
	backoff  time.Duration
	until    time.Time
	probing  bool
	draw     *rand.Rand
}

// NewBreaker returns a closed breaker. Breakers of different seeds open for
// different times.
func NewBreaker(seed uint64) *Breaker {
	return &Breaker{draw: rand.New(rand.NewPCG(seed, ^seed))}
}

// State returns the state.
func (b *Breaker) State() State {
	return b.state
}

// Allow tells whether a call may go out. A call that cannot try the object
// API, such as a watch, goes out only while the breaker is closed. Every
// allowed call must be followed by Success, Failure or Withdraw.
func (b *Breaker) Allow(now time.Time, canProbe bool) bool {
	if b.state == Closed {
		return true
	}
	if !canProbe || b.probing || now.Before(b.until) {
		return false
	}
	b.state = HalfOpen
	b.probing = true
	return true
}

// OpenUntil returns the time before which no call is allowed; it is in the past
// when closed.
func (b *Breaker) OpenUntil() time.Time {
	return b.until
}

// Success notes that the object API answered.
func (b *Breaker) Success() {
	b.state = Closed
	b.failures = 0
	b.backoff = 0
	b.probing = false
}

// ReleaseProbe notes that a call ended without telling anything.
func (b *Breaker) ReleaseProbe() {
	b.probing = false
}

// Failure notes that the object API did not answer or refused. The failure of
// a call sent before the breaker opened does not lengthen the backoff.
func (b *Breaker) Failure(now time.Time, probe bool) {
	switch {
	case probe:
		b.probing = false
		b.open(now)
	case b.state == Closed:
		b.failures++
		if b.failures >= failureLimit {
			b.open(now)
		}
	}
}

// open refuses calls for a time between half the backoff and all of it.
func (b *Breaker) open(now time.Time) {
	b.state = Open
	b.backoff = min(max(2*b.backoff, firstBackoff), maxBackoff)
	half := b.backoff / 2
	b.until = now.Add(half + time.Duration(b.draw.Int64N(int64(half)+1)))
	invariant.Check(b.until.After(now), "breaker_backoff", "no backoff")
}
