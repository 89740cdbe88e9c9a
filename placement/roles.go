package placement

import (
	"fmt"
	"math"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/target"
)

// split is how many engines have each role.
type split struct {
	prefill, decode, mixed float64
}

// change is one engine's change of role.
type change struct {
	from, to target.Role
}

// changes are all changes of role, in a fixed order.
var changes = [...]change{
	{target.Mixed, target.Prefill},
	{target.Mixed, target.Decode},
	{target.Prefill, target.Mixed},
	{target.Decode, target.Mixed},
	{target.Prefill, target.Decode},
	{target.Decode, target.Prefill},
}

// roleOf returns an engine's role; engines without one are mixed.
func roleOf(s *control.TargetState) target.Role {
	if s.Report.Role == "" {
		return target.Mixed
	}
	return s.Report.Role
}

// count returns the place of a role's count.
func (n *split) count(r target.Role) *float64 {
	switch r {
	case target.Prefill:
		return &n.prefill
	case target.Decode:
		return &n.decode
	default:
		return &n.mixed
	}
}

// after returns the split once an engine has changed.
func (n split) after(c change) split {
	*n.count(c.from)--
	*n.count(c.to)++
	return n
}

// without returns the split while an engine is away.
func (n split) without(r target.Role) split {
	*n.count(r)--
	return n
}

// utilisation is the share of time for which the busiest part of the split
// must work to serve the demand; above 1 it cannot.
func (n split) utilisation(d *demand, efficiency float64) float64 {
	if d.prefill+d.decode == 0 {
		return 0
	}
	low, high := 0.0, 64.0
	for range 40 {
		u := (low + high) / 2
		rest := max(0, d.prefill-n.prefill*u) + max(0, d.decode-n.decode*u)
		if rest <= efficiency*n.mixed*u {
			high = u
		} else {
			low = u
		}
	}
	return high
}

// harm is the work that is not served in time at a utilisation, in engines.
func harm(d *demand, utilisation, comfort float64) float64 {
	if utilisation <= comfort {
		return 0
	}
	return (d.prefill + d.decode) * (utilisation - comfort) / utilisation
}

// proposal is a change with its figures.
type proposal struct {
	change        change
	gain, loss    float64 // engine-seconds
	before, after float64 // utilisation
}

// planRoles proposes changes of role, each judged with those before it made.
func (p *Planner) planRoles(now time.Time, pool *contract.Pool, d *demand, c *candidates) []Step {
	if !pool.Disaggregated {
		p.hold(d.held(pool.Name, HeldNotDisaggregated))
		return nil
	}
	var n split
	for _, s := range c.all {
		*n.count(c.roles[s.Target.ID])++
	}
	best := p.bestChange(d, n)
	if reason, held := p.judge(now, d, best); held {
		h := d.held(pool.Name, reason)
		h.Gain, h.Loss, h.Utilisation = best.gain, best.loss, best.before
		p.hold(h)
		return nil
	}
	var steps []Step
	for best.worth(p.settings) {
		s := pickEngine(c, best.change)
		if s == nil {
			break
		}
		steps = append(steps, p.roleStep(now, d, best, s))
		c.busy[s.Target.Zone] = true
		n = n.after(best.change)
		best = p.bestChange(d, n)
	}
	if len(steps) == 0 {
		reason := HeldRecentlyChanged
		if len(c.free) > 0 {
			reason = HeldZonesBusy
		}
		h := d.held(pool.Name, reason)
		h.Gain, h.Loss, h.Utilisation = best.gain, best.loss, best.before
		p.hold(h)
	}
	return steps
}

// judge tells why the best change is not made, if it is not.
func (p *Planner) judge(now time.Time, d *demand, best proposal) (HoldReason, bool) {
	if best.before <= p.settings.MaxUtilisation {
		d.wanted = change{}
		return HeldDemandServed, true
	}
	if !best.worth(p.settings) {
		d.wanted = change{}
		return HeldNoGain, true
	}
	if d.wanted.to != best.change.to {
		d.wanted, d.wantedAt = best.change, now
	}
	if now.Sub(d.wantedAt) < p.settings.ConfirmTime {
		return HeldUnconfirmed, true
	}
	return "", false
}

