package configuration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/contract"
	"zinniapin/internal/standin/objects"
	"zinniapin/store"
)

// partsHeld returns the digests of the parts in the store.
func partsHeld(t testing.TB, s store.Store) map[Digest]bool {
	found, err := s.List(context.Background(), store.PurposeConfiguration, partPrefix)
	if err != nil {
		t.Fatal(err)
	}
	held := map[Digest]bool{}
	for _, o := range found {
		held[Digest(o.Key[len(partPrefix):])] = true
	}
	return held
}

// changed accepts a change of the weight of "one" and collects.
func changed(t testing.TB, s store.Store, weight float64, now time.Time) *Bundle {
	ctx := context.Background()
	before, _, err := Load(ctx, s, nil)
	if err != nil {
		t.Fatal(err)
	}
	c := testContract("one")
	c.Weight = weight
	p := Proposal{ID: fmt.Sprint("to ", before.Root.Revision), Base: before.Root.Revision, Contracts: []*contract.Contract{c}, Cached: before}
	if _, err := Accept(ctx, s, p, now); err != nil {
		t.Fatal(err)
	}
	if err := CollectGarbage(ctx, s, before, now); err != nil {
		t.Fatal(err)
	}
	return before
}

// TestOldPartsStayForReaders holds a root and checks at each later change that
// its parts can be read until 64 revisions and an hour have passed, and that
// they and those of the changes after them go then.
func TestOldPartsStayForReaders(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	first(t, s)
	now := testTime
	old := changed(t, s, 2, now)
	for i := range recentChanges {
		_, err := Complete(context.Background(), s, old.RawRoot, nil)
		is.NoErr(err)
		changed(t, s, float64(3+i), now.Add(time.Hour))
	}
	_, err := Complete(context.Background(), s, old.RawRoot, nil)
	is.True(errors.Is(err, store.ErrNotFound))
	for i := range 3 * recentChanges {
		now = now.Add(time.Hour)
		changed(t, s, float64(100+i), now)
	}
	is.True(len(partsHeld(t, s)) <= recentChanges+3)
	early := changed(t, s, 500, now)
	for i := range 2 * recentChanges {
		changed(t, s, float64(501+i), now.Add(time.Hour-time.Millisecond))
	}
	_, err = Complete(context.Background(), s, early.RawRoot, nil)
	is.NoErr(err) // many revisions within an hour
}

// TestRenewedPartIsNotDeleted goes back to an old content between its being
// noted and its being deleted.
func TestRenewedPartIsNotDeleted(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	first(t, s)
	old := changed(t, s, 2, testTime) // the content with weight 0 is noted
	noted, root, err := left(context.Background(), s, old)
	is.NoErr(err)
	is.Equal(len(noted), 1)
	for d, v := range noted {
		part, err := old.Parts[d].Bytes()
		is.NoErr(err)
		_, err = putPart(context.Background(), s, part) // a writer renews it
		is.NoErr(err)
		root.Revision += recentChanges
		kept.deleteDue(context.Background(), s, []oldPart{{d, v, 2, 0}}, root, testTime)
		is.True(partsHeld(t, s)[d])
	}
}

// TestCollectAmongRacingWriters lets operators go back and forth between few
// contents, so that old parts are named again, while each collects without
// any grace and the store loses and delays updates: the newest root must
// always be whole.
func TestCollectAmongRacingWriters(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := objects.New()
		first(t, s)
		verdicts := rapid.SliceOfN(rapid.SampledFrom([]objects.Verdict{
			objects.Pass, objects.Pass, objects.Pass, objects.Pass, objects.LoseAnswer, objects.LoseRequest, objects.Late,
		}), 1, 40).Draw(rt, "verdicts")
		weights := rapid.SliceOfN(rapid.IntRange(0, 2), 12, 12).Draw(rt, "weights")
		s.SetFault(anyUpdate(verdicts))
		var done sync.WaitGroup
		for operator := range 3 {
			done.Go(func() { toggle(s, operator, weights) })
		}
		done.Wait()
		s.SetFault(nil)
		if _, _, err := Load(context.Background(), s, nil); err != nil {
			rt.Fatalf("before late updates: %v", err)
		}
		s.DeliverLate()
		if _, _, err := Load(context.Background(), s, nil); err != nil {
			rt.Fatalf("after late updates: %v", err)
		}
	})
}

// anyUpdate returns a fault that answers all updates by a script.
func anyUpdate(verdicts []objects.Verdict) objects.Fault {
	var mu sync.Mutex
	next := 0
	return func(op objects.Operation, _ string) objects.Verdict {
		if op != objects.Put && op != objects.Delete {
			return objects.Pass
		}
		mu.Lock()
		defer mu.Unlock()
		next++
		return verdicts[next%len(verdicts)]
	}
}

// toggle accepts changes of one contract to a few weights and collects what
// is left after one more revision.
func toggle(s store.Store, operator int, weights []int) {
	ctx := context.Background()
	graceless := retention{revisions: 1}
	for n, weight := range weights {
		before, _, err := Load(ctx, s, nil)
		if err != nil {
			continue
		}
		c := testContract("one")
		c.Weight = float64(weight)
		p := Proposal{ID: fmt.Sprint(operator, "-", n), Base: before.Root.Revision, Contracts: []*contract.Contract{c}, Cached: before}
		if _, err := Accept(ctx, s, p, testTime); err == nil {
			_ = graceless.collect(ctx, s, before, testTime)
		}
	}
}
