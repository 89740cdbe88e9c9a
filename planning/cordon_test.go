package planning

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/authority"
	"zinniapin/provider"
	"zinniapin/result"
	"zinniapin/spending"
	"zinniapin/target"
)

// releaseStep releases the engine to the platform.
var releaseStep = spending.Step{Pool: "pool", Zone: "zone", Class: target.Reclaimable, Count: -1, Release: engineID}

// TestReleasedTargetStaysCordoned checks that after the platform has accepted a release,
// the target stays cordoned although the lagging list of hosts still shows it as live.
func TestReleasedTargetStaysCordoned(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.startOrder(t.Context(), releaseStep)
		r.tasks.Wait()
		is.Equal(len(r.targets.received()), 1)
		is.True(r.fleet.cordoned())
	})
}

// TestRefusedReleaseLiftsTheCordon checks that if the platform does not accept a release,
// gateways may use the target again.
func TestRefusedReleaseLiftsTheCordon(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.targets.refuse = true
		r.startOrder(t.Context(), releaseStep)
		r.tasks.Wait()
		is.Equal(len(r.targets.received()), 1)
		is.True(!r.fleet.cordoned())
	})
}

// TestUnansweredReleaseKeepsTheCordon checks that a target stays cordoned while the order
// that releases it may still take effect.
func TestUnansweredReleaseKeepsTheCordon(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.options.ChangeTimeout = 10 * time.Second
		r.targets.err = target.ErrIncomplete
		r.startOrder(t.Context(), releaseStep)
		time.Sleep(60 * time.Second)
		is.Equal(len(r.targets.received()), 1)
		is.True(r.fleet.cordoned())
		r.tasks.Wait()
		open, err := r.executor.List(t.Context())
		is.NoErr(err)
		is.Equal(len(open), 0)
		is.True(!r.fleet.cordoned()) // lifted once the order is closed
	})
}

// TestShutdownKeepsTheCordonOfAnOpenOrder checks that a target whose order is still open
// when planning ends stays cordoned.
func TestShutdownKeepsTheCordonOfAnOpenOrder(t *testing.T) {
	for _, begin := range []func(context.Context, *testPlanning){
		func(ctx context.Context, r *testPlanning) { r.startChange(ctx, roleStep) },
		func(ctx context.Context, r *testPlanning) { r.startOrder(ctx, releaseStep) },
	} {
		runTest(t, func(t *testing.T, r *testPlanning) {
			is := is.New(t)
			r.orders.err, r.targets.err = target.ErrIncomplete, target.ErrIncomplete
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			begin(ctx, r)
			time.Sleep(10 * time.Second)
			is.Equal(r.orders.count()+len(r.targets.received()), 1)
			stop()
			r.tasks.Wait()
			open, err := r.executor.List(t.Context())
			is.NoErr(err)
			is.Equal(len(open), 1)
			is.True(r.fleet.cordoned())
		})
	}
}

// TestOpenReleaseOfAnotherKeepsTheCordon checks that the cordon of a target is no orphan
// while another author's order may still release the target.
func TestOpenReleaseOfAnotherKeepsTheCordon(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.fleet.state.Cordoned, r.fleet.state.CordonEpoch = true, 7
		other := authority.NewExecutor(r.store, "other", allAlive{}, authority.Options{MaxTransit: time.Hour})
		defer other.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := other.OrderTargets(ctx, &fakeTargets{err: target.ErrIncomplete},
			provider.TargetOrder{Zone: "zone", Pool: "pool", Count: -1, Release: engineID})
		is.Equal(result.CodeOf(err), result.OrderOutcomeUnknown)
		pools := r.fleet.Snapshot().Fleet.Pools
		countOrphans := func() int {
			r.refreshOpenOrders(t.Context(), time.Now())
			return len(r.findOrphanCordons(time.Now(), pools, r.fleet.Targets()))
		}
		is.Equal(countOrphans(), 0)
		time.Sleep(r.options.OrphanCordonAge)
		is.Equal(countOrphans(), 0)
	})
}
