package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/contract"
	_ "zinniapin/internal/fixedseed"
	"zinniapin/internal/standin/objects"
	"zinniapin/result"
	"zinniapin/store"
	"zinniapin/zone"
)

// testTime is when the changes in these tests are made, unless a test says otherwise.
var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// testFleet returns a small valid fleet.
func testFleet() *contract.Fleet {
	return &contract.Fleet{
		Zones:  []zone.Zone{{Name: "zone-a", Region: "region"}},
		Pools:  []contract.Pool{{Name: "pool"}},
		Models: []contract.Model{{Name: "model", Pool: "pool"}},
	}
}

// testContract returns a small valid contract.
func testContract(organisation string) *contract.Contract {
	return &contract.Contract{
		Organisation: organisation,
		Keys:         []contract.Key{{Fingerprint: contract.Fingerprint("key of " + organisation)}},
		Models:       []string{"model"},
		Limits:       contract.Limits{RequestsPerSecond: 5, Concurrency: 2},
	}
}

// acceptFirst accepts a first configuration, with one contract.
func acceptFirst(t *testing.T, s store.Store) {
	t.Helper()
	_, err := Accept(context.Background(), s, Proposal{ID: "first", Fleet: testFleet(), Contracts: []*contract.Contract{testContract("one")}}, testTime)
	is.New(t).NoErr(err)
}

func TestAcceptedChangeIsLoaded(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := objects.New()
	acceptFirst(t, s)
	revision, err := Accept(ctx, s, Proposal{ID: "second", Base: 1, Contracts: []*contract.Contract{testContract("two")}}, testTime)
	is.NoErr(err)
	is.Equal(revision, contract.Revision(2))
	b, _, err := Load(ctx, s, nil)
	is.NoErr(err)
	snapshot, err := b.Snapshot()
	is.NoErr(err)
	is.Equal(len(snapshot.Contracts), 2)
	c, err := snapshot.Authenticate(contract.Fingerprint("key of two"))
	is.NoErr(err)
	is.Equal(c.Organisation, "two")
}

func TestInvalidProposalChangesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := objects.New()
	acceptFirst(t, s)
	bad := testContract("two")
	bad.Models = []string{"none"}
	bad.Limits.Concurrency = 0
	_, err := Accept(ctx, s, Proposal{ID: "bad", Base: 1, Contracts: []*contract.Contract{bad}}, testTime)
	is.Equal(result.CodeOf(err), result.BadConfiguration)
	b, _, err := Load(ctx, s, nil)
	is.NoErr(err)
	is.Equal(b.Root.Revision, contract.Revision(1))
}

func TestLostRaceNamesWinner(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := objects.New()
	acceptFirst(t, s)
	_, err := Accept(ctx, s, Proposal{ID: "a", Author: "anna", Summary: "add two", Base: 1, Contracts: []*contract.Contract{testContract("two")}}, testTime)
	is.NoErr(err)
	_, err = Accept(ctx, s, Proposal{ID: "b", Author: "bert", Base: 1, Contracts: []*contract.Contract{testContract("three")}}, testTime)
	is.Equal(result.CodeOf(err), result.RevisionConflict)
	is.True(err != nil && len(err.Error()) > 0)
}

func TestChangeWithLostAnswerIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := objects.New()
	acceptFirst(t, s)
	lost := false
	s.SetFault(func(op objects.Operation, key string) objects.Verdict {
		if op == objects.Put && key == RootKey && !lost {
			lost = true
			return objects.LoseAnswer
		}
		return objects.Pass
	})
	revision, err := Accept(ctx, s, Proposal{ID: "second", Base: 1, Contracts: []*contract.Contract{testContract("two")}}, testTime)
	is.NoErr(err)
	is.True(lost)
	is.Equal(revision, contract.Revision(2)) // accepted once, not twice
	b, _, err := Load(ctx, s, nil)
	is.NoErr(err)
	is.Equal(b.Root.Revision, contract.Revision(2))
}