// worth tells whether the gain exceeds the loss by enough.
func (b proposal) worth(s Settings) bool {
	return b.gain > 0 && b.gain > s.MinGainRatio*b.loss
}

// bestChange returns the change with the largest gain beyond its loss.
func (p *Planner) bestChange(d *demand, n split) proposal {
	s := p.settings
	before := n.utilisation(d, s.MixedEfficiency)
	best := proposal{before: before, after: before, gain: 0, loss: math.Inf(1)}
	net := math.Inf(-1)
	for _, c := range changes {
		if *n.count(c.from) < 1 || !n.after(c).whole() {
			continue
		}
		after := n.after(c).utilisation(d, s.MixedEfficiency)
		during := n.without(c.from).utilisation(d, s.MixedEfficiency)
		now := harm(d, before, s.MaxUtilisation)
		gain := (now - harm(d, after, s.MaxUtilisation)) * d.stay().Seconds()
		loss := (harm(d, during, s.MaxUtilisation) - now + idleLoss*min(1, before)) * s.away(c).Seconds()
		if gain-loss > net {
			net = gain - loss
			best = proposal{c, gain, loss, before, after}
		}
	}
	return best
}

// idleLoss is the share of an engine's work that is lost while it changes
// even when the others could do it: its cache is gone and queues grow.
const idleLoss = 0.25

// away is how long a change takes an engine away.
func (s Settings) away(c change) time.Duration {
	if c.from == target.Prefill {
		return s.RoleChangeTime
	}
	return s.RoleChangeTime + s.DrainTime
}

// whole tells whether both phases can be served.
func (n split) whole() bool {
	return n.prefill+n.mixed >= 1 && n.decode+n.mixed >= 1
}

// pickEngine returns the least loaded engine that may make the change, or
// nil. Reserved engines must go on serving both phases.
func pickEngine(c *candidates, wanted change) *control.TargetState {
	var best *control.TargetState
	for _, s := range c.free {
		if roleOf(s) != wanted.from || c.busy[s.Target.Zone] {
			continue
		}
		if !stableServes(c, s, wanted.to) {
			continue
		}
		if best == nil || load(s) < load(best) {
			best = s
		}
	}
	return best
}

// load orders engines by how much a change would move away from them.
func load(s *control.TargetState) float64 {
	return float64(s.Report.Running+s.Report.Waiting) + float64(s.Report.PrefillTokens)/1000
}

// stableServes tells whether targets that cannot be reclaimed still serve
// both phases once the engine has changed.
func stableServes(c *candidates, changing *control.TargetState, to target.Role) bool {
	var before, after split
	for _, s := range c.all {
		if s.Target.Class == target.Reclaimable {
			continue
		}
		*before.count(c.roles[s.Target.ID])++
		if s == changing {
			*after.count(to)++
			continue
		}
		*after.count(c.roles[s.Target.ID])++
	}
	return after.whole() || !before.whole()
}

// roleStep records a change of role.
func (p *Planner) roleStep(now time.Time, d *demand, b proposal, s *control.TargetState) Step {
	p.changed[s.Target.ID] = changed{now, b.change.to}
	return Step{
		Pool: s.Target.Pool, Zone: s.Target.Zone, Target: s.Target.ID,
		Kind: target.OrderRole, From: b.change.from, Role: b.change.to,
		Gain: b.gain, Loss: b.loss, MixDuration: d.stay(),
		Prefill: d.prefill, Decode: d.decode,
		Before: b.before, After: b.after,
		Reason: fmt.Sprintf("utilisation %.2f to %.2f gains %.1f engine-seconds over %s for a loss of %.1f",
			b.before, b.after, b.gain, d.stay().Round(time.Second), b.loss),
	}
}
