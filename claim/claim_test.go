package claim

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/objects"
	"zinniapin/result"
	"zinniapin/store"
)

var testID = ID{Organisation: "org", IdempotencyKey: "k1"}

// clock is a clock that tests set.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Unix(1_800_000_000, 0)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// firstPut returns a fault that gives the first Put the verdict and lets all other calls pass.
func firstPut(v objects.Verdict) objects.Fault {
	var mu sync.Mutex
	used := false
	return func(op objects.Operation, _ string) objects.Verdict {
		mu.Lock()
		defer mu.Unlock()
		if op != objects.Put || used {
			return objects.Pass
		}
		used = true
		return v
	}
}

// TestClaimLifecycle checks the states that two registries see: a claim in progress, a release
// and a new claim, the stored answer, another request under the same key, the same key of
// another organisation, and an abandoned claim.
func TestClaimLifecycle(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	api := objects.New()
	a, b := NewStoreRegistry(api, Options{}), NewStoreRegistry(api, Options{})
	digest := [32]byte{1}

	first, err := a.Begin(ctx, testID, digest)
	is.NoErr(err)
	is.True(first.Ticket != nil)
	second, err := b.Begin(ctx, testID, digest)
	is.NoErr(err)
	is.True(second.Ticket == nil)
	is.Equal(second.State, Claimed)
	is.True(second.RetryAfter > 0)

	is.NoErr(a.Release(ctx, *first.Ticket))
	is.True(errors.Is(a.Finish(ctx, *first.Ticket, Answer{}), ErrNotHeld))
	third, err := b.Begin(ctx, testID, digest)
	is.NoErr(err)
	is.NoErr(b.Finish(ctx, *third.Ticket, Answer{Status: 201, Body: []byte("x")}))
	replay, err := a.Begin(ctx, testID, digest)
	is.NoErr(err)
	is.Equal(replay.State, Done)
	is.Equal(replay.Answer.Status, 201)

	_, err = a.Begin(ctx, testID, [32]byte{2})
	is.Equal(result.CodeOf(err), result.ClaimMismatch)
	other, err := a.Begin(ctx, ID{Organisation: "other", IdempotencyKey: "k1"}, [32]byte{2})
	is.NoErr(err)
	is.True(other.Ticket != nil)
	is.NoErr(a.Abandon(ctx, *other.Ticket))
	unknown, err := b.Begin(ctx, ID{Organisation: "other", IdempotencyKey: "k1"}, [32]byte{2})
	is.NoErr(err)
	is.Equal(unknown.State, Unknown)
}

// TestBeginSettlesLostAnswer checks that Begin returns a ticket when the answer to its update
// is lost, whether the update took effect, did not or does so late.
func TestBeginSettlesLostAnswer(t *testing.T) {
	for _, verdict := range []objects.Verdict{objects.LoseAnswer, objects.LoseRequest, objects.Late} {
		is := is.New(t)
		api := objects.New()
		api.SetFault(firstPut(verdict))
		r := NewStoreRegistry(api, Options{})
		got, err := r.Begin(context.Background(), testID, [32]byte{1})
		is.NoErr(err)
		is.True(got.Ticket != nil)
		api.DeliverLate()
		is.NoErr(r.Finish(context.Background(), *got.Ticket, Answer{Status: 200}))
	}
}

// TestBeginRefusesWhenStoreIsDown checks that Begin refuses the request as not run when the
// object API is down, and leaves nothing pending.
func TestBeginRefusesWhenStoreIsDown(t *testing.T) {
	is := is.New(t)
	api := objects.New()
	api.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
	r := NewStoreRegistry(api, Options{})
	_, err := r.Begin(context.Background(), testID, [32]byte{1})
	is.Equal(result.CodeOf(err), result.StoreUnavailable)
	is.Equal(result.Of(err).Execution, result.NotRun)
	is.True(result.Of(err).RetryAfter > 0)
	is.Equal(r.Pending(), 0)
}

// TestUnconfirmedBeginIsWithdrawn checks that a claim which takes effect after Begin has failed
// is released later. Otherwise the request could never run.
func TestUnconfirmedBeginIsWithdrawn(t *testing.T) {
	is := is.New(t)
	api := objects.New()
	api.SetFault(func(op objects.Operation, _ string) objects.Verdict { return objects.Late })
	r := NewStoreRegistry(api, Options{})
	_, err := r.Begin(context.Background(), testID, [32]byte{1})
	is.Equal(result.CodeOf(err), result.StoreUnavailable)
	is.Equal(r.Pending(), 1)
	api.DeliverLate() // the claim takes effect and nobody holds its ticket
	api.SetFault(nil)
	is.NoErr(r.Flush(context.Background()))
	got, err := r.Begin(context.Background(), testID, [32]byte{1})
	is.NoErr(err)
	is.True(got.Ticket != nil)
}

// TestFinishOutlastsOutage checks that the final state of a claim is written after an outage
// of the object API, and that the request counts as claimed until then.
func TestFinishOutlastsOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	api := objects.New()
	r := NewStoreRegistry(api, Options{})
	got, err := r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	api.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
	is.True(errors.Is(r.Finish(ctx, *got.Ticket, Answer{Status: 200}), ErrPending))
	is.True(errors.Is(r.Flush(ctx), ErrPending))
	api.SetFault(nil)
	waiting, err := r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	is.Equal(waiting.State, Claimed)
	is.NoErr(r.Flush(ctx))
	done, err := r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	is.Equal(done.State, Done)
}