// TestUnknownStaysUnknown covers a store that loses the answer to an update that took effect and
// then fails. Accept must not report that the change did not take effect.
func TestUnknownStaysUnknown(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	acceptFirst(t, s)
	lost := false
	s.SetFault(func(op objects.Operation, key string) objects.Verdict {
		if lost {
			return objects.Refuse
		}
		if op == objects.Put && key == RootKey {
			lost = true
			return objects.LoseAnswer
		}
		return objects.Pass
	})
	_, err := Accept(context.Background(), s, Proposal{ID: "second", Base: 1, Contracts: []*contract.Contract{testContract("two")}}, testTime)
	is.Equal(result.CodeOf(err), result.StoreUnknown)
	is.Equal(result.Of(err).Execution, result.Unknown)
}

// TestRacingOperators checks that operators who make changes concurrently, over a store that
// loses answers and applies updates late, lose no accepted change and that every revision
// contains exactly one change.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		s := objects.New()
		acceptFirst(t, s)
		verdicts := rapid.SliceOfN(rapid.SampledFrom([]objects.Verdict{
			objects.Pass, objects.Pass, objects.LoseAnswer, objects.LoseRequest, objects.Late, objects.Refuse,
		}), 1, 40).Draw(rt, "verdicts")
		s.SetFault(scriptedRootUpdates(verdicts))
		accepted := race(ctx, s, 4, 3)
		s.SetFault(nil)
		s.DeliverLate()
		b, _, err := Load(ctx, s, nil)
		if err != nil {
			rt.Fatal(err)
		}
		checkAccepted(rt, b, accepted)
	})
}

// scriptedRootUpdates returns a fault that applies the verdicts to the updates of the root object,
// one after another and then from the start again.
func scriptedRootUpdates(verdicts []objects.Verdict) objects.Fault {
	var mu sync.Mutex
	next := 0
	return func(op objects.Operation, key string) objects.Verdict {
		if op != objects.Put || key != RootKey {
			return objects.Pass
		}
		mu.Lock()
		defer mu.Unlock()
		next++
		return verdicts[next%len(verdicts)]
	}
}

// race makes changes of several operators concurrently and returns the revisions that Accept
// returned, by change id.
func race(ctx context.Context, s store.Store, operators, changes int) map[string]contract.Revision {
	var mu sync.Mutex
	accepted := map[string]contract.Revision{}
	var done sync.WaitGroup
	for operator := range operators {
		done.Go(func() {
			for n := range changes {
				id := fmt.Sprintf("%d-%d", operator, n)
				b, _, err := Load(ctx, s, nil)
				if err != nil {
					continue
				}
				p := Proposal{ID: id, Base: b.Root.Revision, Contracts: []*contract.Contract{testContract("org-" + id)}}
				revision, err := Accept(ctx, s, p, testTime)
				if err != nil {
					continue
				}
				mu.Lock()
				accepted[id] = revision
				mu.Unlock()
			}
		})
	}
	done.Wait()
	return accepted
}

// checkAccepted checks that the configuration contains every change that was reported accepted
// and that no two were reported with the same revision.
func checkAccepted(rt *rapid.T, b *Bundle, accepted map[string]contract.Revision) {
	snapshot, err := b.Snapshot()
	if err != nil {
		rt.Fatal(err)
	}
	owners := map[contract.Revision]string{}
	for id, revision := range accepted {
		if other, taken := owners[revision]; taken {
			rt.Fatalf("revision %d was given to %s and %s", revision, other, id)
		}
		owners[revision] = id
		if snapshot.Contracts["org-"+id] == nil {
			rt.Fatalf("accepted change %s is lost", id)
		}
	}
}

func TestWindowLengthCannotChange(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	acceptFirst(t, s)
	fleet := testFleet()
	fleet.UsageWindowSeconds = 30
	_, err := Accept(context.Background(), s, Proposal{ID: "window", Base: 1, Fleet: fleet}, testTime)
	is.Equal(result.CodeOf(err), result.BadConfiguration)
	is.Equal(result.Of(err).Place, "fleet.usage_window_seconds")
	fleet.UsageWindowSeconds = 60 // the default, spelled out
	_, err = Accept(context.Background(), s, Proposal{ID: "same", Base: 1, Fleet: fleet}, testTime)
	is.NoErr(err)
}

func TestDamagedPartIsRefused(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := objects.New()
	acceptFirst(t, s)
	b, _, err := Load(ctx, s, nil)
	is.NoErr(err)
	parts := map[Digest][]byte{}
	for d := range b.Parts {
		parts[d] = []byte("{}")
	}
	_, err = NewBundle(b.RawRoot, parts)
	is.Equal(result.CodeOf(err), result.BadConfiguration)
}
