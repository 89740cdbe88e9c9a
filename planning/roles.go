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

// holds tells whether a pool is among pools.
func holds(pools []contract.Pool, name string) bool {
	for i := range pools {
		if pools[i].Name == name {
			return true
		}
	}
	return false
}

// engineOrders returns the open orders to engines by target.
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

// openReleases returns the targets that an open order gives back.
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

// arrivals returns the work that gateways took in.
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
		Arrivals:       arrivals(p.loads(pools)),
		OpenOrders:     p.open,
		Unreachable:    p.working,
		OrdersPossible: p.fleet.StoreReachable() && p.fleet.AllGatewaysReachable(),
	})
	steps := p.roles.Plan(now)
	held := p.status.roles(now, steps, p.roles.Held())
	p.mu.Unlock()
	for _, h := range held {
		event.RoleChangeHeld.Log(p.options.Log).Str("pool", h.Pool).Str("reason", string(h.Reason)).
			Float64("prefill", h.Prefill).Float64("decode", h.Decode).Float64("utilisation", h.Utilisation).
			Float64("gain", h.Gain).Float64("loss", h.Loss).Send()
	}
	for _, step := range steps {
		p.start(ctx, step)
	}
}

// start starts a change unless a task already works on its target.
func (p *Planning) start(ctx context.Context, step placement.Step) {
	if !p.claim(step.Target) {
		return
	}
	event.RoleChangePlanned.Log(p.options.Log).Str("target", string(step.Target)).Str("pool", step.Pool).
		Str("zone", string(step.Zone)).Str("from", string(step.From)).Str("role", string(step.Role)).
		Str("model", step.Model).Str("reason", step.Reason).Float64("gain", step.Gain).Float64("loss", step.Loss).
		Float64("prefill", step.Prefill).Float64("decode", step.Decode).Send()
	p.tasks.Go(func() {
		defer p.unclaim(step.Target)
		if err := p.change(ctx, step); err != nil {
			event.RoleChangeGivenUp.Log(p.options.Log).Str("target", string(step.Target)).Err(err).Send()
			return
		}
		event.RoleChangeDone.Log(p.options.Log).Str("target", string(step.Target)).Send()
	})
}

// change drains an engine, orders the change and gives the engine back. While
// the outcome of the order is open the engine stays cordoned, since the order
// may yet take effect and cut what runs there.
func (p *Planning) change(ctx context.Context, step placement.Step) error {
	s, ok := p.state(step.Target)
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
		err = p.changed(bounded, s.Target, step)
	}
	if p.closed(ctx, authority.EngineUnit(step.Target), err) {
		p.lift(c)
	}
	return trace.Wrap(err)
}

// closed waits until this process has no open order to a unit, and returns
// false when ctx ends first or when the open order is another author's: the
// cordon then stands until nobody has an order open, see liftOrphans. It need
// not wait after an error that tells the outcome: such an order can no longer
// take effect.
func (p *Planning) closed(ctx context.Context, unit string, err error) bool {
	switch result.CodeOf(err) {
	case result.OrderOutcomeUnknown:
		return p.executor.WaitClosed(ctx, unit) == nil
	case result.OrderOpen:
		return false
	default:
		return true
	}
}

// changed waits until the engine reports the change.
func (p *Planning) changed(ctx context.Context, t target.Target, step placement.Step) error {
	for {
		report, err := p.orders.Report(ctx, t)
		done := err == nil && !report.Changing && (step.Kind != target.OrderRole || report.Role == step.Role)
		if done {
			return nil
		}
		if !p.pause(ctx) {
			return trace.LimitExceeded("the engine does not report the change")
		}
	}
}
