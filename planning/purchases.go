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

// poolQueues returns the queueing of each pool, summed over the loads of all gateways.
func poolQueues(pools []contract.Pool, loads []control.PoolLoad) []spending.Queue {
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
			Wait:            total.WaitSeconds,
			Refused:         total.RefusedShare,
			StableShare:     total.StableShare,
			StableOnlyShare: total.StableShare,
		})
	}
	return all
}

// regionZones returns all zones of the regions in which there are targets.
func regionZones(s *contract.Snapshot, targets []control.TargetState) []zone.Name {
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

// planPurchases plans purchases and releases of targets and starts them.
func (p *Planning) planPurchases(ctx context.Context, now time.Time, s *contract.Snapshot, pools []contract.Pool, targets []control.TargetState) {
	loads := p.poolLoads(pools)
	p.mu.Lock()
	p.purchases.Observe(now, spending.View{
		Pools:          pools,
		Zones:          regionZones(s, targets),
		Targets:        targets,
		Queues:         poolQueues(pools, loads),
		OrdersPossible: p.fleet.StoreReachable(),
	})
	steps := p.purchases.Plan(now)
	held := p.status.recordPurchases(now, steps, p.purchases.Held())
	p.mu.Unlock()
	for _, h := range held {
		event.SpendingHeld.Log(p.options.Log).Str("pool", h.Pool).Str("reason", string(h.Reason)).
			Float64("utilisation", h.Figures.Utilisation).Float64("wait_seconds", h.Figures.Wait).
			Float64("refused", h.Figures.Refused).Int("targets", h.Figures.Targets).Int("cheap", h.Figures.Reclaimable).Send()
	}
	for _, step := range steps {
		p.startOrder(ctx, step)
	}
}

// startOrder starts an order for targets unless this process has one in progress in the
// zone.
func (p *Planning) startOrder(ctx context.Context, step spending.Step) {
	if !p.claimZone(step.Zone) {
		return
	}
	event.SpendingPlanned.Log(p.options.Log).Str("pool", step.Pool).Str("zone", string(step.Zone)).
		Str("class", string(step.Class)).Int("count", step.Count).Str("release", string(step.Release)).
		Str("reason", string(step.Reason)).Float64("utilisation", step.Figures.Utilisation).
		Float64("wait_seconds", step.Figures.Wait).Float64("refused", step.Figures.Refused).Send()
	p.tasks.Go(func() {
		defer p.unclaimZone(step.Zone)
		p.runOrder(ctx, step)
	})
}

// runOrder carries out one purchase or release and reports the result of a purchase to
// the planner.
func (p *Planning) runOrder(ctx context.Context, step spending.Step) {
	if step.Release != "" {
		p.releaseTarget(ctx, step)
		return
	}
	granted, err := p.orderFromPlatform(ctx, step)
	accepted := granted.Accepted
	if result.CodeOf(err) == result.OrderOutcomeUnknown {
		accepted = step.Count // the targets may still arrive, so none are bought in their place
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.purchases.RecordOrder(time.Now(), step, accepted)
}

// releaseTarget drains a target and releases it to the platform. It lifts the cordon only
// if the platform did not accept the release. After an accepted one, the list of hosts may
// still show the target as live although it is about to end, since the list lags.
func (p *Planning) releaseTarget(ctx context.Context, step spending.Step) {
	s, ok := p.targetState(step.Release)
	if !ok || !p.claimTarget(step.Release) {
		return
	}
	defer p.unclaimTarget(step.Release)
	c, err := p.drain(ctx, s)
	if err != nil {
		event.RoleChangeGivenUp.Log(p.options.Log).Str("target", string(step.Release)).Err(err).Send()
		return
	}
	granted, err := p.orderFromPlatform(ctx, step)
	if granted.Accepted > 0 || !p.waitUntilClosed(ctx, authority.PoolUnit(step.Pool, step.Zone), err) {
		return
	}
	p.liftIfLive(c)
}

// orderFromPlatform orders targets from the platform, or releases one to it, and logs the
// answer.
func (p *Planning) orderFromPlatform(ctx context.Context, step spending.Step) (provider.TargetOrderResult, error) {
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
func (p *Planning) liftIfLive(c cordon) {
	if s, ok := p.targetState(c.id); ok && s.State == provider.Live {
		p.liftCordon(c)
	}
}

// claimZone reserves a zone for one order for targets by this process. It returns false
// if the zone is reserved already.
func (p *Planning) claimZone(z zone.Name) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claimedZones[z] {
		return false
	}
	p.claimedZones[z] = true
	return true
}

// unclaimZone ends the reservation of a zone.
func (p *Planning) unclaimZone(z zone.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.claimedZones, z)
}
