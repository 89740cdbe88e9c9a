package planning

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/target"
)

// requiredIdleReports is the number of consecutive reports that must show no request. One
// is not enough, since reports lag.
const requiredIdleReports = 3

// cordon identifies a cordon by its target and epoch. Gateways send no new work to a
// cordoned target.
type cordon struct {
	id    target.ID
	epoch uint64
}

// drain cordons a target and waits until no request runs on it. Every live gateway must
// acknowledge the cordon and count no request there, then the target's own reports must
// show none, then every gateway must confirm once more. A gateway that does not answer
// delays the drain up to Options.DrainTimeout, since planned changes are not urgent. On an
// error drain lifts the cordon.
func (p *Planning) drain(ctx context.Context, s control.TargetState) (cordon, error) {
	c := cordon{id: s.Target.ID, epoch: s.CordonEpoch + 1}
	bounded, cancel := context.WithTimeout(ctx, p.options.DrainTimeout)
	defer cancel()
	if err := p.waitForGateways(bounded, c); err != nil {
		p.liftCordon(c)
		return c, err
	}
	if err := p.waitForIdleReports(bounded, s.Target); err != nil {
		p.liftCordon(c)
		return c, err
	}
	// A gateway that joined in the meantime may have started with an older view, without
	// the cordon.
	if err := p.waitForGateways(bounded, c); err != nil {
		p.liftCordon(c)
		return c, err
	}
	return c, nil
}

// waitForGateways waits until every live gateway acknowledges the cordon and counts no
// request on the target.
func (p *Planning) waitForGateways(ctx context.Context, c cordon) error {
	for {
		running, missing, err := p.fleet.CordonEverywhere(ctx, c.id, c.epoch, false)
		if err != nil {
			return trace.Wrap(err)
		}
		if running == 0 && len(missing) == 0 {
			return nil
		}
		if !p.waitPollInterval(ctx) {
			return result.New(result.DrainTimeout, "%d requests still run, %d gateways did not answer", running, len(missing)).At(string(c.id))
		}
	}
}

// waitForIdleReports waits until the target's own reports show no request running or
// waiting.
func (p *Planning) waitForIdleReports(ctx context.Context, t target.Target) error {
	idle := 0
	for idle < requiredIdleReports {
		if !p.waitPollInterval(ctx) {
			return result.New(result.DrainTimeout, "the target's own reports do not show that it is idle").At(string(t.ID))
		}
		report, err := p.orders.Report(ctx, t)
		if err != nil || report.Running+report.Waiting > 0 {
			idle = 0
			continue
		}
		idle++
	}
	return nil
}

// waitPollInterval waits for Options.PollInterval. It returns false if ctx ends first.
func (p *Planning) waitPollInterval(ctx context.Context) bool {
	timer := time.NewTimer(p.options.PollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// liftTimeout bounds the lift of a cordon, which does not end with the context of the
// change.
const liftTimeout = 10 * time.Second

// liftCordon lets the gateways use the target again. One that does not answer learns of it
// from its next view.
func (p *Planning) liftCordon(c cordon) {
	ctx, cancel := context.WithTimeout(context.Background(), liftTimeout)
	defer cancel()
	_, _, _ = p.fleet.CordonEverywhere(ctx, c.id, c.epoch+1, true)
}

// orphanCordon is a cordon that no task of this process holds and no open order explains.
type orphanCordon struct {
	epoch uint64
	since time.Time
}

// liftOrphanCordons lifts the cordons that have been orphans for Options.OrphanCordonAge.
// The process that set them has probably died.
func (p *Planning) liftOrphanCordons(ctx context.Context, now time.Time, pools []contract.Pool, targets []control.TargetState) {
	for _, c := range p.findOrphanCordons(now, pools, targets) {
		event.OrphanCordonLifted.Log(p.options.Log).Str("target", string(c.id)).Uint64("epoch", c.epoch).Send()
		p.tasks.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, liftTimeout)
			defer cancel()
			_, _, _ = p.fleet.CordonEverywhere(bounded, c.id, c.epoch+1, true)
		})
	}
}

// findOrphanCordons returns the orphan cordons to lift, and records since when the others
// are known.
func (p *Planning) findOrphanCordons(now time.Time, pools []contract.Pool, targets []control.TargetState) []cordon {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[target.ID]orphanCordon{}
	var found []cordon
	for i := range targets {
		s := &targets[i]
		id := s.Target.ID
		_, changing := p.openOrders[id]
		if !s.Cordoned || p.claimedTargets[id] || changing || p.openReleases[id] || !containsPool(pools, s.Target.Pool) {
			continue
		}
		known, ok := p.orphans[id]
		if !ok || known.epoch != s.CordonEpoch {
			known = orphanCordon{s.CordonEpoch, now}
		}
		if now.Sub(known.since) >= p.options.OrphanCordonAge {
			found = append(found, cordon{id, s.CordonEpoch})
			continue
		}
		seen[id] = known
	}
	p.orphans = seen
	return found
}