// TestOrphanBecomesUnknownAndNeverRuns checks that a claim that is not ended becomes Unknown
// and gets no new ticket, and that its holder can still record the answer.
func TestOrphanBecomesUnknownAndNeverRuns(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	api := objects.New()
	c := newClock()
	paused := NewStoreRegistry(api, Options{Now: c.Now})
	got, err := paused.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	r := NewStoreRegistry(api, Options{Now: c.Now})
	c.advance(defaultOrphanAfter)
	for range 3 {
		again, err := r.Begin(ctx, testID, [32]byte{1})
		is.NoErr(err)
		is.True(again.Ticket == nil)
		is.Equal(again.State, Unknown)
	}
	// The holder was only paused. Done may still replace Unknown; NotRun may not, see
	// TestReleaseAfterOrphanStaysUnknown.
	is.NoErr(paused.Finish(ctx, *got.Ticket, Answer{Status: 200}))
	done, err := r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	is.Equal(done.State, Done)
}

// TestReleaseAfterOrphanStaysUnknown checks that a holder cannot release a claim that has
// become Unknown, since callers have been told that the request never runs again.
func TestReleaseAfterOrphanStaysUnknown(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	api := objects.New()
	c := newClock()
	paused := NewStoreRegistry(api, Options{Now: c.Now})
	got, err := paused.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	c.advance(defaultOrphanAfter)
	r := NewStoreRegistry(api, Options{Now: c.Now})
	_, err = r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	is.NoErr(paused.Release(ctx, *got.Ticket))
	again, err := r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	is.Equal(again.State, Unknown)
}

// TestRepeatLearnsThatAnswerWasTooLarge checks that repeats of a request whose answer was too large to
// store are told that it ran.
func TestRepeatLearnsThatAnswerWasTooLarge(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := NewStoreRegistry(objects.New(), Options{MaxAnswerBytes: 4})
	got, err := r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	is.NoErr(r.Finish(ctx, *got.Ticket, Answer{Status: 200, Body: []byte("12345")}))
	_, err = r.Begin(ctx, testID, [32]byte{1})
	is.Equal(result.CodeOf(err), result.ClaimAnswerNotKept)
	is.Equal(result.Of(err).Execution, result.Ran)
}

// TestBacklogIsBounded checks that the pending queue drops answers beyond its limit on bytes
// and updates beyond its limit on their number.
func TestBacklogIsBounded(t *testing.T) {
	is := is.New(t)
	b := newPendingQueue(2, 3)
	answer := Answer{Body: []byte("ab")}
	full := finalUpdate{final: record{Answer: &answer}}
	kept, withAnswer := b.add(full)
	is.True(kept && withAnswer)
	kept, withAnswer = b.add(full)
	is.True(kept && !withAnswer) // kept without its answer
	kept, _ = b.add(full)
	is.True(!kept)
}

// TestCollectorDeletesAfterRetention checks that an ended claim is deleted after Retention plus
// ClockMargin and not before, and that a claim that was never ended is kept.
func TestCollectorDeletesAfterRetention(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	api := objects.New()
	c := newClock()
	r := NewStoreRegistry(api, Options{Now: c.Now})
	done, _ := r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(r.Finish(ctx, *done.Ticket, Answer{Status: 200}))
	_, err := r.Begin(ctx, ID{"org", "held"}, [32]byte{1})
	is.NoErr(err)
	collector := Collector{Objects: api, Retention: time.Hour, ClockMargin: time.Minute, Now: c.Now}
	sweep := func() int {
		total := 0
		for shard := range Shards {
			n, err := collector.Sweep(ctx, shard)
			is.NoErr(err)
			total += n
		}
		return total
	}
	c.advance(time.Hour + time.Minute)
	is.Equal(sweep(), 0)
	c.advance(time.Second)
	is.Equal(sweep(), 1)
	c.advance(1000 * time.Hour)
	is.Equal(sweep(), 0) // the claim that was never ended is kept
	left, err := api.List(ctx, store.PurposeStatus, Prefix)
	is.NoErr(err)
	is.Equal(len(left), 1)
}

// TestLookupClaimsNothing checks the result of Lookup in each state, and that it writes nothing.
func TestLookupClaimsNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	api := objects.New()
	r := NewStoreRegistry(api, Options{})
	look := func(id ID) (Outcome, bool) {
		api.SetFault(func(op objects.Operation, _ string) objects.Verdict {
			is.True(op != objects.Put)
			return objects.Pass
		})
		defer api.SetFault(nil)
		o, found, err := r.Lookup(ctx, id, [32]byte{1})
		is.NoErr(err)
		return o, found
	}
	_, found := look(testID)
	is.True(!found)
	first, err := r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	o, found := look(testID)
	is.True(found && o.State == Claimed && o.RetryAfter > 0 && o.Ticket == nil)
	is.NoErr(r.Release(ctx, *first.Ticket))
	_, found = look(testID)
	is.True(!found)
	second, err := r.Begin(ctx, testID, [32]byte{1})
	is.NoErr(err)
	is.NoErr(r.Finish(ctx, *second.Ticket, Answer{Status: 201}))
	o, found = look(testID)
	is.True(found && o.State == Done && o.Answer.Status == 201)
	_, _, err = r.Lookup(ctx, testID, [32]byte{2})
	is.Equal(result.CodeOf(err), result.ClaimMismatch)
	api.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
	_, _, err = r.Lookup(ctx, testID, [32]byte{1})
	is.Equal(result.CodeOf(err), result.StoreUnavailable)
}
