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

// release is the order that gives the engine back to the platform.
var release = spending.Step{Pool: "pool", Zone: "zone", Class: target.Reclaimable, Count: -1, Release: engineID}

// TestReleasedTargetStaysCordoned keeps new work off a target that the
// platform takes back, although the lagging list still shows it live.
func TestReleasedTargetStaysCordoned(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.buy(t.Context(), release)
		r.tasks.Wait()
		is.Equal(len(r.targets.received()), 1)
		is.True(r.fleet.cordoned())
	})
}

// TestRefusedReleaseLiftsTheCordon gives a target that the platform does not
// take back to the gateways.
func TestRefusedReleaseLiftsTheCordon(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.targets.refuse = true
		r.buy(t.Context(), release)
		r.tasks.Wait()
		is.Equal(len(r.targets.received()), 1)
		is.True(!r.fleet.cordoned())
	})
}

// TestUnansweredReleaseKeepsTheCordon keeps work off a target while the order
// that gives it back may yet take effect.
func TestUnansweredReleaseKeepsTheCordon(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.options.ChangeTimeout = 10 * time.Second
		r.targets.err = target.ErrBroken
		r.buy(t.Context(), release)
		time.Sleep(60 * time.Second)
		is.Equal(len(r.targets.received()), 1)
		is.True(r.fleet.cordoned())
		r.tasks.Wait()
		open, err := r.executor.List(t.Context())
		is.NoErr(err)
		is.Equal(len(open), 0)
		is.True(!r.fleet.cordoned()) // only once the order is closed
	})
}

// TestShutdownKeepsTheCordonOfAnOpenOrder leaves a target cordoned whose order
// is still open when planning ends.
func TestShutdownKeepsTheCordonOfAnOpenOrder(t *testing.T) {
	for _, begin := range []func(context.Context, *rig){
		func(ctx context.Context, r *rig) { r.start(ctx, step) },
		func(ctx context.Context, r *rig) { r.buy(ctx, release) },
	} {
		run(t, func(t *testing.T, r *rig) {
			is := is.New(t)
			r.orders.err, r.targets.err = target.ErrBroken, target.ErrBroken
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

// TestOpenReleaseOfAnotherKeepsTheCordon does not take the cordon of a target
// for an orphan while another author's order may yet give the target back.
func TestOpenReleaseOfAnotherKeepsTheCordon(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.fleet.state.Cordoned, r.fleet.state.CordonEpoch = true, 7
		other := authority.NewExecutor(r.store, "other", alive{}, authority.Options{MaxTransit: time.Hour})
		defer other.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := other.OrderTargets(ctx, &fakeTargets{err: target.ErrBroken},
			provider.TargetOrder{Zone: "zone", Pool: "pool", Count: -1, Release: engineID})
		is.Equal(result.CodeOf(err), result.OrderOutcomeUnknown)
		pools := r.fleet.Snapshot().Fleet.Pools
		look := func() int {
			r.list(t.Context(), time.Now())
			return len(r.findOrphans(time.Now(), pools, r.fleet.Targets()))
		}
		is.Equal(look(), 0)
		time.Sleep(r.options.OrphanCordonAge)
		is.Equal(look(), 0)
	})
}
