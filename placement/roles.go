package placement

import (
	"fmt"
	"math"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/target"
)

// roleCounts is the number of engines with each role.
type roleCounts struct {
	prefill, decode, mixed float64
}

// change is a change of one engine's role.
type change struct {
	from, to target.Role
}

// changes holds all possible changes of role.
var changes = [...]change{
	{target.Mixed, target.Prefill},
	{target.Mixed, target.Decode},
	{target.Prefill, target.Mixed},
	{target.Decode, target.Mixed},
	{target.Prefill, target.Decode},
	{target.Decode, target.Prefill},
}

// roleOf returns an engine's reported role, Mixed if it reports none.
func roleOf(s *control.TargetState) target.Role {
	if s.Report.Role == "" {
		return target.Mixed
	}
	return s.Report.Role
}

// count returns a pointer to the count of a role.
func (n *roleCounts) count(r target.Role) *float64 {
	switch r {
	case target.Prefill:
		return &n.prefill
	case target.Decode:
		return &n.decode
	default:
		return &n.mixed
	}
}

// afterChange returns the counts after the change.
func (n roleCounts) afterChange(c change) roleCounts {
	*n.count(c.from)--
	*n.count(c.to)++
	return n
}

// without returns the counts while an engine of the role is unavailable.
func (n roleCounts) without(r target.Role) roleCounts {
	*n.count(r)--
	return n
}

// utilisation returns the share of time for which the busiest engines must work to serve
// the demand. Above 1 they cannot serve it. It is found by bisection; mixed engines take
// the work that those with one role leave.
func (n roleCounts) utilisation(d *demand, efficiency float64) float64 {
	if d.prefill+d.decode == 0 {
		return 0
	}
	low, high := 0.0, 64.0
	for range 40 {
		u := (low + high) / 2
		remainder := max(0, d.prefill-n.prefill*u) + max(0, d.decode-n.decode*u)
		if remainder <= efficiency*n.mixed*u {
			high = u
		} else {
			low = u
		}
	}
	return high
}

// unservedWork returns the demand, in engines, that is not served in time at a
// utilisation. Up to maxUtilisation all demand is served in time.
func unservedWork(d *demand, utilisation, maxUtilisation float64) float64 {
	if utilisation <= maxUtilisation {
		return 0
	}
	return (d.prefill + d.decode) * (utilisation - maxUtilisation) / utilisation
}

// proposal is a possible change with its expected effects.
type proposal struct {
	change        change
	gain, loss    float64 // engine-seconds
	before, after float64 // utilisation
}

// planRoles proposes changes of role. Each is chosen as if those before it had been
// made.
func (p *Planner) planRoles(now time.Time, pool *contract.Pool, d *demand, c *engineSet) []Step {
	if !pool.Disaggregated {
		p.recordHeld(d.newHeld(pool.Name, HeldNotDisaggregated))
		return nil
	}
	var counts roleCounts
	for _, s := range c.all {
		*counts.count(c.plannedRoles[s.Target.ID])++
	}
	best := p.bestChange(d, counts)
	if reason, held := p.holdReason(now, d, best); held {
		h := d.newHeld(pool.Name, reason)
		h.Gain, h.Loss, h.Utilisation = best.gain, best.loss, best.before
		p.recordHeld(h)
		return nil
	}
	var steps []Step
	for best.worthwhile(p.settings) {
		s := pickEngine(c, best.change)
		if s == nil {
			break
		}
		steps = append(steps, p.roleStep(now, d, best, s))
		c.busyZones[s.Target.Zone] = true
		counts = counts.afterChange(best.change)
		best = p.bestChange(d, counts)
	}
	if len(steps) == 0 {
		reason := HeldRecentlyChanged
		if len(c.changeable) > 0 {
			reason = HeldZonesBusy
		}
		h := d.newHeld(pool.Name, reason)
		h.Gain, h.Loss, h.Utilisation = best.gain, best.loss, best.before
		p.recordHeld(h)
	}
	return steps
}

// holdReason returns why the best change is not proposed, or false if it may be.
func (p *Planner) holdReason(now time.Time, d *demand, best proposal) (HoldReason, bool) {
	if best.before <= p.settings.MaxUtilisation {
		d.pendingChange = change{}
		return HeldDemandServed, true
	}
	if !best.worthwhile(p.settings) {
		d.pendingChange = change{}
		return HeldNoGain, true
	}
	if d.pendingChange.to != best.change.to {
		d.pendingChange, d.pendingSince = best.change, now
	}
	if now.Sub(d.pendingSince) < p.settings.ConfirmTime {
		return HeldUnconfirmed, true
	}
	return "", false
}

