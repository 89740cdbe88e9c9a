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

// idleReports is the number of reports in a row that must show nothing
// running, since reports lag.
const idleReports = 3

// cordoned is a target that was taken from the gateways.
type cordoned struct {
	id    target.ID
	epoch uint64
}

// drain stops new work to a target and waits until nothing runs on it: every
// live gateway has acknowledged the cordon and counts none, and the target's
// own reports since show none; then the gateways are asked once more. A gateway
// that does not answer delays the change, which may wait. On an error the
// cordon is lifted.
func (p *Planning) drain(ctx context.Context, s control.TargetState) (cordoned, error) {
	c := cordoned{id: s.Target.ID, epoch: s.CordonEpoch + 1}
	bounded, cancel := context.WithTimeout(ctx, p.options.DrainTimeout)
	defer cancel()
	if err := p.empty(bounded, c); err != nil {
		p.lift(c)
		return c, err
	}
	if err := p.reportsIdle(bounded, s.Target); err != nil {
		p.lift(c)
		return c, err
	}
	// A gateway that joined in the meantime may have begun with an older view.
	if err := p.empty(bounded, c); err != nil {
		p.lift(c)
		return c, err
	}
	return c, nil
}

// empty waits until every live gateway acknowledges the cordon and counts no
// request on the target.
func (p *Planning) empty(ctx context.Context, c cordoned) error {
	for {
		running, missing, err := p.fleet.CordonEverywhere(ctx, c.id, c.epoch, false)
		if err != nil {
			return trace.Wrap(err)
		}
		if running == 0 && len(missing) == 0 {
			return nil
		}
		if !p.pause(ctx) {
			return result.New(result.DrainTimeout, "%d requests still run, %d gateways did not answer", running, len(missing)).At(string(c.id))
		}
	}
}

// reportsIdle waits until the target's own reports show nothing running.
func (p *Planning) reportsIdle(ctx context.Context, t target.Target) error {
	idle := 0
	for idle < idleReports {
		if !p.pause(ctx) {
			return result.New(result.DrainTimeout, "the target's reports do not show it idle").At(string(t.ID))
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

// pause waits between two looks; it returns false when ctx has ended.
func (p *Planning) pause(ctx context.Context) bool {
	timer := time.NewTimer(p.options.PollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// liftLimit bounds the lift of a cordon, which goes on when its task ends.
const liftLimit = 10 * time.Second

// lift gives the target back to the gateways. One that does not answer learns
// it from its next view.
func (p *Planning) lift(c cordoned) {
	ctx, cancel := context.WithTimeout(context.Background(), liftLimit)
	defer cancel()
	_, _, _ = p.fleet.CordonEverywhere(ctx, c.id, c.epoch+1, true)
}

// orphan is a cordon that no task of this process holds.
type orphan struct {
	epoch uint64
	since time.Time
}

// liftOrphans lifts cordons whose author died: those that have stood for long
// without an open order.
func (p *Planning) liftOrphans(ctx context.Context, now time.Time, pools []contract.Pool, targets []control.TargetState) {
	for _, c := range p.findOrphans(now, pools, targets) {
		event.OrphanCordonLifted.Log(p.options.Log).Str("target", string(c.id)).Uint64("epoch", c.epoch).Send()
		p.tasks.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, liftLimit)
			defer cancel()
			_, _, _ = p.fleet.CordonEverywhere(bounded, c.id, c.epoch+1, true)
		})
	}
}

// findOrphans returns the cordons to lift and remembers the younger ones.
func (p *Planning) findOrphans(now time.Time, pools []contract.Pool, targets []control.TargetState) []cordoned {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[target.ID]orphan{}
	var found []cordoned
	for i := range targets {
		s := &targets[i]
		id := s.Target.ID
		_, changing := p.open[id]
		if !s.Cordoned || p.working[id] || changing || p.releases[id] || !holds(pools, s.Target.Pool) {
			continue
		}
		known, ok := p.orphans[id]
		if !ok || known.epoch != s.CordonEpoch {
			known = orphan{s.CordonEpoch, now}
		}
		if now.Sub(known.since) >= p.options.OrphanCordonAge {
			found = append(found, cordoned{id, s.CordonEpoch})
			continue
		}
		seen[id] = known
	}
	p.orphans = seen
	return found
}
