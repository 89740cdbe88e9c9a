package planning

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/authority"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/placement"
	"zinniapin/provider"
	"zinniapin/result"
	"zinniapin/target"
)

// containsPool tells whether a pool of this name is among pools.
func containsPool(pools []contract.Pool, name string) bool {
	for i := range pools {
		if pools[i].Name == name {
			return true
		}
	}
	return false
}

// engineOrders returns the open orders to engines, by target.
func engineOrders(orders []authority.OpenOrder) map[target.ID]target.Order {
	open := map[target.ID]target.Order{}
	for _, o := range orders {
		id, ok := strings.CutPrefix(o.Unit, authority.EngineUnit(""))
		if !ok {
			continue
		}
		var c authority.Change
		if json.Unmarshal([]byte(o.Order.Payload), &c) != nil {
			c.Kind = target.OrderRole
		}
		open[target.ID(id)] = target.Order{
			ID: o.Order.ID, Fence: o.Order.Epoch, Author: o.Order.Author,
			Kind: c.Kind, Role: c.Role, Model: c.Model, Unload: c.Unload,
		}
	}
	return open
}

// openReleases returns the targets that an open order releases to the platform.
func openReleases(orders []authority.OpenOrder) map[target.ID]bool {
	open := map[target.ID]bool{}
	for _, o := range orders {
		var released provider.TargetOrder
		if !strings.HasPrefix(o.Unit, authority.PlatformUnitPrefix) || json.Unmarshal([]byte(o.Order.Payload), &released) != nil {
			continue
		}
		if released.Release != "" {
			open[released.Release] = true
		}
	}
	return open
}

// arrivals returns the rates of work that arrives at gateways.
func arrivals(loads []control.PoolLoad) []placement.Arrival {
	all := make([]placement.Arrival, 0, len(loads))
	for _, l := range loads {
		all = append(all, placement.Arrival{Pool: l.Pool, Model: l.Model, PromptRate: l.PromptTokens, OutputRate: l.OutputTokens})
	}
	return all
}

// planRoles plans changes of roles and models and starts them.
func (p *Planning) planRoles(ctx context.Context, now time.Time, pools []contract.Pool, targets []control.TargetState) {
	p.mu.Lock()
	p.roles.Observe(now, placement.View{
		Pools:          pools,
		Targets:        targets,
		Arrivals:       arrivals(p.poolLoads(pools)),
		OpenOrders:     p.openOrders,
		Unreachable:    p.claimedTargets,
		OrdersPossible: p.fleet.StoreReachable() && p.fleet.AllGatewaysReachable(),
	})
	steps := p.roles.Plan(now)
	held := p.status.recordRoles(now, steps, p.roles.Held())
	p.mu.Unlock()
	for _, h := range held {
		event.RoleChangeHeld.Log(p.options.Log).Str("pool", h.Pool).Str("reason", string(h.Reason)).
			Float64("prefill", h.Prefill).Float64("decode", h.Decode).Float64("utilisation", h.Utilisation).
			Float64("gain", h.Gain).Float64("loss", h.Loss).Send()
	}
	for _, step := range steps {
		p.startChange(ctx, step)
	}
}

// startChange starts a change unless a task of this process already works on its target.
func (p *Planning) startChange(ctx context.Context, step placement.Step) {
	if !p.claimTarget(step.Target) {
		return
	}
	event.RoleChangePlanned.Log(p.options.Log).Str("target", string(step.Target)).Str("pool", step.Pool).
		Str("zone", string(step.Zone)).Str("from", string(step.From)).Str("role", string(step.Role)).
		Str("model", step.Model).Str("reason", step.Reason).Float64("gain", step.Gain).Float64("loss", step.Loss).
		Float64("prefill", step.Prefill).Float64("decode", step.Decode).Send()
	p.tasks.Go(func() {
		defer p.unclaimTarget(step.Target)
		if err := p.runChange(ctx, step); err != nil {
			event.RoleChangeGivenUp.Log(p.options.Log).Str("target", string(step.Target)).Err(err).Send()
			return
		}
		event.RoleChangeDone.Log(p.options.Log).Str("target", string(step.Target)).Send()
	})
}

// runChange drains an engine, orders the change and lifts the cordon. While the outcome of
// the order is unknown the engine stays cordoned, since the order may still take effect
// and interrupt the requests that run there.
func (p *Planning) runChange(ctx context.Context, step placement.Step) error {
	s, ok := p.targetState(step.Target)
	if !ok {
		return trace.NotFound("the target is no longer listed")
	}
	c, err := p.drain(ctx, s)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, p.options.ChangeTimeout)
	defer cancel()
	change := authority.Change{Kind: step.Kind, Role: step.Role, Model: step.Model, Unload: step.Unload}
	_, err = p.executor.OrderEngine(bounded, p.orders, s.Target, change)
	if err == nil {
		err = p.waitUntilChanged(bounded, s.Target, step)
	}
	if p.waitUntilClosed(ctx, authority.EngineUnit(step.Target), err) {
		p.liftCordon(c)
	}
	return trace.Wrap(err)
}

// waitUntilClosed waits until this process has no open order to a unit. err is the result
// of the order: if it tells the outcome, the order can no longer take effect and there is
// nothing to wait for. It returns false if ctx ends first or the unit's open order is
// another author's. The cordon then stays until there is no open order; see
// liftOrphanCordons.
func (p *Planning) waitUntilClosed(ctx context.Context, unit string, err error) bool {
	switch result.CodeOf(err) {
	case result.OrderOutcomeUnknown:
		return p.executor.WaitClosed(ctx, unit) == nil
	case result.OrderOpen:
		return false
	default:
		return true
	}
}

// waitUntilChanged waits until the engine reports that the change is done.
func (p *Planning) waitUntilChanged(ctx context.Context, t target.Target, step placement.Step) error {
	for {
		report, err := p.orders.Report(ctx, t)
		done := err == nil && !report.Changing && (step.Kind != target.OrderRole || report.Role == step.Role)
		if done {
			return nil
		}
		if !p.waitPollInterval(ctx) {
			return trace.LimitExceeded("the engine has not reported the change")
		}
	}
}
