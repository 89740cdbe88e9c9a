package planning

import (
	"context"
	"time"

	"zinniapin/authority"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/provider"
	"zinniapin/result"
	"zinniapin/spending"
	"zinniapin/zone"
)

// queues returns what gateways saw of the pools' queues.
func queues(pools []contract.Pool, loads []control.PoolLoad) []spending.Queue {
	all := make([]spending.Queue, 0, len(pools))
	for i := range pools {
		total := control.PoolLoad{Pool: pools[i].Name}
		for _, l := range loads {
			if l.Pool == total.Pool {
				total = total.Add(l)
			}
		}
		all = append(all, spending.Queue{
			Pool:            total.Pool,
			Wait:            total.Wait,
			Refused:         total.Refused,
			StableShare:     total.Stable,
			StableOnlyShare: total.Stable,
		})
	}
	return all
}

// zonesOf returns the zones of the targets' region: those in which a target
// of the view stands.
func zonesOf(s *contract.Snapshot, targets []control.TargetState) []zone.Name {
	regions := map[zone.Region]bool{}
	for i := range targets {
		if z, ok := s.Zone(targets[i].Target.Zone); ok {
			regions[z.Region] = true
		}
	}
	var zones []zone.Name
	for _, z := range s.Fleet.Zones {
		if regions[z.Region] {
			zones = append(zones, z.Name)
		}
	}
	return zones
}

// planPurchases plans orders for targets and starts them.
func (p *Planning) planPurchases(ctx context.Context, now time.Time, s *contract.Snapshot, pools []contract.Pool, targets []control.TargetState) {
	loads := p.loads(pools)
	p.mu.Lock()
	p.purchases.Observe(now, spending.View{
		Pools:          pools,
		Zones:          zonesOf(s, targets),
		Targets:        targets,
		Queues:         queues(pools, loads),
		OrdersPossible: p.fleet.StoreReachable(),
	})
	steps := p.purchases.Plan(now)
	held := p.status.purchases(now, steps, p.purchases.Held())
	p.mu.Unlock()
	for _, h := range held {
		event.SpendingHeld.Log(p.options.Log).Str("pool", h.Pool).Str("reason", string(h.Reason)).
			Float64("utilisation", h.Figures.Utilisation).Float64("wait_seconds", h.Figures.Wait).
			Float64("refused", h.Figures.Refused).Int("targets", h.Figures.Targets).Int("cheap", h.Figures.Reclaimable).Send()
	}
	for _, step := range steps {
		p.buy(ctx, step)
	}
}

// buy starts an order for targets unless one is under way in the zone.
func (p *Planning) buy(ctx context.Context, step spending.Step) {
	if !p.claimZone(step.Zone) {
		return
	}
	event.SpendingPlanned.Log(p.options.Log).Str("pool", step.Pool).Str("zone", string(step.Zone)).
		Str("class", string(step.Class)).Int("count", step.Count).Str("release", string(step.Release)).
		Str("reason", string(step.Reason)).Float64("utilisation", step.Figures.Utilisation).
		Float64("wait_seconds", step.Figures.Wait).Float64("refused", step.Figures.Refused).Send()
	p.tasks.Go(func() {
		defer p.unclaimZone(step.Zone)
		p.order(ctx, step)
	})
}

// order carries out one order for targets. A target to be given back is
// drained first.
func (p *Planning) order(ctx context.Context, step spending.Step) {
	if step.Release != "" {
		p.release(ctx, step)
		return
	}
	granted, err := p.askPlatform(ctx, step)
	accepted := granted.Accepted
	if result.CodeOf(err) == result.OrderOutcomeUnknown {
		accepted = step.Count // they may come; nothing is bought twice for them
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.purchases.RecordOrder(time.Now(), step, accepted)
}

// release drains a target and gives it back. It returns to the gateways only
// when the platform did not take it: the list of hosts, which lags, may show a
// target live that is about to end.
func (p *Planning) release(ctx context.Context, step spending.Step) {
	s, ok := p.state(step.Release)
	if !ok || !p.claim(step.Release) {
		return
	}
	defer p.unclaim(step.Release)
	c, err := p.drain(ctx, s)
	if err != nil {
		event.RoleChangeGivenUp.Log(p.options.Log).Str("target", string(step.Release)).Err(err).Send()
		return
	}
	granted, err := p.askPlatform(ctx, step)
	if granted.Accepted > 0 || !p.closed(ctx, authority.PoolUnit(step.Pool, step.Zone), err) {
		return
	}
	p.liftIfLive(c)
}

// askPlatform orders targets from the platform, or gives one back, and logs
// the answer.
func (p *Planning) askPlatform(ctx context.Context, step spending.Step) (provider.TargetOrderResult, error) {
	bounded, cancel := context.WithTimeout(ctx, p.options.ChangeTimeout)
	defer cancel()
	granted, outcome, err := p.executor.OrderTargets(bounded, p.targets, provider.TargetOrder{
		Zone: step.Zone, Class: step.Class, Pool: step.Pool, Count: step.Count, Release: step.Release,
	})
	event.SpendingAnswered.Log(p.options.Log).Str("pool", step.Pool).Str("zone", string(step.Zone)).
		Str("outcome", string(outcome)).Int("accepted", granted.Accepted).Str("reason", granted.Reason).Err(err).Send()
	return granted, err
}

// liftIfLive lifts the cordon of a target that the platform lists as live.
func (p *Planning) liftIfLive(c cordoned) {
	if s, ok := p.state(c.id); ok && s.State == provider.Live {
		p.lift(c)
	}
}

// claimZone reserves a zone for one order for targets.
func (p *Planning) claimZone(z zone.Name) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordering[z] {
		return false
	}
	p.ordering[z] = true
	return true
}

// unclaimZone ends the reservation.
func (p *Planning) unclaimZone(z zone.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ordering, z)
}
