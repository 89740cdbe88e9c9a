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

// storedParts returns the digests of the parts in the store.
func storedParts(t testing.TB, s store.Store) map[Digest]bool {
	found, err := s.List(context.Background(), store.PurposeConfiguration, partPrefix)
	if err != nil {
		t.Fatal(err)
	}
	stored := map[Digest]bool{}
	for _, o := range found {
		stored[Digest(o.Key[len(partPrefix):])] = true
	}
	return stored
}

// acceptWeight accepts a change of the weight of the organisation "one", collects garbage, and
// returns the configuration before the change.
func acceptWeight(t testing.TB, s store.Store, weight float64, now time.Time) *Bundle {
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

// TestOldPartsStayForReaders checks that the parts of an old root can be read until 64 revisions
// and an hour have passed, and that they and the parts of later changes are deleted after that.
func TestOldPartsStayForReaders(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	acceptFirst(t, s)
	now := testTime
	old := acceptWeight(t, s, 2, now)
	for i := range recentChanges {
		_, err := Complete(context.Background(), s, old.RawRoot, nil)
		is.NoErr(err)
		acceptWeight(t, s, float64(3+i), now.Add(time.Hour))
	}
	_, err := Complete(context.Background(), s, old.RawRoot, nil)
	is.True(errors.Is(err, store.ErrNotFound))
	for i := range 3 * recentChanges {
		now = now.Add(time.Hour)
		acceptWeight(t, s, float64(100+i), now)
	}
	is.True(len(storedParts(t, s)) <= recentChanges+3)
	early := acceptWeight(t, s, 500, now)
	for i := range 2 * recentChanges {
		acceptWeight(t, s, float64(501+i), now.Add(time.Hour-time.Millisecond))
	}
	_, err = Complete(context.Background(), s, early.RawRoot, nil)
	is.NoErr(err) // many revisions, but less than an hour
}

// TestRenewedPartIsNotDeleted checks that a listed part is not deleted if a writer has written it
// again since it was listed.
func TestRenewedPartIsNotDeleted(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	acceptFirst(t, s)
	old := acceptWeight(t, s, 2, testTime) // the part with weight 0 is listed
	versions, root, err := findUnreferenced(context.Background(), s, old)
	is.NoErr(err)
	is.Equal(len(versions), 1)
	for d, v := range versions {
		part, err := old.Parts[d].Bytes()
		is.NoErr(err)
		_, err = putPart(context.Background(), s, part) // a writer writes it again
		is.NoErr(err)
		root.Revision += recentChanges
		defaultRetention.deleteDue(context.Background(), s, []unreferencedPart{{d, v, 2, 0}}, root, testTime)
		is.True(storedParts(t, s)[d])
	}
}

// TestCollectAmongRacingWriters checks that garbage collection never deletes a part of the newest
// root. Operators switch concurrently between few weights, so that unreferenced parts become
// referenced again, and each collects after only one more revision. The store loses and delays
// updates.
func TestCollectAmongRacingWriters(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := objects.New()
		acceptFirst(t, s)
		verdicts := rapid.SliceOfN(rapid.SampledFrom([]objects.Verdict{
			objects.Pass, objects.Pass, objects.Pass, objects.Pass, objects.LoseAnswer, objects.LoseRequest, objects.Late,
		}), 1, 40).Draw(rt, "verdicts")
		weights := rapid.SliceOfN(rapid.IntRange(0, 2), 12, 12).Draw(rt, "weights")
		s.SetFault(scriptedUpdates(verdicts))
		var done sync.WaitGroup
		for operator := range 3 {
			done.Go(func() { setWeights(s, operator, weights) })
		}
		done.Wait()
		s.SetFault(nil)
		if _, _, err := Load(context.Background(), s, nil); err != nil {
			rt.Fatalf("load before late updates are applied: %v", err)
		}
		s.DeliverLate()
		if _, _, err := Load(context.Background(), s, nil); err != nil {
			rt.Fatalf("load after late updates are applied: %v", err)
		}
	})
}

// scriptedUpdates returns a fault that applies the verdicts to all puts and deletes, one after
// another and then from the start again.
func scriptedUpdates(verdicts []objects.Verdict) objects.Fault {
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

// setWeights accepts changes of one contract to the given weights and collects garbage after
// each, with a retention of one revision.
func setWeights(s store.Store, operator int, weights []int) {
	ctx := context.Background()
	oneRevision := retention{revisions: 1}
	for n, weight := range weights {
		before, _, err := Load(ctx, s, nil)
		if err != nil {
			continue
		}
		c := testContract("one")
		c.Weight = float64(weight)
		p := Proposal{ID: fmt.Sprint(operator, "-", n), Base: before.Root.Revision, Contracts: []*contract.Contract{c}, Cached: before}
		if _, err := Accept(ctx, s, p, testTime); err == nil {
			_ = oneRevision.collect(ctx, s, before, testTime)
		}
	}
}
