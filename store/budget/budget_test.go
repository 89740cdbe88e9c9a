package budget

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
	"zinniapin/internal/standin/objects"
	"zinniapin/store"
)

func TestLimiterHoldsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 500).Draw(t, "rate")
		burst := rapid.IntRange(1, 50).Draw(t, "burst")
		now := time.Unix(0, 0)
		l := NewLimiter(now, rate, burst)
		taken := 0
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000_000).Draw(t, "gap")))
			p := store.Purpose(rapid.IntRange(0, 4).Draw(t, "purpose"))
			wait, ok := l.Take(now, p)
			if ok {
				taken++
			} else if _, ok := l.Take(now.Add(wait), p); !ok {
				t.Fatalf("no token after the wait of %v", wait)
			} else {
				now = now.Add(wait)
				taken++
			}
		}
		most := float64(burst) + now.Sub(time.Unix(0, 0)).Seconds()*rate
		if float64(taken) > most+1e-6 {
			t.Fatalf("%d calls were allowed, at most %f expected", taken, most)
		}
	})
}

func TestLowerPurposesNeverDelayAClaim(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLimiter(now, 100, 20)
	for range 2000 {
		for p := store.PurposeStatus; p > store.PurposeClaim; p-- {
			for _, ok := l.Take(now, p); ok; _, ok = l.Take(now, p) {
			}
		}
		_, ok := l.Take(now, store.PurposeClaim)
		is.True(ok) // the other purposes left their reserve
		now = now.Add(10 * time.Millisecond)
	}
}

// An open breaker lets one probe through at a time, with a growing backoff between them.
func TestBreakerOpensProbesAndBacksOff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := NewBreaker(1)
	for range failureLimit {
		is.True(b.Allow(now, true))
		b.Failure(now, false)
	}
	var last time.Duration
	for range 8 {
		is.Equal(b.State(), Open)
		is.True(!b.Allow(now, true))
		wait := b.OpenUntil().Sub(now)
		is.True(wait >= firstBackoff/2 && wait <= maxBackoff)
		is.True(wait >= last/2) // jitter is at most half
		last = wait
		now = b.OpenUntil()
		is.True(!b.Allow(now, false)) // a watch cannot probe
		is.True(b.Allow(now, true))
		is.True(!b.Allow(now, true)) // one probe at a time
		b.Failure(now, true)
	}
	now = b.OpenUntil()
	is.True(b.Allow(now, true))
	b.Success()
	is.Equal(b.State(), Closed)
}

// Breakers with different seeds stay open for different times.
func TestBreakersOfDifferentSeedsSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	seen := map[time.Time]bool{}
	for seed := range uint64(390) {
		b := NewBreaker(seed)
		for range failureLimit {
			b.Failure(now, false)
		}
		seen[b.OpenUntil()] = true
	}
	is.True(len(seen) > 380)
}

// A call for which no token becomes available before its deadline fails with
// ErrUnavailable and is not sent.
func TestCallWithoutTokenFailsByItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := objects.New()
		b := New(inner, Options{Rate: 1, Burst: 1})
		_, err := b.Put(t.Context(), store.PurposeUsage, "k", nil, store.Absent)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = b.Get(ctx, store.PurposeStatus, "k")
		is.True(errors.Is(err, store.ErrUnavailable))
		is.True(time.Since(start) <= 500*time.Millisecond)
		is.Equal(inner.Calls()[store.PurposeStatus], 0) // never sent
		_, err = b.Get(t.Context(), store.PurposeStatus, "k")
		is.NoErr(err) // without a deadline it waits for a token
	})
}

func TestBreakerOpensInOutageAndClosesAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := objects.New()
		var states []bool
		b := New(inner, Options{Rate: 1000, Burst: 100, Seed: 3, OnState: func(up bool) { states = append(states, up) }})
		inner.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
		for range 1000 {
			_, err := b.Get(t.Context(), store.PurposeClaim, "k")
			is.True(errors.Is(err, store.ErrUnavailable))
			time.Sleep(10 * time.Millisecond)
		}
		is.True(inner.Calls()[store.PurposeClaim] < 20) // ten seconds of outage
		inner.SetFault(nil)
		time.Sleep(maxBackoff)
		_, err := b.Get(t.Context(), store.PurposeClaim, "k")
		is.True(errors.Is(err, store.ErrNotFound))
		is.Equal(states, []bool{false, true})
	})
}

// Watches that end by their callers' deadlines must not open the breaker.
func TestEndedWatchesAreNoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(objects.New(), Options{Rate: 1000, Burst: 100})
		for range 3 * failureLimit {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := b.Watch(ctx, store.PurposeConfiguration, "k", 0)
			cancel()
			is.True(err != nil)
		}
		is.True(b.Reachable())
	})
}
