// Package budget keeps a process within its share of the object API: a rate
// limiter with priorities by purpose, and a circuit breaker.
package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniapin/store"
)

// Options set up a Budget.
type Options struct {
	// Rate is the number of calls a second. It must be above 0.
	Rate float64
	// Burst is the number of calls that may go out at once, at least 1.
	Burst int
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Seed spreads the retries of different processes.
	Seed uint64
	// OnState is told when the object API becomes reachable or unreachable.
	// It must not block. Default: nobody.
	OnState func(reachable bool)
}

// Budget is a store.Store that limits the calls of another. A call that finds
// no room waits as long as its context allows and then fails with
// store.ErrUnavailable.
type Budget struct {
	inner   store.Store
	now     func() time.Time
	onState func(bool)
	calls   *prometheus.CounterVec

	mu      sync.Mutex
	limiter *Limiter
	breaker *Breaker
}

var _ store.Store = (*Budget)(nil)

// New returns a budget around a store.
func New(inner store.Store, o Options) *Budget {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnState == nil {
		o.OnState = func(bool) {}
	}
	return &Budget{
		inner:   inner,
		now:     o.Now,
		onState: o.OnState,
		limiter: NewLimiter(o.Now(), o.Rate, o.Burst),
		breaker: NewBreaker(o.Seed),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_store_calls_total",
			Help: "Calls of the object API, by purpose and outcome.",
		}, []string{"purpose", "outcome"}),
	}
}

// Collector returns the metrics of the budget.
func (b *Budget) Collector() prometheus.Collector {
	return b.calls
}

// Reachable tells whether calls go out.
func (b *Budget) Reachable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.State() == Closed
}

// purposeNames are the values of the label "purpose".
var purposeNames = [...]string{
	store.PurposeClaim:         "claim",
	store.PurposeConfiguration: "configuration",
	store.PurposeOrder:         "order",
	store.PurposeUsage:         "usage",
	store.PurposeStatus:        "status",
}

// count counts a call.
func (b *Budget) count(p store.Purpose, outcome string) {
	b.calls.WithLabelValues(purposeNames[index(p)], outcome).Inc()
}

// outcomes of calls that never went out.
const (
	outcomeLimited = "limited" // no room within the caller's time
	outcomeOpen    = "open"    // the breaker is open
)

// do makes a call once there is room for it.
func (b *Budget) do(ctx context.Context, p store.Purpose, canProbe bool, call func() error) error {
	probe, err := b.enter(ctx, p, canProbe)
	if err != nil {
		return err
	}
	err = call()
	b.leave(p, probe, err, ownFailure(ctx, canProbe, err))
	return err
}

// enter waits for room. It returns whether the call tries an object API that
// failed before.
func (b *Budget) enter(ctx context.Context, p store.Purpose, canProbe bool) (probe bool, err error) {
	for {
		if ctx.Err() != nil {
			b.count(p, outcomeLimited)
			return false, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
		}
		wait, probe, err := b.attempt(p, canProbe)
		if err != nil {
			b.count(p, outcomeOpen)
			return false, err
		}
		if wait == 0 {
			return probe, nil
		}
		if err := b.pause(ctx, wait); err != nil {
			b.count(p, outcomeLimited)
			return false, err
		}
	}
}

// attempt takes a token, or returns how long to wait for one. The limiter is
// asked first, so that an allowed probe always goes out.
func (b *Budget) attempt(p store.Purpose, canProbe bool) (wait time.Duration, probe bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if b.breaker.State() != Closed && now.Before(b.breaker.OpenUntil()) {
		return 0, false, errOpen
	}
	wait, ok := b.limiter.Take(now, p)
	if !ok {
		return wait, false, nil
	}
	if !b.breaker.Allow(now, canProbe) {
		return 0, false, errOpen
	}
	return 0, b.breaker.State() == HalfOpen, nil
}

// errOpen means that the breaker refuses the call.
var errOpen = fmt.Errorf("%w: the circuit breaker is open", store.ErrUnavailable)

// errNoRoom means that the call's context ends before there is room.
var errNoRoom = fmt.Errorf("%w: the budget is spent", store.ErrUnavailable)

// pause waits, unless the context ends first or is known to.
func (b *Budget) pause(ctx context.Context, wait time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return errNoRoom
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", errNoRoom, ctx.Err())
	}
}

// ownFailure tells whether a call failed because its caller gave up, which
// says nothing about the object API. A watch waits as long as its caller
// likes, so the end of its time is no failure either.
func ownFailure(ctx context.Context, canProbe bool, err error) bool {
	if err == nil || ctx.Err() == nil {
		return false
	}
	return !canProbe || errors.Is(ctx.Err(), context.Canceled)
}

// leave tells the breaker how a call ended.
func (b *Budget) leave(p store.Purpose, probe bool, err error, own bool) {
	failed := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
	b.count(p, outcome(err))
	b.mu.Lock()
	before := b.breaker.State() == Closed
	switch {
	case failed && own:
		if probe {
			b.breaker.ReleaseProbe()
		}
	case failed:
		b.breaker.Failure(b.now(), probe)
	case probe || before:
		b.breaker.Success()
	}
	after := b.breaker.State() == Closed
	b.mu.Unlock()
	if before != after {
		b.onState(after)
	}
}

// outcome returns the value of the label "outcome".
func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrNotFound):
		return "not_found"
	case errors.Is(err, store.ErrConflict):
		return "conflict"
	case errors.Is(err, store.ErrTooLarge):
		return "too_large"
	case errors.Is(err, store.ErrUnavailable):
		return "unavailable"
	default:
		return "unknown"
	}
}

// Get implements store.Store.
func (b *Budget) Get(ctx context.Context, p store.Purpose, key string) (object store.Object, err error) {
	err = b.do(ctx, p, true, func() error {
		object, err = b.inner.Get(ctx, p, key)
		return err
	})
	return object, err
}

// Put implements store.Store.
func (b *Budget) Put(ctx context.Context, p store.Purpose, key string, value []byte, ifVersion store.Version) (version store.Version, err error) {
	err = b.do(ctx, p, true, func() error {
		version, err = b.inner.Put(ctx, p, key, value, ifVersion)
		return err
	})
	return version, err
}

// Delete implements store.Store.
func (b *Budget) Delete(ctx context.Context, p store.Purpose, key string, ifVersion store.Version) error {
	return b.do(ctx, p, true, func() error {
		return b.inner.Delete(ctx, p, key, ifVersion)
	})
}

// List implements store.Store.
func (b *Budget) List(ctx context.Context, p store.Purpose, prefix string) (objects []store.Object, err error) {
	err = b.do(ctx, p, true, func() error {
		objects, err = b.inner.List(ctx, p, prefix)
		return err
	})
	return objects, err
}

// Watch implements store.Store. A watch counts as one call, and it never
// tries an object API that failed before, because it answers too late.
func (b *Budget) Watch(ctx context.Context, p store.Purpose, key string, after store.Version) (object store.Object, err error) {
	err = b.do(ctx, p, false, func() error {
		object, err = b.inner.Watch(ctx, p, key, after)
		return err
	})
	return object, err
}
