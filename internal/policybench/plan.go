package policybench

import (
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/placement"
	"zinniapin/routing"
	"zinniapin/spending"
	"zinniapin/target"
)

// choice is a router's choice of targets for a request.
type choice = routing.Choice

// deliverReports collects the engines' load reports and delivers views of the
// targets to the gateways. Engines report and gateways update at staggered
// times, each once every reportInterval.
func (sim *simulation) deliverReports(now int64) {
	if sim.policy.exact {
		sim.pickers[0].observe(timeAt(now), sim.exactView(now))
		return
	}
	period := int64(reportInterval)
	for i, e := range sim.engines {
		offset := int64(i) * 70 * int64(time.Millisecond) % period
		if !e.ended && (now+offset)%period == 0 {
			sim.reports[i] = append(sim.reports[i], sentReport{now, e.report(timeAt(now))})
		}
	}
	var view []control.TargetState
	for i, p := range sim.pickers {
		offset := int64(i) * 110 * int64(time.Millisecond) % period
		if (now+offset)%period != 0 && !sim.cordonChanged(now) {
			continue
		}
		if view == nil {
			view = sim.view(now)
		}
		p.observe(timeAt(now), view)
	}
}

// cordonChanged reports whether this tick follows a planning round. Gateways
// then update their views at once, because cordons reach them without waiting
// for the next report.
func (sim *simulation) cordonChanged(now int64) bool {
	return now%int64(planInterval) == int64(tick)
}

// view returns the targets as gateways see them, each with its latest report
// that is at least reportDelay old. In the first second younger reports count
// too.
func (sim *simulation) view(now int64) []control.TargetState {
	view := make([]control.TargetState, 0, len(sim.engines))
	for i, e := range sim.engines {
		reports := sim.reports[i]
		for len(reports) > 1 && reports[1].sentAt+int64(reportDelay) <= now {
			reports = reports[1:]
		}
		sim.reports[i] = reports
		if len(reports) == 0 || reports[0].sentAt+int64(reportDelay) > now && now > int64(time.Second) {
			continue
		}
		view = append(view, e.targetState(now, reports[0].report))
	}
	return view
}

// exactView returns the targets with their current load, and reclaimed ones as
// leaving without the delay of the host list.
func (sim *simulation) exactView(now int64) []control.TargetState {
	view := make([]control.TargetState, 0, len(sim.engines))
	for _, e := range sim.engines {
		row := e.targetState(now, e.report(timeAt(now)))
		if e.terminatesAt > 0 {
			row.State = "leaving"
		}
		view = append(view, row)
	}
	return view
}

// plan runs the spending planner, which all policies share, and then changes
// roles as the policy decides.
func (sim *simulation) plan(now int64) {
	view := sim.view(now)
	if sim.policy.exact {
		view = sim.exactView(now)
	}
	ordersPossible := !sim.scenario.outage.contains(time.Duration(now).Seconds())
	sim.runSpending(now, view, ordersPossible)
	switch sim.policy.roles {
	case thresholdRoles:
		if ordersPossible {
			id, role := sim.thresholds.plan(timeAt(now), view, sim.deployment.pool.Name)
			sim.startRoleChange(id, role)
		}
	case plannedRoles:
		sim.planner.Observe(timeAt(now), placement.View{
			Pools: []contract.Pool{sim.deployment.pool}, Targets: view, OrdersPossible: ordersPossible,
		})
		for _, step := range sim.planner.Plan(timeAt(now)) {
			if step.Kind == target.OrderRole {
				sim.startRoleChange(step.Target, step.Role)
			}
		}
	case clairvoyantRoles:
		sim.assignClairvoyantRoles(now)
	}
}

// startRoleChange orders an engine to change its role. The engine is cordoned,
// finishes its requests and is then unavailable for roleChangeTime.
func (sim *simulation) startRoleChange(id target.ID, role target.Role) {
	e := sim.byID[id]
	if e == nil || e.ended || e.changingTo != "" || e.noticeAt > 0 {
		return
	}
	e.changingTo = role
	sim.roleChanges++
}

