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

// choice shortens the name of a router's choice.
type choice = routing.Choice

// observe reads the engines' reports and hands views to the gateways, each
// engine and gateway at its own moment.
func (w *world) observe(now int64) {
	if w.policy.exact {
		w.pickers[0].observe(at(now), w.exactView(now))
		return
	}
	period := int64(reportEvery)
	for i, e := range w.engines {
		offset := int64(i) * 70 * int64(time.Millisecond) % period
		if !e.dead && (now+offset)%period == 0 {
			w.reports[i] = append(w.reports[i], stamped{now, e.report(at(now))})
		}
	}
	var view []control.TargetState
	for i, p := range w.pickers {
		offset := int64(i) * 110 * int64(time.Millisecond) % period
		if (now+offset)%period != 0 && !w.cordonChanged(now) {
			continue
		}
		if view == nil {
			view = w.view(now)
		}
		p.observe(at(now), view)
	}
}

// cordonChanged tells whether gateways were told of a cordon in this tick.
func (w *world) cordonChanged(now int64) bool {
	return now%int64(planEvery) == int64(tick)
}

// view is what gateways see: reports as old as they are.
func (w *world) view(now int64) []control.TargetState {
	view := make([]control.TargetState, 0, len(w.engines))
	for i, e := range w.engines {
		reports := w.reports[i]
		for len(reports) > 1 && reports[1].at+int64(reportLag) <= now {
			reports = reports[1:]
		}
		w.reports[i] = reports
		if len(reports) == 0 || reports[0].at+int64(reportLag) > now && now > int64(time.Second) {
			continue
		}
		view = append(view, e.row(now, reports[0].report))
	}
	return view
}

// exactView is the fleet as it is.
func (w *world) exactView(now int64) []control.TargetState {
	view := make([]control.TargetState, 0, len(w.engines))
	for _, e := range w.engines {
		row := e.row(now, e.report(at(now)))
		if e.leavesAt > 0 {
			row.State = "leaving"
		}
		view = append(view, row)
	}
	return view
}

// plan lets the policy change roles and the common spending rules buy and
// release.
func (w *world) plan(now int64) {
	view := w.view(now)
	if w.policy.exact {
		view = w.exactView(now)
	}
	possible := !w.s.outage.holds(time.Duration(now).Seconds())
	w.spend(now, view, possible)
	switch w.policy.roles {
	case thresholdRoles:
		if possible {
			id, role := w.simple.plan(at(now), view, w.d.pool.Name)
			w.order(id, role)
		}
	case plannedRoles:
		w.planner.Observe(at(now), placement.View{
			Pools: []contract.Pool{w.d.pool}, Targets: view, OrdersPossible: possible,
		})
		for _, step := range w.planner.Plan(at(now)) {
			if step.Kind == target.OrderRole {
				w.order(step.Target, step.Role)
			}
		}
	case foreseenRoles:
		w.foresee(now)
	}
}

// order changes an engine's role: it is cordoned, empties and goes away.
func (w *world) order(id target.ID, role target.Role) {
	e := w.byID[id]
	if e == nil || e.dead || e.changingTo != "" || e.noticedAt > 0 {
		return
	}
	e.changingTo = role
	w.roleChanges++
}

// spend runs the spending rules, which are the same for every policy.
func (w *world) spend(now int64, view []control.TargetState, possible bool) {
	queue := spending.Queue{Pool: w.d.pool.Name, StableShare: w.d.promised(), StableOnlyShare: w.d.stableOnly()}
	sent, refused := 0, 0
	for _, g := range w.gateways {
		queue.Wait += g.waited
		sent += g.sent
		refused += g.refused
		g.waited, g.sent, g.refused = 0, 0, 0
	}
	queue.Wait /= float64(max(1, sent))
	queue.Refused = float64(refused) / float64(max(1, sent+refused))
	w.spender.Observe(at(now), spending.View{
		Pools: []contract.Pool{w.d.pool}, Zones: w.d.zones, Targets: view,
		Queues: []spending.Queue{queue}, OrdersPossible: possible,
	})
	for _, step := range w.spender.Plan(at(now)) {
		if step.Release != "" {
			w.release(now, step.Release)
			continue
		}
		w.spender.RecordOrder(at(now), step, w.grant(now, step))
	}
	w.deliver(now)
}

// grant is the platform's answer to a purchase.
func (w *world) grant(now int64, step spending.Step) int {
	t := time.Duration(now).Seconds()
	if step.Class == target.Reclaimable && w.s.reclaim > 0 && t >= w.s.reclaim && t < w.s.reclaim+w.s.scarce {
		return 0
	}
	w.arriving = append(w.arriving, arriving{now + int64(purchase), step.Zone, step.Class})
	w.bought += step.Count
	return step.Count
}

// deliver adds bought targets, in the role of which there are fewer.
func (w *world) deliver(now int64) {
	kept := w.arriving[:0]
	for _, a := range w.arriving {
		if a.at > now {
			kept = append(kept, a)
			continue
		}
		w.addEngine(now, a.zone, a.class, w.neededRole())
	}
	w.arriving = kept
}

// neededRole keeps the share of prefill engines of the start.
func (w *world) neededRole() target.Role {
	if w.policy.roles == allMixed {
		return target.Mixed
	}
	prefill, all := 0, 0
	for _, e := range w.engines {
		if !e.dead && e.target.Kind == target.Engine {
			all++
			if e.role == target.Prefill {
				prefill++
			}
		}
	}
	if prefill*(w.d.reserved+w.d.cheap) < w.d.prefill*(all+1) {
		return target.Prefill
	}
	return target.Decode
}

// release gives a target back: it gets no new work and goes once empty.
func (w *world) release(now int64, id target.ID) {
	if e := w.byID[id]; e != nil && !e.dead && e.noticedAt == 0 {
		e.noticedAt, e.releasing = now, true
	}
}

// promised is the share of the work that is promised service.
func (d *deployment) promised() float64 {
	share := 0.0
	for _, o := range d.orgs {
		if o.stable || o.large {
			share += o.share
		}
	}
	return share
}

// stableOnly is the share that no reclaimable target may run.
func (d *deployment) stableOnly() float64 {
	share := 0.0
	for _, o := range d.orgs {
		if o.stable {
			share += o.share
		}
	}
	return share
}