// worthwhile tells whether the gain exceeds Settings.MinGainRatio times the loss.
func (b proposal) worthwhile(s Settings) bool {
	return b.gain > 0 && b.gain > s.MinGainRatio*b.loss
}

// bestChange returns the change whose gain exceeds its loss by most.
func (p *Planner) bestChange(d *demand, counts roleCounts) proposal {
	s := p.settings
	before := counts.utilisation(d, s.MixedEfficiency)
	best := proposal{before: before, after: before, gain: 0, loss: math.Inf(1)}
	net := math.Inf(-1)
	for _, c := range changes {
		if *counts.count(c.from) < 1 || !counts.afterChange(c).servesBothPhases() {
			continue
		}
		after := counts.afterChange(c).utilisation(d, s.MixedEfficiency)
		during := counts.without(c.from).utilisation(d, s.MixedEfficiency)
		unserved := unservedWork(d, before, s.MaxUtilisation)
		gain := (unserved - unservedWork(d, after, s.MaxUtilisation)) * d.mixDuration().Seconds()
		loss := (unservedWork(d, during, s.MaxUtilisation) - unserved + changeLoss*min(1, before)) * s.downtime(c).Seconds()
		if gain-loss > net {
			net = gain - loss
			best = proposal{c, gain, loss, before, after}
		}
	}
	return best
}

// changeLoss is the share of an engine's work that counts as lost during a change even
// if the other engines could do that work: the cache is lost and queues grow.
const changeLoss = 0.25

// downtime returns how long an engine is unavailable during a change.
func (s Settings) downtime(c change) time.Duration {
	if c.from == target.Prefill {
		return s.RoleChangeTime
	}
	return s.RoleChangeTime + s.DrainTime
}

// servesBothPhases tells whether there are engines for both prefill and decode.
func (n roleCounts) servesBothPhases() bool {
	return n.prefill+n.mixed >= 1 && n.decode+n.mixed >= 1
}

// pickEngine returns the least loaded engine that may make the change, or nil. The
// engines that cannot be reclaimed must still serve both phases afterwards.
func pickEngine(c *engineSet, wanted change) *control.TargetState {
	var best *control.TargetState
	for _, s := range c.changeable {
		if roleOf(s) != wanted.from || c.busyZones[s.Target.Zone] {
			continue
		}
		if !nonReclaimableServe(c, s, wanted.to) {
			continue
		}
		if best == nil || engineLoad(s) < engineLoad(best) {
			best = s
		}
	}
	return best
}

// engineLoad returns a measure of the work that a change of the engine would displace:
// its requests, and one more for every 1000 prompt tokens left to process.
func engineLoad(s *control.TargetState) float64 {
	return float64(s.Report.Running+s.Report.Waiting) + float64(s.Report.PrefillTokens)/1000
}

// nonReclaimableServe tells whether the engines that cannot be reclaimed still serve both
// phases after the change, or did not before it either.
func nonReclaimableServe(c *engineSet, changing *control.TargetState, to target.Role) bool {
	var before, after roleCounts
	for _, s := range c.all {
		if s.Target.Class == target.Reclaimable {
			continue
		}
		*before.count(c.plannedRoles[s.Target.ID])++
		if s == changing {
			*after.count(to)++
			continue
		}
		*after.count(c.plannedRoles[s.Target.ID])++
	}
	return after.servesBothPhases() || !before.servesBothPhases()
}

// roleStep returns the step for a change of role and records it as recent.
func (p *Planner) roleStep(now time.Time, d *demand, b proposal, s *control.TargetState) Step {
	p.recentChanges[s.Target.ID] = recentChange{now, b.change.to}
	return Step{
		Pool: s.Target.Pool, Zone: s.Target.Zone, Target: s.Target.ID,
		Kind: target.OrderRole, From: b.change.from, Role: b.change.to,
		Gain: b.gain, Loss: b.loss, MixDuration: d.mixDuration(),
		Prefill: d.prefill, Decode: d.decode,
		Before: b.before, After: b.after,
		Reason: fmt.Sprintf("utilisation %.2f to %.2f gains %.1f engine-seconds over %s for a loss of %.1f",
			b.before, b.after, b.gain, d.mixDuration().Round(time.Second), b.loss),
	}
}