// runSpending runs the spending planner over the queue statistics of all
// gateways and carries out its purchases and releases.
func (sim *simulation) runSpending(now int64, view []control.TargetState, ordersPossible bool) {
	queue := spending.Queue{Pool: sim.deployment.pool.Name, StableShare: sim.deployment.guaranteedShare(), StableOnlyShare: sim.deployment.stableOnlyShare()}
	sent, refused := 0, 0
	for _, g := range sim.gateways {
		queue.Wait += g.queueWait
		sent += g.sent
		refused += g.refused
		g.queueWait, g.sent, g.refused = 0, 0, 0
	}
	queue.Wait /= float64(max(1, sent))
	queue.Refused = float64(refused) / float64(max(1, sent+refused))
	sim.spender.Observe(timeAt(now), spending.View{
		Pools: []contract.Pool{sim.deployment.pool}, Zones: sim.deployment.zones, Targets: view,
		Queues: []spending.Queue{queue}, OrdersPossible: ordersPossible,
	})
	for _, step := range sim.spender.Plan(timeAt(now)) {
		if step.Release != "" {
			sim.release(now, step.Release)
			continue
		}
		sim.spender.RecordOrder(timeAt(now), step, sim.buy(now, step))
	}
	sim.addDelivered(now)
}

// buy orders targets from the platform and returns the number granted. The
// platform grants no reclaimable targets while they are scarce.
func (sim *simulation) buy(now int64, step spending.Step) int {
	t := time.Duration(now).Seconds()
	if step.Class == target.Reclaimable && sim.scenario.reclaimAt > 0 && t >= sim.scenario.reclaimAt && t < sim.scenario.reclaimAt+sim.scenario.scarceTime {
		return 0
	}
	sim.inDelivery = append(sim.inDelivery, purchase{now + int64(purchaseDelay), step.Zone, step.Class})
	sim.bought += step.Count
	return step.Count
}

// addDelivered adds an engine for each purchase whose delivery is due, with the
// role that neededRole returns.
func (sim *simulation) addDelivered(now int64) {
	kept := sim.inDelivery[:0]
	for _, p := range sim.inDelivery {
		if p.arrivesAt > now {
			kept = append(kept, p)
			continue
		}
		sim.addEngine(now, p.zone, p.class, sim.neededRole())
	}
	sim.inDelivery = kept
}

// neededRole returns the role of a new engine that keeps the initial share of
// prefill engines.
func (sim *simulation) neededRole() target.Role {
	if sim.policy.roles == allMixed {
		return target.Mixed
	}
	prefill, total := 0, 0
	for _, e := range sim.engines {
		if !e.ended && e.target.Kind == target.Engine {
			total++
			if e.role == target.Prefill {
				prefill++
			}
		}
	}
	if prefill*(sim.deployment.reserved+sim.deployment.reclaimable) < sim.deployment.prefill*(total+1) {
		return target.Prefill
	}
	return target.Decode
}

// release returns a target to the platform. It gets no new requests and leaves
// once it is idle.
func (sim *simulation) release(now int64, id target.ID) {
	if e := sim.byID[id]; e != nil && !e.ended && e.noticeAt == 0 {
		e.noticeAt, e.releasing = now, true
	}
}

// guaranteedShare returns the share of the work with guaranteed service: that
// of large organisations and of those that need stable targets.
func (d *deployment) guaranteedShare() float64 {
	share := 0.0
	for _, o := range d.orgs {
		if o.stable || o.large {
			share += o.share
		}
	}
	return share
}

// stableOnlyShare returns the share of the work that must not run on
// reclaimable targets.
func (d *deployment) stableOnlyShare() float64 {
	share := 0.0
	for _, o := range d.orgs {
		if o.stable {
			share += o.share
		}
	}
	return share
}
