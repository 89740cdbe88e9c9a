// Package budget limits a process's calls of the object API: by a rate limiter with
// priorities by purpose, and by a circuit breaker.
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

// Options are the options of a Budget.
type Options struct {
	// Rate is the number of calls a second. It must be above 0.
	Rate float64
	// Burst is the number of calls that may be made at once, at least 1.
	Burst int
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// Seed determines the jitter of the breaker; it should differ between processes.
	Seed uint64
	// OnState is called when the object API becomes reachable or unreachable. It must
	// not block. Default: no call.
	OnState func(reachable bool)
}

// Budget is a store.Store that limits the calls to another one. A call beyond the rate
// waits for its turn; if its context ends first, it fails with store.ErrUnavailable.
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

// New returns a Budget that limits the calls to a store.
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

// Reachable reports whether the breaker is closed.
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

// count counts a call in the metrics.
func (b *Budget) count(p store.Purpose, outcome string) {
	b.calls.WithLabelValues(purposeNames[purposeIndex(p)], outcome).Inc()
}

// Values of the label "outcome" for calls that were not made.
const (
	outcomeLimited = "limited" // no token before the caller's deadline
	outcomeOpen    = "open"    // the breaker is open
)

// doCall makes a call once it is admitted, and records its result. canProbe is false only
// for a watch, which lasts as long as its caller wants: it cannot serve as the breaker's
// probe, and the expiry of its deadline is no failure of the object API.
func (b *Budget) doCall(ctx context.Context, p store.Purpose, canProbe bool, call func() error) error {
	probe, err := b.admit(ctx, p, canProbe)
	if err != nil {
		return err
	}
	err = call()
	b.recordResult(p, probe, err, callerGaveUp(ctx, canProbe, err))
	return err
}

// admit waits until the limiter and the breaker allow the call. It returns whether the
// call is the breaker's probe.
func (b *Budget) admit(ctx context.Context, p store.Purpose, canProbe bool) (probe bool, err error) {
	for {
		if ctx.Err() != nil {
			b.count(p, outcomeLimited)
			return false, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
		}
		wait, probe, err := b.tryAdmit(p, canProbe)
		if err != nil {
			b.count(p, outcomeOpen)
			return false, err
		}
		if wait == 0 {
			return probe, nil
		}
		if err := b.waitFor(ctx, wait); err != nil {
			b.count(p, outcomeLimited)
			return false, err
		}
	}
}

// tryAdmit takes a token, or returns how long to wait for one. The limiter is asked
// before the breaker, so that a probe that the breaker allows is always made.
func (b *Budget) tryAdmit(p store.Purpose, canProbe bool) (wait time.Duration, probe bool, err error) {
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

// errBudgetSpent means that the call's context ends before a token is available.
var errBudgetSpent = fmt.Errorf("%w: the budget is spent", store.ErrUnavailable)

// waitFor waits for a time. It fails at once if the context's deadline is earlier, and
// when the context ends.
func (b *Budget) waitFor(ctx context.Context, wait time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return errBudgetSpent
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", errBudgetSpent, ctx.Err())
	}
}

// callerGaveUp reports whether a call failed because its caller cancelled it, which says
// nothing about the object API. For a watch, which waits as long as its caller wants,
// the expiry of the caller's deadline counts as well.
func callerGaveUp(ctx context.Context, canProbe bool, err error) bool {
	if err == nil || ctx.Err() == nil {
		return false
	}
	return !canProbe || errors.Is(ctx.Err(), context.Canceled)
}

// recordResult counts a call and records its result in the breaker. Failures of
// abandoned calls, whose callers gave up, are not recorded.
func (b *Budget) recordResult(p store.Purpose, probe bool, err error, abandoned bool) {
	failed := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
	b.count(p, outcomeLabel(err))
	b.mu.Lock()
	wasClosed := b.breaker.State() == Closed
	switch {
	case failed && abandoned:
		if probe {
			b.breaker.ReleaseProbe()
		}
	case failed:
		b.breaker.Failure(b.now(), probe)
	case probe || wasClosed:
		b.breaker.Success()
	}
	isClosed := b.breaker.State() == Closed
	b.mu.Unlock()
	if wasClosed != isClosed {
		b.onState(isClosed)
	}
}

// outcomeLabel returns the value of the metric label "outcome" for an error.
func outcomeLabel(err error) string {
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
	err = b.doCall(ctx, p, true, func() error {
		object, err = b.inner.Get(ctx, p, key)
		return err
	})
	return object, err
}

// Put implements store.Store.
func (b *Budget) Put(ctx context.Context, p store.Purpose, key string, value []byte, ifVersion store.Version) (version store.Version, err error) {
	err = b.doCall(ctx, p, true, func() error {
		version, err = b.inner.Put(ctx, p, key, value, ifVersion)
		return err
	})
	return version, err
}

// Delete implements store.Store.
func (b *Budget) Delete(ctx context.Context, p store.Purpose, key string, ifVersion store.Version) error {
	return b.doCall(ctx, p, true, func() error {
		return b.inner.Delete(ctx, p, key, ifVersion)
	})
}

// List implements store.Store.
func (b *Budget) List(ctx context.Context, p store.Purpose, prefix string) (objects []store.Object, err error) {
	err = b.doCall(ctx, p, true, func() error {
		objects, err = b.inner.List(ctx, p, prefix)
		return err
	})
	return objects, err
}

// Watch implements store.Store. A watch counts as one call. It never serves as a probe,
// because its answer may take too long.
func (b *Budget) Watch(ctx context.Context, p store.Purpose, key string, after store.Version) (object store.Object, err error) {
	err = b.doCall(ctx, p, false, func() error {
		object, err = b.inner.Watch(ctx, p, key, after)
		return err
	})
	return object, err
}
